"""Tests of the judgement on requests under which targets were lost."""

from __future__ import annotations

import pytest

from rhubarbbend.core.crashes import Content, CrashLedger, Judgement, Loss

FIRST_REFUSAL_S = 30.0
LONG_S = 1_000.0


def lose(
    ledger: CrashLedger, digest: str, target: str, sent_at: float, lost_at: float, ends: bool = True
) -> None:
    """Record that a target was lost under a request, and that it has ended."""
    ledger.record_loss(digest, Loss(target, sent_at, lost_at))
    if ends:
        ledger.record_end(target)


# Guards against a request that crashes each target that runs it, and comes again.
def test_a_request_is_refused_after_two_crashes() -> None:
    ledger = CrashLedger()
    lose(ledger, "cause", "t-1", 0.0, 0.1)
    lose(ledger, "bystander", "t-1", 0.0, 0.1)
    assert ledger.judge("cause", 0.2) is Judgement.SUSPECT
    lose(ledger, "cause", "t-2", 5.0, 5.1)
    assert ledger.judge("cause", 5.2) is Judgement.REFUSED
    assert ledger.judge("bystander", 5.2) is Judgement.SUSPECT
    assert ledger.judge("bystander", LONG_S) is Judgement.CLEAR
    # What has crashed several targets is never sent freely again for the passing of time.
    ledger.expire(LONG_S)
    assert ledger.judge("cause", LONG_S) is Judgement.ON_TRIAL


# Guards against a safeguard that repeats switch off: however close the losses are, they count.
@pytest.mark.parametrize("pause_s", [0.0, 0.001, 0.1, 0.4, 3.0])
def test_the_pace_of_repeats_does_not_matter(pause_s: float) -> None:
    ledger = CrashLedger()
    lose(ledger, "cause", "t-1", 0.0, 0.01)
    lose(ledger, "cause", "t-2", 0.01 + pause_s, 0.02 + pause_s)
    assert ledger.judge("cause", 0.03 + pause_s) is Judgement.REFUSED


# Guards against reports that take longer than repeats and then seem to be of the same time.
@pytest.mark.parametrize("is_reversed", [False, True])
def test_the_order_of_losses_survives_reports_that_took_long(is_reversed: bool) -> None:
    first = CrashLedger()
    losses = [first.make_loss(Content("x"), "t-1", 0.0, 0.1)]
    first.record_loss("x", losses[0])
    losses.append(first.make_loss(Content("x"), "t-2", 0.11, 0.2))
    # The report of the first loss came 0.3 s later than that of the second.
    late = Loss("t-1", 0.3, 0.4, losses[0].follows)
    other = CrashLedger()
    for loss in (losses[1], late) if is_reversed else (late, losses[1]):
        other.record_loss("x", loss)
        other.record_end(loss.target)
    assert other.judge("x", 0.5) is Judgement.REFUSED


# Guards against refusing what was in flight at many targets when they lost power together.
def test_losses_at_the_same_time_count_once() -> None:
    ledger = CrashLedger()
    for number in range(5):
        lose(ledger, "popular", f"t-{number}", 0.0, 1.0 + 0.01 * number)
    assert ledger.judge("popular", 1.1) is Judgement.ON_TRIAL
    lose(ledger, "popular", "t-9", 1.2, 1.3)
    assert ledger.judge("popular", 1.4) is Judgement.REFUSED


# Guards against refusing a request for lost links.
def test_a_target_that_is_met_again_was_not_crashed() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1)
    lose(ledger, "x", "t-2", 0.2, 0.3)
    assert ledger.record_met("t-1", 0.5)
    assert ledger.judge("x", 0.6) is Judgement.SUSPECT
    # It ends later, under the same request.
    lose(ledger, "x", "t-1", 2.0, 2.1)
    assert ledger.judge("x", 2.2) is Judgement.REFUSED


# Guards against a target that answers again only since it has started again under its id.
def test_a_target_that_has_started_again_had_ended() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1/1", 0.0, 0.1, ends=False)
    lose(ledger, "x", "t-2/1", 0.2, 0.3)
    ledger.record_met("t-1/1", 0.5)
    assert ledger.judge("x", 0.6) is Judgement.SUSPECT
    assert ledger.record_end("t-1/1", is_certain=True)
    assert ledger.judge("x", 0.7) is Judgement.REFUSED
    assert not ledger.record_met("t-1/1", 0.8) or ledger.judge("x", 0.9) is Judgement.REFUSED


