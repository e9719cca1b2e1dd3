"""Decides what follows an attempt: a retry, the target's answer, a refusal or a failure."""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.catalog import Route


class AttemptOutcome(enum.Enum):
    """How an attempt at one target ended."""

    # No byte of the request was written.
    UNREACHED = "unreached"
    # Nothing was written: while the connection was being opened, the target asked for a pause, or
    # the deadline passed.
    WITHHELD = "withheld"
    # Nothing was written: the target has reset the new connection, since it accepts no more.
    FULL = "full"
    # Nothing was written: the target may have started again with another version than the stream
    # has that the request continues.
    RESTARTED = "restarted"
    # The target reported that it did not run the request and will not.
    REJECTED = "rejected"
    # A different target answered at the address; the request was not run.
    MISDIRECTED = "misdirected"
    # The target itself sent a complete answer, whether a success or an error.
    ANSWERED = "answered"
    # The target itself answered that it failed while it ran the request.
    FAILED = "failed"
    # The request was sent, but no complete answer arrived.
    BROKEN = "broken"


NOT_SENT_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.UNREACHED,
        AttemptOutcome.WITHHELD,
        AttemptOutcome.FULL,
        AttemptOutcome.RESTARTED,
    }
)


class Progress(msgspec.Struct):
    """The state of one request's delivery.

    `targets` is the number of targets that the request was sent to, `sends` the number of times
    that bytes of it were written. `may_have_run` is set once a target may have run the request,
    `started` once the caller has received part of an answer.
    """

    targets: int = 0
    sends: int = 0
    may_have_run: bool = False
    started: bool = False

    def record_outcome(self, end: AttemptOutcome) -> None:
        """Record how an attempt ended."""
        if end in NOT_SENT_OUTCOMES:
            return
        self.sends += 1
        if end is AttemptOutcome.MISDIRECTED:
            return
        self.targets += 1
        if end is not AttemptOutcome.REJECTED:
            self.may_have_run = True


class Step(msgspec.Struct, frozen=True):
    """What to do next: retry, or finish the request.

    `code` is the error that the caller gets if the request is not retried; None means that the
    target's answer is passed to the caller.
    """

    retry: bool
    code: ErrorCode | None = None


PASS_ANSWER = Step(False)


def compute_verdict(progress: Progress) -> Verdict:
    """Return whether a request may have run."""
    return Verdict.MAY_HAVE_RUN if progress.may_have_run else Verdict.NOT_RUN


def decide_step(route: Route, end: AttemptOutcome, progress: Progress) -> Step:
    """Decide what follows an attempt that `progress` already counts.

    A request that may have run is retried only if it is idempotent. One that no target started to
    run may go to another target as long as the route allows one more.
    """
    if end is AttemptOutcome.ANSWERED:
        return PASS_ANSWER
    has_attempt_left = progress.targets < route.max_attempts
    if end in NOT_SENT_OUTCOMES or end is AttemptOutcome.MISDIRECTED:
        return Step(True)
    if end is AttemptOutcome.REJECTED and (not progress.may_have_run or route.idempotent):
        return Step(has_attempt_left, codes.OVERLOADED)
    if end is AttemptOutcome.FAILED:
        # The target's own answer tells the caller more than an error generated here. Once it was
        # sent, as when the budget had no retry left, another attempt would add a second answer.
        can_retry = has_attempt_left and route.idempotent and not progress.started
        return Step(True) if can_retry else PASS_ANSWER
    if has_attempt_left and route.idempotent:
        return Step(True, codes.TARGET_FAILED)
    return Step(False, codes.TARGET_FAILED)
