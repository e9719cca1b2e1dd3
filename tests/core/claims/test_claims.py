"""Tests of claims: at most one run under an idempotency key, and "not run" only if it is true.

The tests order table writes, messages and runs by hand through `FakeFleet`. Its instances are named
after their zones: `a1` is in zone `a`, `b1` in zone `b`.
"""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core.claims._claim_rows import make_table_key
from tests.core.fakes import FakeFleet

ONE_INSTANCE = {"a1": "a"}
TWO_INSTANCES = {"a1": "a", "b1": "b"}


def test_lost_answer_to_an_applied_claim_write_leads_to_one_run() -> None:
    """Guard against a second run, or none, when the answer to an applied claim write is lost.

    The same insert is sent again and finds its own row. Only then is the command dispatched, and
    the caller gets its answer a little later.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    fleet.send("a1", "r1", "k1")
    first = fleet.writes[0]
    fleet.apply_write(first)
    fleet.lose_answer(first)
    assert not fleet.runs
    fleet.answer_write(fleet.writes[0])
    assert len(fleet.runs) == 1
    fleet.finish(fleet.runs[0])
    assert fleet.read_answer("r1").body == b"done"


def test_request_waiting_on_an_unconfirmed_claim_is_not_told_not_run() -> None:
    """Guard against a false "not run" from an instance that could not confirm its claim.

    The command runs at b1. Meanwhile a1 gets two requests under its key and cannot reach the table.
    Both are told "may have run": that a1 never ran the command proves nothing about b1.
    """
    fleet = FakeFleet(TWO_INSTANCES)
    fleet.send("b1", "r0", "k1")
    fleet.answer_write(fleet.writes[0])
    fleet.send("a1", "r1", "k1")
    fleet.send("a1", "r2", "k1")
    for _ in range(4):
        a1_writes = [write for write in fleet.writes if write.instance == "a1"]
        if not a1_writes:
            break
        fleet.advance(0.6)
        fleet.lose_answer(a1_writes[0])
    assert fleet.read_answer("r1").verdict == "may_have_run"
    assert fleet.read_answer("r2").verdict == "may_have_run"


def test_refusal_written_before_a_long_pause_is_not_final() -> None:
    """Guard against a "not run" that has become false while the process was paused.

    No target is ready, so a1 writes a refusal and is frozen before the answer to the write comes.
    When the refusal no longer blocks the key, a second request claims it at b1 and runs. After its
    pause a1 must not report "not run".
    """
    fleet = FakeFleet(TWO_INSTANCES)
    _mark_targets_down(fleet, "a1")
    fleet.send("a1", "r1", "k1", deadline=60.0)
    fleet.apply_write(fleet.writes[0])
    fleet.freeze("a1")
    fleet.answer_write(fleet.writes[0])
    fleet.advance(5.0)
    fleet.send("b1", "r2", "k1")
    # b1 may have requested a slot from a1 and wait for a reply that never comes.
    for _ in range(2):
        fleet.advance(12.0)
        fleet.answer_write(fleet.writes[0])
    assert len(fleet.runs) == 1
    fleet.unfreeze("a1")
    assert fleet.read_answer("r1").verdict == "may_have_run"


def test_refusal_that_finds_an_old_refusal_is_written_again() -> None:
    """Guard against a "not run" that relies on an old refusal and becomes false at once.

    The key was refused long ago. r2, at an instance with a slot, is about to claim it, and r3 is
    refused for lack of a slot. If r3 is told "not run", r2 must not run afterwards.
    """
    fleet = FakeFleet(TWO_INSTANCES)
    _mark_targets_down(fleet, "a1")
    fleet.send("a1", "r1", "k1")
    fleet.settle()
    assert fleet.read_answer("r1").verdict == "not_run"
    fleet.advance(10.0)
    fleet.send("b1", "r2", "k1")
    fleet.answer_write(fleet.writes[0])
    claim_write = fleet.writes[0]
    fleet.send("a1", "r3", "k1")
    a1_writes = [write for write in fleet.writes if write.instance == "a1"]
    fleet.answer_write(a1_writes[0])
    fleet.answer_write(claim_write)
    fleet.settle()
    verdicts = [answer.verdict for answer in fleet.answers["r3"]]
    assert not (fleet.runs and "not_run" in verdicts)


def test_command_keeps_running_after_its_callers_deadline() -> None:
    """Guard against losing the outcome of a command that outlasts its caller's deadline.

    The caller is told that its command may have run. The target answers later, and a second
    request under the key gets that answer.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    fleet.send("a1", "r1", "k1", deadline=2.0)
    fleet.settle()
    fleet.advance(3.0)
    assert fleet.read_answer("r1").verdict == "may_have_run"
    assert fleet.cores["a1"].requests.count_open_requests() == 1
    fleet.finish(fleet.runs[0])
    fleet.send("a1", "r2", "k1")
    assert fleet.read_answer("r2").body == b"done"
    assert fleet.cores["a1"].requests.count_open_requests() == 0