def test_it_is_undecided_until_it_is_known_that_both_targets_ended() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1, ends=False)
    lose(ledger, "x", "t-2", 0.2, 0.3, ends=False)
    assert ledger.judge("x", 0.4) is Judgement.UNDECIDED
    assert ledger.list_undecided("x", 0.4) == ["t-1", "t-2"]
    ledger.record_end("t-1")
    assert ledger.judge("x", 0.4) is Judgement.UNDECIDED
    assert ledger.judge("x", 9.0) is Judgement.UNDECIDED
    ledger.record_end("t-2")
    assert ledger.judge("x", 0.4) is Judgement.REFUSED


# Guards against targets that end without a trace, one after the other under the same request.
def test_losses_that_nobody_explains_are_presumed_to_be_ends() -> None:
    ledger = CrashLedger()
    for number in range(3):
        sent_at = 4.0 * number
        assert ledger.judge("x", sent_at) is not Judgement.REFUSED
        lose(ledger, "x", f"t-{number}", sent_at, sent_at + 0.1, ends=False)
    assert ledger.judge("x", 8.2) is Judgement.UNDECIDED
    assert ledger.judge("x", 10.0) is Judgement.REFUSED
    # They were met: only links had been lost.
    ledger.record_met("t-1", 11.0)
    ledger.record_met("t-2", 11.0)
    assert ledger.judge("x", 11.0) is Judgement.SUSPECT


# Guards against copies of a request that crash their targets together, and again when they are
# back, since losses that overlap count once.
def test_a_request_under_which_several_targets_were_lost_together_is_on_trial() -> None:
    ledger = CrashLedger()
    for number in range(3):
        lose(ledger, "x", f"t-{number}", 0.0, 0.1, ends=False)
    for now in (0.2, 2.0, LONG_S):
        assert ledger.judge("x", now) is Judgement.ON_TRIAL
    lose(ledger, "x", "t-3", LONG_S, LONG_S + 0.1)
    assert ledger.judge("x", LONG_S + 0.2) is Judgement.UNDECIDED
    for number in range(3):
        ledger.record_end(f"t-{number}")
    assert ledger.judge("x", LONG_S + 599.0) is Judgement.REFUSED
    assert ledger.judge("x", LONG_S + 601.0) is Judgement.ON_TRIAL


# Guards against refusing a popular request, which is at every crash of anything.
def test_a_completed_request_is_not_taken_for_the_cause() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1)
    assert ledger.record_completion("x", 0.5)
    lose(ledger, "x", "t-2", 1.0, 1.1)
    assert ledger.judge("x", 1.2) is Judgement.SUSPECT
    # It completed before that loss, though this is learned only now.
    assert not ledger.record_completion("x", 0.9)
    assert ledger.judge("x", 1.2) is Judgement.SUSPECT


# Guards against refusing chats that ran beside the same crashing request twice.
def test_a_third_crash_tells_the_cause_from_what_ran_beside_it() -> None:
    ledger = CrashLedger()
    for digest in ("cause", "beside"):
        lose(ledger, digest, "t-1", 0.0, 0.1)
        lose(ledger, digest, "t-2", 0.2, 0.3)
    assert ledger.judge("cause", 1.0) is ledger.judge("beside", 1.0) is Judgement.ON_TRIAL
    lose(ledger, "cause", "t-3", 1.0, 1.1)
    assert ledger.judge("cause", 1.2) is Judgement.REFUSED
    assert ledger.judge("beside", 1.2) is Judgement.ON_TRIAL
    ledger.record_completion("beside", 1.3)
    assert ledger.judge("beside", 1.4) is Judgement.CLEAR


# Guards against refusing a popular request that happened to be in flight at each crash.
def test_of_two_requests_at_the_same_crashes_neither_is_refused_before_a_trial() -> None:
    ledger = CrashLedger()
    for number in range(3):
        for digest in ("cause", "popular"):
            lose(ledger, digest, f"t-{number}", float(number), number + 0.1)
    assert ledger.judge("cause", 3.0) is ledger.judge("popular", 3.0) is Judgement.ON_TRIAL
    ledger.record_completion("popular", 3.2)
    lose(ledger, "cause", "t-3", 3.3, 3.4)
    assert ledger.judge("cause", 3.5) is Judgement.REFUSED
    assert ledger.judge("popular", 3.5) is Judgement.CLEAR


