"""Checks of a soak run that instances act on what targets say in their answers.

Each instance is judged by the answers that it got itself, whatever the store says.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from loadtool._soak_checks import MAX_TARGET_DRAIN_S, TOLERANCE_S, RequestOutcome, RunRecord
from loadtool._soak_faults import ROUTE_FAULTS
from loadtool._soak_schedule import FaultScope, SoakFault
from standins._worker_types import Arrival

# Requests that may still reach a target from this long after it asked for a pause until its end.
PAUSE_GRACE_S: Final = 0.5
MAX_REQUESTS_IN_PAUSE: Final = 2
# An instance that was suspended or started again may not know what a target had said to it.
EXCUSING_FAULTS: Final = frozenset({SoakFault.KILL, SoakFault.STOP, SoakFault.PAUSE})


def find_notice_violations(record: RunRecord, arrivals: list[Arrival]) -> list[str]:
    """Return a line for each pause or leaving of a target that an instance did not act on."""
    outcomes = {outcome.id: outcome for outcome in record.outcomes}
    by_pair: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if arrival.id in outcomes:
            by_pair[outcomes[arrival.id].instance, arrival.worker].append(arrival)
    violations: list[str] = []
    for (instance, worker), received in by_pair.items():
        violations += _check_pauses(record, instance, worker, received, outcomes)
        violations += _check_leaving(record, instance, worker, received, outcomes)
    return violations


def _check_pauses(
    record: RunRecord,
    instance: str,
    worker: str,
    received: list[Arrival],
    outcomes: dict[str, RequestOutcome],
) -> Iterable[str]:
    for asked in received:
        ends_at = asked.at + asked.pause_s
        # A request that was held up behind a cut got its rejection when nobody waited for it.
        is_unheard = asked.at > outcomes[asked.id].ended_at + TOLERANCE_S
        if asked.id in record.detoured or is_unheard:
            continue
        own = [a for a in received if a.id not in record.detoured]
        within = [a for a in own if asked.at + PAUSE_GRACE_S < a.at < ends_at]
        if len(within) <= MAX_REQUESTS_IN_PAUSE:
            continue
        if not _is_excused(record, instance, worker, asked.at, ends_at):
            yield (
                f"pause: {worker} asked {instance} for {asked.pause_s:g} s and got {len(within)} "
                f"requests meanwhile, the last {within[-1].id}"
            )


def _check_leaving(
    record: RunRecord,
    instance: str,
    worker: str,
    received: list[Arrival],
    outcomes: dict[str, RequestOutcome],
) -> Iterable[str]:
    # A request may be held up behind a cut, and arrive when its caller has another answer.
    passed_on = [
        outcomes[a.id]
        for a in received
        if a.leaving and a.ran and a.at <= outcomes[a.id].ended_at + TOLERANCE_S
    ]
    told_at = min((o.ended_at for o in passed_on if o.complete), default=None)
    if told_at is None:
        return
    for arrival in received:
        sent_at = outcomes[arrival.id].sent_at
        if arrival.id in record.detoured or sent_at <= told_at + MAX_TARGET_DRAIN_S + TOLERANCE_S:
            continue
        if not _is_excused(record, instance, worker, told_at, sent_at):
            yield (
                f"leaving: {arrival.id} reached {worker} from {instance}, sent "
                f"{sent_at - told_at:.2f} s after it had passed on that it leaves"
            )


def _is_excused(record: RunRecord, instance: str, worker: str, since: float, until: float) -> bool:
    """Return whether a restart, suspension or cut of an instance lies in a time."""
    for scheduled in record.scheduled_faults:
        is_of_instance = scheduled.victim == instance and scheduled.fault in EXCUSING_FAULTS
        is_of_link = (
            scheduled.fault.scope is FaultScope.TARGET
            and scheduled.fault in ROUTE_FAULTS
            and worker.startswith(scheduled.victim)
        )
        began_at, ended_at = record.started + scheduled.at, record.started + scheduled.until
        if (is_of_instance or is_of_link) and began_at <= until and ended_at >= since - TOLERANCE_S:
            return True
    return False
