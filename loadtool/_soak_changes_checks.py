"""Checks of a soak run that changes of the configuration lose no request (LOST).

Suspensions of instances and targets excuse nothing here by themselves: they stand for an event loop
that is late and for a sound target that is silent for a second.
"""

from __future__ import annotations

import enum
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final

import attrs

from loadtool._soak_caller import DEADLINE_MS
from loadtool._soak_checks import (
    MAX_CONFIG_APPLY_S,
    TOLERANCE_S,
    Period,
    RequestOutcome,
    RunRecord,
)
from loadtool._soak_faults import STOP_TIMEOUT_S
from loadtool._soak_schedule import FaultScope, ScheduledSoakFault, SoakFault
from standins._worker_types import Arrival

# From the users' pages: callers use connections that were idle for up to this part of the idle
# time-out, and a request that has used this part of its time is not counted as lost.
MAX_IDLE_FRACTION: Final = 0.8
USED_UP_FRACTION: Final = 0.7
DEADLINE_S: Final = int(DEADLINE_MS) / 1_000
# The longest suspension that belongs to the changes; the usual ones of a soak last longer.
MAX_SUSPENSION_S: Final = 1.0
# A target that is replaced is ended this long after its successor has started.
REPLACEMENT_S: Final = 2.0


class RequestEnd(enum.Enum):
    """How a request ended, as far as its caller could see."""

    ANSWERED = "answered"
    # The connection ended without a byte of an answer; the instance had read the whole request, or
    # the kernel had reset the connection because it had not.
    READ = "read"
    UNREAD = "unread"
    # The answer had begun and did not come to its end.
    CUT = "cut"
    # Nothing came until the caller gave up, 2 s after its deadline.
    SILENT = "silent"


@attrs.define(slots=True)
class KeptRequest:
    """A request; `last_sent_at` is when the last one before it on its connection was sent, or 0."""

    outcome: RequestOutcome
    end: RequestEnd
    last_sent_at: float


@attrs.define(slots=True)
class IdleClose:
    """A connection that an instance closed without a request on it; times are Unix times.

    It was idle since `last_sent_at` at the earliest, when its last request was sent: the caller may
    have received the answer late.
    """

    instance: str
    last_sent_at: float
    at: float


@attrs.define(slots=True)
class ConfigChange:
    """What a version of the configuration says, when it was sent and when it was acknowledged."""

    sent_at: float
    acknowledged_at: float
    idle_timeout_s: float
    route_timeout_s: float


@attrs.define(slots=True)
class ChangeRecord:
    """The requests, closes and versions of the configuration of a run, versions in order.

    `late` are the times in which the event loops of instances were late, by their logs.
    """

    requests: list[KeptRequest] = attrs.Factory(list)
    closes: list[IdleClose] = attrs.Factory(list)
    changes: list[ConfigChange] = attrs.Factory(list)
    late: list[Period] = attrs.Factory(list)

    def measure_lateness(self, outcome: RequestOutcome) -> float:
        """Return for how long the instance of a request was late while its caller waited."""
        return sum(
            max(0.0, min(period.until, outcome.ended_at) - max(period.since, outcome.sent_at))
            for period in self.late
            if period.name == outcome.instance
        )

    def list_in_force(self, since: float, until: float) -> list[ConfigChange]:
        """Return the versions that may be in force at some moment of a time.

        A version may be in force from its sending until its successor must be applied.
        """
        successors = [*self.changes[1:], None]
        return [
            change
            for change, successor in zip(self.changes, successors, strict=True)
            if change.sent_at <= until
            and (
                successor is None
                or successor.acknowledged_at + MAX_CONFIG_APPLY_S + TOLERANCE_S >= since
            )
        ]


def find_change_violations(
    record: RunRecord, changes: ChangeRecord, arrivals: list[Arrival]
) -> list[str]:
    """Return a line for each request that was lost and each connection closed too early."""
    workers_by_id: dict[str, list[str]] = defaultdict(list)
    for arrival in arrivals:
        workers_by_id[arrival.id].append(arrival.worker)
    violations: list[str] = []
    for request in changes.requests:
        workers = workers_by_id[request.outcome.id]
        violations += _check_unanswered(record, changes, request, workers)
        violations += _check_cut(record, changes, request, workers)
    early: dict[str, list[str]] = defaultdict(list)
    for close in list_closes(changes):
        early[close.instance] += _check_early(record, changes, close)
    violations += [
        f"early: {name} closed {len(lines)} connections too early, the first {lines[0]}"
        for name, lines in sorted(early.items())
        if lines
    ]
    return violations


def list_closes(changes: ChangeRecord) -> list[IdleClose]:
    """Return the closes of idle connections, with those that a request met."""
    crossed = [
        IdleClose(request.outcome.instance, request.last_sent_at, request.outcome.ended_at)
        for request in changes.requests
        if request.last_sent_at and request.end in (RequestEnd.READ, RequestEnd.UNREAD)
    ]
    return [*changes.closes, *crossed]


def describe_changes(changes: ChangeRecord) -> str:
    """Return the counts of a run as a line."""
    ends = Counter(request.end for request in changes.requests)
    kept = sum(request.last_sent_at > 0.0 for request in changes.requests)
    counts = ", ".join(f"{end.value}: {ends[end]}" for end in RequestEnd)
    return (
        f"changes of the configuration: {len(changes.changes) - 1}; requests: "
        f"{len(changes.requests)}, on kept connections: {kept}; {counts}; "
        f"connections closed while idle: {len(changes.closes)}"
    )