def test_command_keeps_running_after_its_caller_disconnects() -> None:
    """Guard against a second run when a caller disconnects and retries during the first.

    The retry has the same request id and key, and gets the answer of the one run.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    fleet.send("a1", "r1", "k1")
    fleet.settle()
    fleet.handle("a1", events.CallerLeft("r1"))
    fleet.send("a1", "r1", "k1")
    fleet.finish(fleet.runs[0])
    assert fleet.read_answer("r1").body == b"done"
    assert not fleet.runs


def test_abandoned_claim_lets_a_later_request_run_at_another_instance() -> None:
    """Guard against a key that stays blocked by a claim whose attempt was abandoned.

    a1 gets no answer to its claim write and gives up, and its caller is told "may have run". The
    caller retries at b1, which finds a1's claim and queries a1. a1 replies that it will never
    dispatch the attempt, so b1 runs the command.
    """
    fleet = FakeFleet(TWO_INSTANCES)
    fleet.send("a1", "r1", "k1")
    fleet.apply_write(fleet.writes[0])
    while fleet.writes:
        fleet.advance(0.6)
        fleet.lose_answer(fleet.writes[0])
    assert fleet.read_answer("r1").verdict == "may_have_run"
    fleet.advance(1.0)
    fleet.send("b1", "r2", "k1")
    fleet.settle()
    assert [run.instance for run in fleet.runs] == ["b1"]
    fleet.finish(fleet.runs[0])
    assert fleet.read_answer("r2").body == b"done"


def test_another_body_under_the_key_is_a_conflict() -> None:
    """Guard against a run, or the verdict "not run", for a key that is reused with another body.

    The second request is refused for the reuse. It is not told "not run", because the request with
    the first body may be about to run.
    """
    fleet = FakeFleet(TWO_INSTANCES)
    fleet.send("a1", "r1", "k1", body="one")
    fleet.send("a1", "r2", "k1", body="two")
    assert fleet.read_answer("r2").code == "idempotency_key_reused"
    assert fleet.read_answer("r2").verdict == "may_have_run"
    fleet.settle()
    fleet.send("b1", "r3", "k1", body="two")
    fleet.settle()
    assert fleet.read_answer("r3").code == "idempotency_key_reused"
    assert len(fleet.runs) == 1


def test_keys_of_two_accounts_never_collide() -> None:
    """Guard against two client accounts sharing a table key.

    They send the same key. And one account's name and key, joined, read like the other's.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    fleet.send("a1", "r1", "k1", account="agents")
    fleet.send("a1", "r2", "k1")
    fleet.settle()
    assert len(fleet.runs) == 2
    assert make_table_key("a", "b/c") != make_table_key("a/b", "c")


