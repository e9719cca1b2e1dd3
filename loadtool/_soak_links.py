"""Checks of a soak run that callers of instances without links to targets are served (RECOVER)."""

from __future__ import annotations

from typing import Final

from loadtool._soak_checks import MIN_UNDISTURBED_S, Period, RequestOutcome, RunRecord

# The users' rule: callers of these instances are served at least this share as often as the others,
# or no more than so many of them, and one in so many, fail.
MIN_SERVED_RATIO: Final = 2 / 3
MAX_FAILED: Final = 10
MAX_FAILED_FRACTION: Final = 1 / 50


def find_link_violations(record: RunRecord) -> list[str]:
    """Return a line for each time in which callers of cut-off instances were served too seldom."""
    return [line for period in record.cut_off for line in _check_period(record, period)]


def _check_period(record: RunRecord, period: Period) -> list[str]:
    tries = [
        outcome
        for outcome in record.outcomes
        if period.since + MIN_UNDISTURBED_S <= outcome.sent_at <= period.until
        and record.is_undisturbed(outcome.instance, outcome.sent_at)
    ]
    cut_off = {p.name for p in record.cut_off if p.since <= period.until and p.until > period.since}
    at_victim = [outcome for outcome in tries if outcome.instance == period.name]
    elsewhere = [outcome for outcome in tries if outcome.instance not in cut_off]
    failed = len(at_victim) - _count_served(at_victim)
    if failed <= MAX_FAILED + MAX_FAILED_FRACTION * len(tries):
        return []
    served = _count_served(at_victim) / len(at_victim)
    served_elsewhere = _count_served(elsewhere) / len(elsewhere) if elsewhere else 0.0
    if served >= MIN_SERVED_RATIO * served_elsewhere:
        return []
    return [
        f"links: {period.name} without links served {served:.2f} of {len(at_victim)} first tries, "
        f"the others {served_elsewhere:.2f} of {len(elsewhere)}"
    ]


def _count_served(outcomes: list[RequestOutcome]) -> int:
    return sum(outcome.status == 200 and outcome.complete for outcome in outcomes)
