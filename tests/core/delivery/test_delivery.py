"""What follows an attempt, for each kind of request and each end."""

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

# Route, end of the first attempt: whether another target is tried, and whether it may have run.
FIRST_ENDS = [
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


@pytest.mark.parametrize(("route", "end", "retry", "ran"), FIRST_ENDS)
def test_a_request_that_may_have_run_is_sent_again_only_if_it_is_idempotent(
    route: Route, end: AttemptEnd, retry: bool, ran: bool
) -> None:
    progress = Progress()
    progress.note_end(end)
    assert decide_step(route, end, progress).retry is retry
    assert judge(progress) is (Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN)


@pytest.mark.parametrize("route", [SAFE, RESUMABLE])
def test_no_more_targets_are_tried_than_the_route_allows(route: Route) -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.BROKEN)
    progress.note_end(AttemptEnd.BROKEN)
    assert not decide_step(route, AttemptEnd.BROKEN, progress).retry


def test_a_rejected_request_of_one_attempt_is_refused_as_not_run() -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.REJECTED)
    step = decide_step(make_route(RequestKind.UNSAFE, 1), AttemptEnd.REJECTED, progress)
    assert (step.retry, step.code) == (False, codes.OVERLOADED)
    assert judge(progress) is Verdict.NOT_RUN


def test_a_rejection_after_a_broken_attempt_is_no_word_that_nothing_ran() -> None:
    progress = Progress()
    progress.note_end(AttemptEnd.BROKEN)
    progress.note_end(AttemptEnd.REJECTED)
    assert judge(progress) is Verdict.MAY_HAVE_RUN


def test_a_request_is_refused_once_it_was_at_two_crashes() -> None:
    # A request crashes each target that runs it, and its caller sends it again. Requests beside
    # it are seen at one crash; only the cause is seen at the next as well.
    book = CrashBook()
    assert book.note_crash("cause", "t-1", 0.0)
    assert book.note_crash("beside", "t-1", 0.0)
    assert not book.note_crash("cause", "t-1", 0.1)
    assert not book.is_refused("cause", 0.2)
    book.note_crash("cause", "t-2", 5.0)
    assert book.is_refused("cause", 5.1)
    assert not book.is_refused("beside", 5.1)
    assert not book.is_refused("cause", 1_000.0)


def test_a_request_that_ran_to_its_end_is_no_cause() -> None:
    book = CrashBook()
    book.note_crash("x", "t-1", 0.0)
    book.clear("x")
    book.note_crash("x", "t-2", 1.0)
    assert not book.is_refused("x", 1.1)
