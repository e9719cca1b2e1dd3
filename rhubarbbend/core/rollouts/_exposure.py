"""Bounds the requests that one instance sends to a candidate version.

The bound holds over all instances without any messages between them: each keeps the share of its
own requests, so instances that die, restart or are partitioned cannot break it together.
"""

from __future__ import annotations

from random import Random
from typing import Final

from rhubarbbend.core.rollouts._types import ExposureOptions

# Fraction of the allowed share that is used. The rest covers requests that reach several targets,
# and those that are counted here but never reach the service.
SHARE_MARGIN_FACTOR: Final = 0.95
# Fraction of the slack that the instances divide among themselves. The rest covers instances that
# restart with a new credit.
SLACK_MARGIN_FACTOR: Final = 0.9
# Fraction of the slack that may be used at the start of a roll-out.
FIRST_SLACK_FRACTION: Final = 0.4


class ExposureLimiter:
    """How many requests this instance may still send to a candidate.

    Invariant: requests sent <= `share` x requests seen + the initial credit. The initial credit is
    random between 0 and 1: many instances with few requests each then send the share in total,
    instead of each rounding it down to none. An instance that was already running when the roll-out
    was ordered (`was_running`) adds its part of the slack; one that has restarted since may have
    used it before. `reserve` is the fraction of all requests that may
    come between the success and the deadline of the roll-out, when all go to the candidate.
    """

    def __init__(
        self,
        options: ExposureOptions,
        instances: int,
        was_running: bool,
        reserve: float,
        random: Random,
    ) -> None:
        self._share = max(0.0, SHARE_MARGIN_FACTOR * options.share - reserve)
        slack = SLACK_MARGIN_FACTOR * options.slack / max(1, instances) if was_running else 0.0
        self._slack = slack
        # What the requests so far have earned, and how many were sent to the candidate.
        self._earned = 0.0
        self._spent = 0
        self._draw = random.random()

    def record_request(self) -> None:
        """Record a request to the service, whichever version it goes to."""
        self._earned += self._share

    def has_trial_credit(self, trial_fraction: float, passed_fraction: float) -> bool:
        """Return whether one more request may go to the candidate while it is on trial.

        Only `trial_fraction` of the credit may be used then. Part of the slack becomes available
        with time, `passed_fraction` of the roll-out: a version may turn bad late.
        """
        slack = self._slack * (FIRST_SLACK_FRACTION + (1 - FIRST_SLACK_FRACTION) * passed_fraction)
        return self._draw + trial_fraction * (self._earned + slack) - self._spent >= 1.0

    def has_credit(self) -> bool:
        """Return whether one more request may go to the candidate while requests move to it."""
        return self._draw + self._earned + self._slack - self._spent >= 1.0

    def spend(self) -> None:
        """Record a request that is sent to the candidate."""
        self._spent += 1