# Guards against two requests that always come together and are tried for ever.
def test_requests_at_the_same_four_crashes_are_refused() -> None:
    ledger = CrashLedger()
    for number in range(4):
        for digest in ("cause", "other"):
            lose(ledger, digest, f"t-{number}", float(number), number + 0.1)
    assert ledger.judge("cause", 4.0) is ledger.judge("other", 4.0) is Judgement.REFUSED


# Guards against refusing requests whose targets end together with others, as with a loss of power.
def test_targets_that_end_together_need_a_third_crash() -> None:
    ledger = CrashLedger()
    for start in (0.0, 5.0):
        for digest in ("tent", "ghat", "ration"):
            lose(ledger, digest, f"{digest}-{start}", start, start + 0.1)
    assert ledger.judge("tent", 5.2) is Judgement.ON_TRIAL
    lose(ledger, "tent", "t-9", 6.0, 6.1)
    assert ledger.judge("tent", 6.2) is Judgement.REFUSED
    assert ledger.judge("ghat", 6.2) is Judgement.ON_TRIAL


# Guards against taking a loss of the request itself, not yet explained, for another cause.
def test_a_further_loss_under_the_same_request_is_no_other_cause() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.01)
    lose(ledger, "x", "t-2", 0.02, 0.03, ends=False)
    lose(ledger, "x", "t-3", 0.04, 0.05)
    assert ledger.judge("x", 0.06) is Judgement.REFUSED


# Guards against counting a target that was gone before the request was sent there.
def test_a_target_that_was_lost_before_does_not_count() -> None:
    ledger = CrashLedger()
    lose(ledger, "cause", "t-1", 0.0, 0.1)
    lose(ledger, "late", "t-1", 0.2, 0.3)
    lose(ledger, "late", "t-2", 0.4, 0.5)
    assert ledger.judge("late", 0.6) is Judgement.SUSPECT


# Guards against refusing a sound request for ten minutes: the first refusal is short.
def test_a_request_is_tried_again_after_the_first_refusal() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1)
    lose(ledger, "x", "t-2", 0.2, 0.3)
    assert ledger.judge("x", 0.3 + FIRST_REFUSAL_S - 0.1) is Judgement.REFUSED
    again = 0.4 + FIRST_REFUSAL_S
    assert ledger.judge("x", again) is Judgement.ON_TRIAL
    lose(ledger, "x", "t-3", again, again + 0.1)
    assert ledger.judge("x", again + 500.0) is Judgement.REFUSED


# Guards against forgetting a target that answers before the store shows that it has started again.
def test_a_loss_is_kept_until_a_new_start_would_be_known() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1/1", 0.0, 0.1, ends=False)
    ledger.record_met("t-1/1", 0.5)
    ledger.expire(0.6)
    assert ledger.record_end("t-1/1", is_certain=True)
    assert ledger.count_crashes("x", 0.7) == 1


def test_what_is_too_old_is_removed() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1)
    lose(ledger, "met", "t-2", 0.0, 0.1, ends=False)
    ledger.record_met("t-2", 0.2)
    ledger.expire(20.0)
    assert [digest for digest, _ in ledger.list_losses(20.0)] == ["x"]
    assert not ledger.record_end("t-2", is_certain=True)
    ledger.expire(LONG_S)
    assert ledger.list_ended() == []


def test_one_crash_that_several_instances_report_counts_once() -> None:
    ledger = CrashLedger()
    for delay in (0.0, 0.01, 0.3):
        ledger.record_loss("x", Loss("t-1", 0.0 + delay, 0.1 + delay))
        ledger.record_end("t-1")
    assert ledger.judge("x", 0.5) is Judgement.SUSPECT
    assert ledger.count_crashes("x", 0.5) == 1


def test_what_is_known_can_be_handed_on() -> None:
    ledger = CrashLedger()
    lose(ledger, "x", "t-1", 0.0, 0.1)
    lose(ledger, "x", "t-2", 0.2, 0.3)
    joined = CrashLedger()
    for digest, loss in ledger.list_losses(1.0):
        joined.record_loss(digest, loss)
    for target in ledger.list_ended():
        joined.record_end(target)
    assert joined.judge("x", 1.0) is Judgement.REFUSED
