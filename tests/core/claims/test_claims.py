"""Claims: at most one run under a key, and "not run" only where it is true."""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core.claims._claim_rows import make_key
from tests.core.fakes import World

ONE = {"a1": "a"}
TWO = {"a1": "a", "b1": "b"}


def test_lost_answer_after_the_write_took_effect_runs_once() -> None:
    """The caller gets its answer a little later. The claim is written, its answer is lost, the
    same insert is sent again, finds its own row, and only then the command is dispatched."""
    world = World(ONE)
    world.send("a1", "r1", "k1")
    first = world.writes[0]
    world.apply(first)
    world.lose(first)
    assert not world.runs
    world.answer(world.writes[0])
    assert len(world.runs) == 1
    world.finish(world.runs[0])
    assert world.read_answer("r1").body == b"done"


def test_waiter_on_a_claim_never_seen_is_not_told_not_run() -> None:
    """The key runs through b1. Meanwhile a1 gets it twice and cannot reach the table. Both
    callers of a1 are in doubt: that a1 never ran the key says nothing of b1."""
    world = World(TWO)
    world.send("b1", "r0", "k1")
    world.answer(world.writes[0])
    world.send("a1", "r1", "k1")
    world.send("a1", "r2", "k1")
    for _ in range(4):
        mine = [write for write in world.writes if write.instance == "a1"]
        if not mine:
            break
        world.advance(0.6)
        world.lose(mine[0])
    assert world.read_answer("r1").verdict == "may_have_run"
    assert world.read_answer("r2").verdict == "may_have_run"


def test_refusal_written_before_a_long_pause_is_not_final() -> None:
    """No target is ready, so a1 writes a refusal and is frozen before its answer comes. After the
    hold a second request takes the key at b1 and runs. a1 wakes: it must not say "not run"."""
    world = World(TWO)
    _close_targets(world, "a1")
    world.send("a1", "r1", "k1", deadline=60.0)
    world.apply(world.writes[0])
    world.freeze("a1")
    world.answer(world.writes[0])
    world.advance(5.0)
    world.send("b1", "r2", "k1")
    # b1 may have asked a1 for a slot; it waits for an answer that does not come.
    for _ in range(2):
        world.advance(12.0)
        world.answer(world.writes[0])
    assert len(world.runs) == 1
    world.thaw("a1")
    assert world.read_answer("r1").verdict == "may_have_run"


def test_refusal_that_meets_an_old_refusal_is_written_again() -> None:
    """The key was refused long ago. Now r2, at an instance with a slot, is about to take it, and
    r3 is refused for lack of one. If r3 is told "not run", r2 must not run after that."""
    world = World(TWO)
    _close_targets(world, "a1")
    world.send("a1", "r1", "k1")
    world.settle()
    assert world.read_answer("r1").verdict == "not_run"
    world.advance(10.0)
    world.send("b1", "r2", "k1")
    world.answer(world.writes[0])
    taking = world.writes[0]
    world.send("a1", "r3", "k1")
    mine = [write for write in world.writes if write.instance == "a1"]
    world.answer(mine[0])
    world.answer(taking)
    world.settle()
    told = [answer.verdict for answer in world.answers["r3"]]
    assert not (world.runs and "not_run" in told)


def test_command_goes_on_when_its_callers_deadline_passes() -> None:
    """The caller is told that its command may have run. The target answers later; asked again
    under the key, the caller gets that answer."""
    world = World(ONE)
    world.send("a1", "r1", "k1", deadline=2.0)
    world.settle()
    world.advance(3.0)
    assert world.read_answer("r1").verdict == "may_have_run"
    assert world.cores["a1"].entry.count_open() == 1
    world.finish(world.runs[0])
    world.send("a1", "r2", "k1")
    assert world.read_answer("r2").body == b"done"
    assert world.cores["a1"].entry.count_open() == 0


