"""Claims: at most one run under a key, and "not run" only where it is true."""

from __future__ import annotations

from rhubarbbend.core import events
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
    """Account "agents" uses the key that, joined to another account's name, reads the same."""
    world = World(ONE)
    world.send("a1", "r1", "k1", account="agents")
    world.send("a1", "r2", "k1")
    world.settle()
    assert len(world.runs) == 2


def _close_targets(world: World, name: str) -> None:
    """Let an instance believe that every target has just failed."""
    for view in world.cores[name].context.fleet.targets.values():
        view.down_until = world.now + 1_000.0
