"""What follows an attempt, for each kind of request and each outcome of the attempt."""

from __future__ import annotations

import pytest

from rhubarbbend import codes
from rhubarbbend.codes import Verdict
from rhubarbbend.core.catalog import RequestKind, Route, ServiceShare
from rhubarbbend.core.delivery import (
    AttemptOutcome,
    Progress,
    compute_verdict,
    decide_step,
)


def make_route(kind: RequestKind, attempts: int, resumable: bool = False) -> Route:
    shares = (ServiceShare("s", 1),)
    return Route("r", "h", "/", kind, 1.0, 0.2, 0, shares, attempts, resumable=resumable)


SAFE = make_route(RequestKind.SAFE, 2)
UNSAFE = make_route(RequestKind.UNSAFE, 2)
STREAM = make_route(RequestKind.STREAM, 2)
RESUMABLE = make_route(RequestKind.STREAM, 2, resumable=True)

# Route and outcome of the first attempt; whether it is retried, and whether it may have run.
FIRST_OUTCOMES = [
    (SAFE, AttemptOutcome.UNREACHED, True, False),
    (SAFE, AttemptOutcome.REJECTED, True, False),
    (SAFE, AttemptOutcome.MISDIRECTED, True, False),
    (SAFE, AttemptOutcome.BROKEN, True, True),
    (SAFE, AttemptOutcome.FAILED, True, True),
    (SAFE, AttemptOutcome.ANSWERED, False, True),
    (UNSAFE, AttemptOutcome.UNREACHED, True, False),
    (UNSAFE, AttemptOutcome.REJECTED, True, False),
    (UNSAFE, AttemptOutcome.MISDIRECTED, True, False),
    (UNSAFE, AttemptOutcome.BROKEN, False, True),
    (UNSAFE, AttemptOutcome.FAILED, False, True),
    (STREAM, AttemptOutcome.BROKEN, False, True),
    (STREAM, AttemptOutcome.REJECTED, True, False),
    (RESUMABLE, AttemptOutcome.BROKEN, True, True),
]


@pytest.mark.parametrize(("route", "end", "retry", "may_have_run"), FIRST_OUTCOMES)
def test_a_request_that_may_have_run_is_retried_only_if_it_is_idempotent(
    route: Route, end: AttemptOutcome, retry: bool, may_have_run: bool
) -> None:
    progress = Progress()
    progress.record_outcome(end)
    assert decide_step(route, end, progress).retry is retry
    assert compute_verdict(progress) is (Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN)


@pytest.mark.parametrize("route", [SAFE, RESUMABLE])
def test_no_more_targets_are_tried_than_the_route_allows(route: Route) -> None:
    progress = Progress()
    progress.record_outcome(AttemptOutcome.BROKEN)
    progress.record_outcome(AttemptOutcome.BROKEN)
    assert not decide_step(route, AttemptOutcome.BROKEN, progress).retry


def test_a_request_rejected_at_its_only_attempt_is_refused_as_not_run() -> None:
    progress = Progress()
    progress.record_outcome(AttemptOutcome.REJECTED)
    step = decide_step(make_route(RequestKind.UNSAFE, 1), AttemptOutcome.REJECTED, progress)
    assert (step.retry, step.code) == (False, codes.OVERLOADED)
    assert compute_verdict(progress) is Verdict.NOT_RUN


def test_a_rejection_after_a_broken_attempt_does_not_mean_not_run() -> None:
    progress = Progress()
    progress.record_outcome(AttemptOutcome.BROKEN)
    progress.record_outcome(AttemptOutcome.REJECTED)
    assert compute_verdict(progress) is Verdict.MAY_HAVE_RUN


# Guards against a second answer on a caller's connection: the first one, a failure, was passed on
# since the budget had no retry left.
def test_nothing_follows_a_failure_that_was_passed_on() -> None:
    progress = Progress(started=True)
    progress.record_outcome(AttemptOutcome.FAILED)
    step = decide_step(SAFE, AttemptOutcome.FAILED, progress)
    assert not step.retry and step.code is None