def test_command_goes_on_when_its_caller_leaves() -> None:
    """The caller leaves and asks again under the same request id and key while the command
    runs: it gets the answer of the one run."""
    world = World(ONE)
    world.send("a1", "r1", "k1")
    world.settle()
    world.feed("a1", events.CallerLeft("r1"))
    world.send("a1", "r1", "k1")
    world.finish(world.runs[0])
    assert world.read_answer("r1").body == b"done"
    assert not world.runs


def test_claim_given_up_runs_for_a_later_request_elsewhere() -> None:
    """a1 loses the answer of its claim until it gives up: its caller is in doubt. The caller asks
    b1, which finds a1's claim and asks a1. a1 says that it never dispatches it, so b1 runs it."""
    world = World(TWO)
    world.send("a1", "r1", "k1")
    world.apply(world.writes[0])
    while world.writes:
        world.advance(0.6)
        world.lose(world.writes[0])
    assert world.read_answer("r1").verdict == "may_have_run"
    world.advance(1.0)
    world.send("b1", "r2", "k1")
    world.settle()
    assert [run.instance for run in world.runs] == ["b1"]
    world.finish(world.runs[0])
    assert world.read_answer("r2").body == b"done"


def test_another_body_under_the_key_is_a_conflict() -> None:
    """The second caller used the first one's key with another body. It is refused for that, and
    is not told that the key has not run: the first body may be about to."""
    world = World(TWO)
    world.send("a1", "r1", "k1", body="one")
    world.send("a1", "r2", "k1", body="two")
    assert world.read_answer("r2").code == "idempotency_key_reused"
    assert world.read_answer("r2").verdict == "may_have_run"
    world.settle()
    world.send("b1", "r3", "k1", body="two")
    world.settle()
    assert world.read_answer("r3").code == "idempotency_key_reused"
    assert len(world.runs) == 1


def test_keys_of_two_accounts_never_meet() -> None:
    """Two accounts send the same key; and one account's name and key, joined, read like the
    other's."""
    world = World(ONE)
    world.send("a1", "r1", "k1", account="agents")
    world.send("a1", "r2", "k1")
    world.settle()
    assert len(world.runs) == 2
    assert make_key("a", "b/c") != make_key("a/b", "c")


def test_replaced_instance_runs_nothing_of_its_former_self() -> None:
    """a1 is replaced with a command claimed and one reserved key handed out. Its successor of the
    same name knows of neither: both are in doubt and neither is run."""
    world = World(ONE)
    key = world.reserve("a1")
    world.send("a1", "r1", "k1")
    world.answer(world.writes[0])
    assert len(world.runs) == 1
    world.start("a1", 2)
    world.advance(2.0)
    for request, again in (("r2", "k1"), ("r3", key)):
        world.send("a1", request, again)
        world.settle()
        assert world.read_answer(request).verdict == "may_have_run"
    assert not world.runs


def test_reserved_refusal_holds_back_what_comes_while_it_is_under_way() -> None:
    """The issuer's "not run" is on its way to a caller at another instance. A request under the
    key that comes to the issuer meanwhile does not run, so the refusal is true when it is told."""
    world = World(TWO, hold_messages=True)
    key = world.reserve("a1")
    _close_targets(world, "a1")
    world.send("b1", "r1", key)
    world.deliver(world.messages[0])
    world.advance(0.5)
    _open_targets(world, "a1")
    world.send("a1", "r2", key)
    world.deliver(world.messages[0])
    assert world.read_answer("r1").verdict == "not_run"
    assert not world.runs


def test_request_from_before_a_refusal_does_not_run_after_it() -> None:
    """r2 waits for its slot at b1 when r1 is refused at a1 with "not run". r2 came first, so it
    must not take the key when its slot comes."""
    world = World(TWO)
    world.feed("b1", events.TimerDue())
    world.send("b1", "r2", "k1")
    waiting = world.writes.pop(0)
    _close_targets(world, "a1")
    world.send("a1", "r1", "k1")
    world.answer(world.writes[0])
    assert world.read_answer("r1").verdict == "not_run"
    world.advance(0.2)
    world.writes.append(waiting)
    world.settle()
    assert not world.runs
    assert world.read_answer("r2").verdict == "not_run"