def _check_unanswered(
    record: RunRecord, changes: ChangeRecord, request: KeptRequest, workers: list[str]
) -> Iterable[str]:
    """Check that a request that was read or passed on got an answer or a refusal."""
    outcome = request.outcome
    # A request that was neither read nor passed on has crossed the close: the rule excludes it.
    is_lost = request.end is RequestEnd.READ or (request.end is RequestEnd.UNREAD and workers)
    is_silent = request.end is RequestEnd.SILENT
    if not is_lost and not is_silent:
        return
    # A process that was killed can answer nothing.
    if _list_instance_faults(record, outcome, {SoakFault.KILL}):
        return
    # Nobody waits any longer for a request whose deadline has come; what is silent is beyond it.
    duration = outcome.ended_at - outcome.sent_at
    if is_lost and duration >= USED_UP_FRACTION * DEADLINE_S:
        return
    # The refusal at the deadline comes later by the time for which the process did not run: that is
    # more than the caller waits if the machine was busy, or a usual suspension lasted longer.
    if is_silent and changes.measure_lateness(outcome) > MAX_SUSPENSION_S:
        return
    yield (
        f"unanswered: {outcome.id} ({outcome.kind}) at {outcome.instance}, {request.end.value}, "
        f"sent at {outcome.sent_at - record.started:.2f} s {_format_reuse(request)}, ended "
        f"{duration:.2f} s later; at targets: {workers}"
    )


def _check_cut(
    record: RunRecord, changes: ChangeRecord, request: KeptRequest, workers: list[str]
) -> Iterable[str]:
    """Check that an answer that has begun comes to its end, also if its target falls silent."""
    outcome = request.outcome
    if request.end is not RequestEnd.CUT:
        return
    in_force = changes.list_in_force(outcome.sent_at, outcome.ended_at)
    limit = min(DEADLINE_S, *(change.route_timeout_s for change in in_force))
    duration = outcome.ended_at - outcome.sent_at
    # A request that has used seven tenths of its time does not count, by the rule.
    if duration >= USED_UP_FRACTION * limit or _may_be_broken_off(record, outcome, workers):
        return
    yield (
        f"cut: {outcome.id} ({outcome.kind}) at {outcome.instance}, sent at "
        f"{outcome.sent_at - record.started:.2f} s, ended {duration:.2f} s later; at targets: "
        f"{workers}"
    )


def _check_early(record: RunRecord, changes: ChangeRecord, close: IdleClose) -> Iterable[str]:
    """Check that no connection is closed within the idle time that its caller may use."""
    # An instance that was suspended closes by what was in force before.
    in_force = changes.list_in_force(close.at - MAX_SUSPENSION_S, close.at)
    usable_s = MAX_IDLE_FRACTION * min(change.idle_timeout_s for change in in_force)
    idle_s = close.at - close.last_sent_at
    if idle_s >= usable_s or _is_stopped_or_uninformed(record, close):
        return
    yield (
        f"at {close.at - record.started:.2f} s, {idle_s:.2f} s after its last request; callers may "
        f"use it for {usable_s:.2f} s"
    )


def _format_reuse(request: KeptRequest) -> str:
    if not request.last_sent_at:
        return "on a new connection"
    return (
        f"{request.outcome.sent_at - request.last_sent_at:.2f} s after the last on its connection"
    )


def _overlaps(
    record: RunRecord, fault: ScheduledSoakFault, since: float, until: float, after_s: float = 0.0
) -> bool:
    """Return whether a fault, or the time of `after_s` after it, lies in a time."""
    begins, ends = record.started + fault.at, record.started + fault.until + after_s
    return begins <= until + TOLERANCE_S and ends >= since - TOLERANCE_S


def _list_instance_faults(
    record: RunRecord, outcome: RequestOutcome, kinds: set[SoakFault]
) -> list[ScheduledSoakFault]:
    return [
        fault
        for fault in record.scheduled_faults
        if fault.fault in kinds
        and fault.victim == outcome.instance
        and _overlaps(record, fault, outcome.sent_at, outcome.ended_at)
    ]


def _may_be_broken_off(record: RunRecord, outcome: RequestOutcome, workers: list[str]) -> bool:
    """Return whether another fault may have broken an answer off.

    That is one of the targets at which the request was, except a suspension, a cut of links of the
    instance, or the end of an instance that handed the request on or answered it.
    """
    for fault in record.scheduled_faults:
        if not _overlaps(record, fault, outcome.sent_at, outcome.ended_at, REPLACEMENT_S):
            continue
        scope, victim = fault.fault.scope, fault.victim
        is_at_target = scope is FaultScope.TARGET and fault.fault is not SoakFault.TARGET_PAUSED
        if is_at_target and any(worker.startswith(victim) for worker in workers):
            return True
        if scope is FaultScope.OWN_LINKS and victim == outcome.instance:
            return True
        ends_process = fault.fault in (SoakFault.KILL, SoakFault.STOP)
        if ends_process and (victim == outcome.instance or outcome.id in record.detoured):
            return True
        if scope is FaultScope.PEERS and outcome.id in record.detoured:
            return True
    return False


def _is_stopped_or_uninformed(record: RunRecord, close: IdleClose) -> bool:
    """Return whether an instance ended, or could not know the configuration, before a close."""
    since = close.at - MAX_SUSPENSION_S - MAX_CONFIG_APPLY_S
    for fault in record.scheduled_faults:
        is_own = fault.victim == close.instance and fault.fault.scope is FaultScope.INSTANCE
        is_own_long = is_own and (
            fault.fault is not SoakFault.PAUSE or fault.until - fault.at > MAX_SUSPENSION_S
        )
        is_stop = is_own and fault.fault in (SoakFault.KILL, SoakFault.STOP)
        after_s = STOP_TIMEOUT_S if is_stop else 0.0
        if (is_own_long or fault.fault.scope is FaultScope.STORE) and _overlaps(
            record, fault, since, close.at, after_s
        ):
            return True
    return False
