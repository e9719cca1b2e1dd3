"""What follows an attempt, for each kind of request and each outcome of the attempt."""

from __future__ import annotations

import pytest

from rhubarbbend import codes
from rhubarbbend.codes import Verdict
from rhubarbbend.core.catalog import RequestKind, Route, ServiceShare
from rhubarbbend.core.delivery import AttemptEnd, CrashBook, Progress, decide_step, judge


def make_route(kind: RequestKind, attempts: int, resumable: bool = False) -> Route:
    shares = (ServiceShare("s", 1),)
    return Route("r", "h", "/", kind, 1.0, 0.2, 0, shares, attempts, resumable=resumable)


SAFE = make_route(RequestKind.SAFE, 2)
UNSAFE = make_route(RequestKind.UNSAFE, 2)
STREAM = make_route(RequestKind.STREAM, 2)
RESUMABLE = make_route(RequestKind.STREAM, 2, resumable=True)

# Route and outcome of the first attempt; whether it is retried, and whether it may have run.
FIRST_OUTCOMES = [
    (SAFE, AttemptEnd.UNREACHED, True, False),
    (SAFE, AttemptEnd.REJECTED, True, False),
    (SAFE, AttemptEnd.MISDIRECTED, True, False),
    (SAFE, AttemptEnd.BROKEN, True, True),
    (SAFE, AttemptEnd.FAILED, True, True),
    (SAFE, AttemptEnd.ANSWERED, False, True),
    (UNSAFE, AttemptEnd.UNREACHED, True, False),
    (UNSAFE, AttemptEnd.REJECTED, True, False),
    (UNSAFE, AttemptEnd.MISDIRECTED, True, False),
    (UNSAFE, AttemptEnd.BROKEN, False, True),
    (UNSAFE, AttemptEnd.FAILED, False, True),
    (STREAM, AttemptEnd.BROKEN, False, True),
    (STREAM, AttemptEnd.REJECTED, True, False),
    (RESUMABLE, AttemptEnd.BROKEN, True, True),
]


@pytest.mark.parametrize(("route", "end", "retry", "may_have_run"), FIRST_OUTCOMES)
def test_a_request_that_may_have_run_is_retried_only_if_it_is_idempotent(
    route: Route, end: AttemptEnd, retry: bool, may_have_run: bool
) -> None:
    progress = Progress()
    progress.note_end(end)
    assert decide_step(route, end, progress).retry is retry
    assert judge(progress) is (Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN)


@pytest.mark.parametrize("route", [SAFE, RESUMABLE])
def test_no_more_targets_are_tried_than_the_route_allows(route: Route) -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.BROKEN)
    progress.note_end(AttemptEnd.BROKEN)
    assert not decide_step(route, AttemptEnd.BROKEN, progress).retry


def test_a_request_rejected_at_its_only_attempt_is_refused_as_not_run() -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.REJECTED)
    step = decide_step(make_route(RequestKind.UNSAFE, 1), AttemptEnd.REJECTED, progress)
    assert (step.retry, step.code) == (False, codes.OVERLOADED)
    assert judge(progress) is Verdict.NOT_RUN


def test_a_rejection_after_a_broken_attempt_does_not_mean_not_run() -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.BROKEN)
    progress.note_end(AttemptEnd.REJECTED)
    assert judge(progress) is Verdict.MAY_HAVE_RUN


def test_a_request_is_refused_after_crashes_of_two_targets() -> None:
    # A request crashes each target that runs it, and its caller sends it again. Requests that run
    # on the same target are present at one crash; only the cause is present at the second as well.
    tracker = CrashBook()
    assert tracker.note_crash("cause", "t-1", 0.0)
    assert tracker.note_crash("bystander", "t-1", 0.0)
    assert not tracker.note_crash("cause", "t-1", 0.1)
    assert not tracker.is_refused("cause", 0.2)
    tracker.note_crash("cause", "t-2", 5.0)
    assert tracker.is_refused("cause", 5.1)
    assert not tracker.is_refused("bystander", 5.1)
    assert not tracker.is_refused("cause", 1_000.0)


def test_a_completed_request_is_not_taken_for_the_cause_of_a_crash() -> None:
    tracker = CrashBook()
    tracker.note_crash("x", "t-1", 0.0)
    tracker.clear("x")
    tracker.note_crash("x", "t-2", 1.0)
    assert not tracker.is_refused("x", 1.1)