def test_request_from_before_a_claim_was_given_up_is_left_in_doubt() -> None:
    """a1 gave its claim up when its caller left. r2 came before that and learns it late; r3 came
    after and may take the key at any moment, so r2 is not told "not run"."""
    world = World(TWO, hold_messages=True)
    world.send("a1", "r1", "k1")
    world.apply(world.writes[0])
    world.send("b1", "r2", "k1")
    world.answer(next(write for write in world.writes if write.instance == "b1"))
    world.feed("a1", events.CallerLeft("r1"))
    world.advance(0.1)
    while world.messages:
        world.deliver(world.messages[0])
    assert world.read_answer("r2").verdict == "may_have_run"


def test_late_reply_to_a_forwarded_command_fits_no_other() -> None:
    """A caller gives up a command under a reserved key that its instance forwarded, and sends
    another under the same request id. The first one's reply comes late: it is not taken for the
    second's."""
    world = World(TWO, hold_messages=True)
    first, second = world.reserve("b1"), world.reserve("b1")
    world.send("a1", "r1", first)
    world.deliver(world.messages[0])
    world.feed("a1", events.CallerLeft("r1"))
    world.send("a1", "r1", second)
    world.finish(world.runs[0], b"first")
    late = next(m for m in world.messages if m.peer == "a1")
    world.deliver(late)
    assert not world.answers["r1"]
    world.deliver(world.messages[0])
    world.finish(world.runs[0], b"second")
    world.deliver(world.messages[0])
    assert world.read_answer("r1").body == b"second"


def test_reserved_refusal_holds_back_what_came_before_it() -> None:
    """The issuer refuses a reserved key for lack of a slot. A command under it that another
    instance forwarded before that arrives afterwards: it does not run."""
    world = World(TWO, hold_messages=True)
    key = world.reserve("a1")
    world.send("b1", "r1", key)
    _close_targets(world, "a1")
    world.advance(0.3)
    world.send("a1", "r2", key)
    assert world.read_answer("r2").verdict == "not_run"
    _open_targets(world, "a1")
    world.advance(3.0)
    world.deliver(world.messages[0])
    assert not world.runs
    world.send("a1", "r3", key)
    assert len(world.runs) == 1


def test_late_reserved_refusal_is_not_passed_on() -> None:
    """The issuer's "not run" is under way for long. A later request runs the key meanwhile, so
    the caller that waits for the refusal is told that the key may have run."""
    world = World(TWO, hold_messages=True)
    key = world.reserve("a1")
    _close_targets(world, "a1")
    world.send("b1", "r1", key)
    world.deliver(world.messages[0])
    late = world.messages[0]
    world.advance(5.0)
    _open_targets(world, "a1")
    world.send("a1", "r2", key)
    assert len(world.runs) == 1
    world.deliver(late)
    assert world.read_answer("r1").verdict == "may_have_run"


def test_large_outcome_is_not_kept_in_memory() -> None:
    """The answer is too large to keep. Its caller gets it whole; asked again, the fleet says that
    the command ran and that the answer was not kept, and holds no copy of it."""
    world = World(ONE)
    world.send("a1", "r1", "k1")
    world.settle()
    run = world.runs.pop()
    large = b"x" * 100_000
    world.feed("a1", events.AttemptDone(run.action.attempt, 200, 0.1, body=large, kept=False))
    assert world.read_answer("r1").body == large
    world.send("a1", "r2", "k1")
    assert world.read_answer("r2").code == "outcome_not_kept"
    assert all(len(entry.value) < 1_000 for write in world.writes for entry in write.action.writes)


def _open_targets(world: World, name: str) -> None:
    for view in world.cores[name].context.fleet.targets.values():
        view.down_until = 0.0


def _close_targets(world: World, name: str) -> None:
    """Let an instance believe that every target has just failed."""
    for view in world.cores[name].context.fleet.targets.values():
        view.down_until = world.now + 1_000.0
