"""Plans how requests move to a candidate that has passed, before the stable targets end.

When a roll-out succeeds, the stable targets end at once and lose what runs there. Routes with long
answers therefore move earlier, as far as the bound on the candidate's requests allows.
"""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core.rollouts._evidence import (
    Evidence,
    RouteEvidence,
    find_quantile_bucket,
    get_bucket_end,
)
from rhubarbbend.core.rollouts._exposure import SHARE_MARGIN_FACTOR, SLACK_MARGIN_FACTOR
from rhubarbbend.core.rollouts._types import ExposureOptions

# The success is written this long before the deadline: time for a write that has to be repeated.
SUCCESS_MARGIN_S: Final = 0.25
# Between the success and the deadline, this many times as many requests as on average may go to the
# candidate: they may come faster, and those that waited for the success follow it.
BURST_FACTOR: Final = 2.0
# Of a short roll-out, at most this fraction.
MAX_MARGIN_FRACTION: Final = 0.05
# A route moves this long before the success, unless its answers are known to take longer.
MIN_LEAD_S: Final = 0.2
# Requests that can be repeated at another target need not have left the stable ones. They move
# early enough that few have to be.
IDEMPOTENT_LEAD_S: Final = 0.3
# Leads are long enough for this fraction of a route's answers.
ANSWERED_FRACTION: Final = 0.98
# Bounds of the part of all requests to the candidate that is used to try it.
MIN_TRIAL_FRACTION: Final = 0.5
MAX_TRIAL_FRACTION: Final = 0.85
# No route moves earlier than this fraction of the roll-out before its success.
MAX_LEAD_FRACTION: Final = 0.4


class ShiftPlan(msgspec.Struct, frozen=True):
    """When the roll-out is to succeed, from its order, and how long before that each route moves.

    All times are in seconds. `trial_fraction` is the part of all requests to the candidate that is
    not needed for moving, and can be used to try it.
    """

    succeed_at_s: float
    leads: dict[str, float]
    trial_fraction: float = MIN_TRIAL_FRACTION

    @property
    def starts_at_s(self) -> float:
        """When the first route moves, from the order."""
        return self.succeed_at_s - max(self.leads.values(), default=MIN_LEAD_S)


def compute_success_margin(duration_s: float) -> float:
    """Return how many seconds before its deadline a roll-out is to succeed."""
    return min(SUCCESS_MARGIN_S, MAX_MARGIN_FRACTION * duration_s)


def compute_reserve(duration_s: float) -> float:
    """Return the fraction of all requests that may come between the success and the deadline."""
    return BURST_FACTOR * compute_success_margin(duration_s) / duration_s


def compute_success_time(duration_s: float) -> float:
    """Return when a roll-out is to succeed, in seconds from its order."""
    return duration_s - compute_success_margin(duration_s)


def plan_shift(
    evidence: Evidence, options: ExposureOptions, duration_s: float, age_s: float
) -> ShiftPlan:
    """Return the plan for a roll-out that was ordered `age_s` ago.

    The requests that may still go to the candidate are first set aside for the time between the
    success and the deadline, then for requests that cannot be repeated, then for the others.
    """
    succeed_at_s = compute_success_time(duration_s)
    rates = {name: r.requests / max(1.0, age_s) for name, r in evidence.routes.items()}
    allowed = SHARE_MARGIN_FACTOR * options.share * sum(rates.values()) * duration_s
    allowed += SLACK_MARGIN_FACTOR * options.slack
    allowed -= sum(rates.values()) * duration_s * compute_reserve(duration_s)
    left = allowed - evidence.exposed
    leads: dict[str, float] = {}
    needed_in_all = 0.0
    for idempotent in (False, True):
        wanted = {
            name: min(MAX_LEAD_FRACTION * duration_s, _find_lead(route))
            for name, route in sorted(evidence.routes.items())
            if route.idempotent is idempotent
        }
        needed = sum(rates[name] * lead for name, lead in wanted.items())
        scale = min(1.0, max(0.0, left) / needed) if needed > 0.0 else 1.0
        leads |= {name: round(lead * scale, 3) for name, lead in wanted.items()}
        left -= needed * scale
        needed_in_all += needed
    unneeded = 1.0 - needed_in_all / allowed if allowed > 0.0 else 0.0
    trial_fraction = min(MAX_TRIAL_FRACTION, max(MIN_TRIAL_FRACTION, unneeded))
    return ShiftPlan(succeed_at_s, leads, round(trial_fraction, 3))


def _find_lead(route: RouteEvidence) -> float:
    if route.idempotent:
        return IDEMPOTENT_LEAD_S
    durations = route.stable.durations
    if not durations:
        return MIN_LEAD_S
    return max(MIN_LEAD_S, get_bucket_end(find_quantile_bucket(durations, ANSWERED_FRACTION)))