def test_replacement_instance_runs_no_command_of_its_predecessor() -> None:
    """Guard against a second run by a replacement that has lost its predecessor's records.

    a1 is replaced after it has claimed a command and issued a reserved key. Its successor of the
    same name has no record of either: both are told "may have run" and neither is run.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    key = fleet.reserve("a1")
    fleet.send("a1", "r1", "k1")
    fleet.answer_write(fleet.writes[0])
    assert len(fleet.runs) == 1
    fleet.start("a1", 2)
    fleet.advance(2.0)
    for request, reused_key in (("r2", "k1"), ("r3", key)):
        fleet.send("a1", request, reused_key)
        fleet.settle()
        assert fleet.read_answer(request).verdict == "may_have_run"
    assert not fleet.runs


def test_reserved_key_refusal_blocks_requests_that_arrive_while_it_is_in_flight() -> None:
    """Guard against a "not run" of a reserved key that becomes false before the caller gets it.

    The issuer's refusal is in flight to a caller at another instance. A request under the key that
    reaches the issuer meanwhile does not run.
    """
    fleet = FakeFleet(TWO_INSTANCES, hold_messages=True)
    key = fleet.reserve("a1")
    _mark_targets_down(fleet, "a1")
    fleet.send("b1", "r1", key)
    fleet.deliver(fleet.messages[0])
    fleet.advance(0.5)
    _mark_targets_up(fleet, "a1")
    fleet.send("a1", "r2", key)
    fleet.deliver(fleet.messages[0])
    assert fleet.read_answer("r1").verdict == "not_run"
    assert not fleet.runs


def test_request_from_before_a_refusal_does_not_run_after_it() -> None:
    """Guard against a "not run" that an earlier request under the key makes false.

    r2 is still waiting at b1 when r1 is refused at a1 with "not run". r2 arrived before that, so it
    must not claim the key afterwards.
    """
    fleet = FakeFleet(TWO_INSTANCES)
    fleet.handle("b1", events.TimerDue())
    fleet.send("b1", "r2", "k1")
    delayed_write = fleet.writes.pop(0)
    _mark_targets_down(fleet, "a1")
    fleet.send("a1", "r1", "k1")
    fleet.answer_write(fleet.writes[0])
    assert fleet.read_answer("r1").verdict == "not_run"
    fleet.advance(0.2)
    fleet.writes.append(delayed_write)
    fleet.settle()
    assert not fleet.runs
    assert fleet.read_answer("r2").verdict == "not_run"


def test_request_from_before_a_claim_was_abandoned_is_told_may_have_run() -> None:
    """Guard against a "not run" that a later request under the key may make false.

    a1 abandoned its claim when its caller left. r2 arrived before that and gets a1's reply late. A
    later request may claim the key at any moment, so r2 is not told "not run".
    """
    fleet = FakeFleet(TWO_INSTANCES, hold_messages=True)
    fleet.send("a1", "r1", "k1")
    fleet.apply_write(fleet.writes[0])
    fleet.send("b1", "r2", "k1")
    fleet.answer_write(next(write for write in fleet.writes if write.instance == "b1"))
    fleet.handle("a1", events.CallerLeft("r1"))
    fleet.advance(0.1)
    while fleet.messages:
        fleet.deliver(fleet.messages[0])
    assert fleet.read_answer("r2").verdict == "may_have_run"


def test_late_reply_to_a_forwarded_command_does_not_answer_another() -> None:
    """Guard against a late reply that answers another command with the same request id.

    A caller abandons a command under a reserved key that its instance has forwarded, and sends
    another under the same request id. The late reply to the first must not answer the second.
    """
    fleet = FakeFleet(TWO_INSTANCES, hold_messages=True)
    first, second = fleet.reserve("b1"), fleet.reserve("b1")
    fleet.send("a1", "r1", first)
    fleet.deliver(fleet.messages[0])
    fleet.handle("a1", events.CallerLeft("r1"))
    fleet.send("a1", "r1", second)
    fleet.finish(fleet.runs[0], b"first")
    late_reply = next(m for m in fleet.messages if m.peer == "a1")
    fleet.deliver(late_reply)
    assert not fleet.answers["r1"]
    fleet.deliver(fleet.messages[0])
    fleet.finish(fleet.runs[0], b"second")
    fleet.deliver(fleet.messages[0])
    assert fleet.read_answer("r1").body == b"second"


def test_reserved_key_refusal_blocks_requests_forwarded_before_it() -> None:
    """Guard against a "not run" of a reserved key that a delayed command makes false.

    The issuer refuses the key for lack of a slot. A command under it that another instance
    forwarded before the refusal arrives after it, and must not run.
    """
    fleet = FakeFleet(TWO_INSTANCES, hold_messages=True)
    key = fleet.reserve("a1")
    fleet.send("b1", "r1", key)
    fleet.advance(0.3)
    _mark_targets_down(fleet, "a1")
    fleet.send("a1", "r2", key)
    assert fleet.read_answer("r2").verdict == "not_run"
    _mark_targets_up(fleet, "a1")
    fleet.advance(3.0)
    fleet.deliver(fleet.messages[0])
    assert not fleet.runs
    fleet.send("a1", "r3", key)
    assert len(fleet.runs) == 1


def test_late_refusal_of_a_reserved_key_is_not_relayed() -> None:
    """Guard against relaying a "not run" that has become false in flight.

    The issuer's refusal is delayed, and a later request runs under the key meanwhile. The caller
    that waits for the refusal is told that the key may have run.
    """
    fleet = FakeFleet(TWO_INSTANCES, hold_messages=True)
    key = fleet.reserve("a1")
    _mark_targets_down(fleet, "a1")
    fleet.send("b1", "r1", key)
    fleet.deliver(fleet.messages[0])
    late_refusal = fleet.messages[0]
    fleet.advance(5.0)
    _mark_targets_up(fleet, "a1")
    fleet.send("a1", "r2", key)
    assert len(fleet.runs) == 1
    fleet.deliver(late_refusal)
    assert fleet.read_answer("r1").verdict == "may_have_run"


def test_large_outcome_is_not_kept_in_memory() -> None:
    """Guard against storing answers that are too large to keep.

    The caller gets the whole answer. A second request under the key is told that the command ran
    and that its answer was not kept, and no copy of the body is written.
    """
    fleet = FakeFleet(ONE_INSTANCE)
    fleet.send("a1", "r1", "k1")
    fleet.settle()
    run = fleet.runs.pop()
    large = b"x" * 100_000
    fleet.handle("a1", events.AttemptDone(run.action.attempt, 200, 0.1, body=large, kept=False))
    assert fleet.read_answer("r1").body == large
    fleet.send("a1", "r2", "k1")
    assert fleet.read_answer("r2").code == "outcome_not_kept"
    assert all(len(entry.value) < 1_000 for write in fleet.writes for entry in write.action.writes)


def _mark_targets_up(fleet: FakeFleet, name: str) -> None:
    """Mark every target as up in the view of one instance."""
    for view in fleet.cores[name].context.fleet.targets.values():
        view.down_until = 0.0


def _mark_targets_down(fleet: FakeFleet, name: str) -> None:
    """Mark every target as down in the view of one instance."""
    for view in fleet.cores[name].context.fleet.targets.values():
        view.down_until = fleet.now + 1_000.0
