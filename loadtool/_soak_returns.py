"""Losses of all instances at once in a soak run, and the check that service comes back in time.

All are killed and come back together, in some runs a second time before the first return is over;
the store is slow or refuses meanwhile, by the seed. The other faults of the run go on.
"""

from __future__ import annotations

import random
from typing import Final

from loadtool._soak_checks import RequestOutcome, RunRecord
from loadtool._soak_schedule import ScheduledSoakFault, SoakFault, SoakLayout

# When all are lost, as a fraction of the run, so that enough of it is left after the return.
LOSS_FRACTION: Final = 0.2
DOWN_S: Final = (0.3, 2.5)
# A second loss follows so many seconds after the first return.
SECOND_LOSS_S: Final = (0.3, 4.0)
STORE_FAULTS: Final = (None, SoakFault.STORE_SLOW, SoakFault.STORE_REFUSES)
STORE_FAULT_S: Final = 3.0
# From the users' rule: the time from the return on, after which the share of requests that is
# served is at least this one, if as many were served before.
RECOVERY_S: Final = 12.0
MIN_SHARE: Final = 0.25
MIN_REQUESTS: Final = 20


def make_return_schedule(
    seed: int, duration: float, layout: SoakLayout
) -> list[ScheduledSoakFault]:
    """Return one or two losses of all instances, to be added to the faults of the same seed."""
    chooser = random.Random(f"returns {seed}")
    at = LOSS_FRACTION * duration
    scheduled: list[ScheduledSoakFault] = []
    for _ in range(chooser.choice((1, 2))):
        until = at + chooser.uniform(*DOWN_S)
        scheduled += [
            ScheduledSoakFault(round(at, 2), round(until, 2), SoakFault.KILL, name)
            for name in layout.instances
        ]
        at = until + chooser.uniform(*SECOND_LOSS_S)
    store_fault = chooser.choice(STORE_FAULTS)
    if store_fault is not None:
        since = scheduled[0].at
        scheduled.append(ScheduledSoakFault(since, since + STORE_FAULT_S, store_fault, "store"))
    return scheduled


def find_return_violations(record: RunRecord, losses: list[ScheduledSoakFault]) -> list[str]:
    """Return a line if far too few requests are served after all instances have returned."""
    kills = [loss for loss in losses if loss.fault is SoakFault.KILL]
    lost_at = min(kill.at for kill in kills)
    recovered_at = max(kill.until for kill in kills) + RECOVERY_S
    before, after = [], []
    for outcome in _list_awaited(record):
        at = outcome.sent_at - record.started
        is_served = outcome.status == 200 and outcome.complete
        if at < lost_at:
            before.append(is_served)
        elif at >= recovered_at:
            after.append(is_served)
    if min(len(before), len(after)) < MIN_REQUESTS:
        return [f"return: {len(before)} requests before the loss, {len(after)} after the return"]
    if sum(before) < MIN_SHARE * len(before) or sum(after) >= MIN_SHARE * len(after):
        return []
    return [
        f"return: {sum(after)} of {len(after)} requests are served from {RECOVERY_S:.0f} s after "
        f"the return on, {sum(before)} of {len(before)} before the loss"
    ]


def _list_awaited(record: RunRecord) -> list[RequestOutcome]:
    """Return the requests whose callers waited for the whole answer."""
    return [outcome for outcome in record.outcomes if not outcome.was_left]


def describe_return(record: RunRecord, losses: list[ScheduledSoakFault]) -> str:
    """Return the share of requests served in each second after the first loss as a line."""
    lost_at = int(losses[0].at)
    shares: list[str] = []
    for second in range(lost_at, lost_at + int(RECOVERY_S) + 4):
        served = [
            outcome.status == 200 and outcome.complete
            for outcome in _list_awaited(record)
            if int(outcome.sent_at - record.started) == second
        ]
        shares.append(f"{sum(served) / len(served):.2f}" if served else "-")
    return f"served in each second from {lost_at} s on: {' '.join(shares)}"
