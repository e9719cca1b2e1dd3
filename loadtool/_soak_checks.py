"""Checks the guarantees of a soak run.

The checks compare what callers sent and received with the requests that reached the targets.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final

import attrs

from loadtool._soak_schedule import FaultScope, ScheduledSoakFault, SoakFault
from standins._worker_types import Arrival, make_response_body, make_stream_event

# The shortest limits among the known deployments: after this time a change of configuration is in
# force, and a draining target or the targets of an evacuated zone get no more requests.
MAX_CONFIG_APPLY_S: Final = 2.0
MAX_TARGET_DRAIN_S: Final = 2.0
MAX_ZONE_EVACUATION_S: Final = 5.0
# These limits apply to an instance once it and the store have had no fault for this long.
MIN_UNDISTURBED_S: Final = 3.0
# Tolerance for requests in flight when a limit expires and for clocks read at different moments.
TOLERANCE_S: Final = 0.3
# A cold target of the fleet can handle 4 requests a second; the fleet may send 1.5 times as many,
# and 2 more.
MAX_COLD_REQUESTS_PER_S: Final = 8
# Statuses that guarantee that a request was not executed and will not be.
NOT_EXECUTED_STATUSES: Final = frozenset({408, 421, 429, 503})
AT_MOST_ONCE_KINDS: Final = frozenset({"book", "plan"})
STREAM_EVENT_COUNT: Final = 5


@attrs.define(slots=True)
class RequestOutcome:
    """A request of a caller and the response to it; times are Unix times.

    `status` is 0 if no complete response head was received, `sealed` is set if the response has the
    seal of a target, and `complete` is set if it was received to its end. `was_left` is set if the
    caller broke it off.
    """

    id: str
    kind: str
    instance: str
    key: str
    path: str
    body: bytes
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    sealed: bool = False
    complete: bool = False
    was_left: bool = False
    answer: bytes = b""
    # The parts of the prompt as in `Prefix-Hash`; chosen when it is sent if empty.
    prompt: str = ""


@attrs.define(slots=True)
class Period:
    """A period in which a node, zone or key was in some state, in Unix times.

    A state that is written to the store begins and ends when the store acknowledges the write. It
    lasts to the end of the run if `until` is infinite.
    """

    name: str
    since: float
    until: float = float("inf")


@attrs.define(slots=True)
class RunRecord:
    """The requests, faults and changes of a run; `started` is a Unix time."""

    started: float = 0.0
    outcomes: list[RequestOutcome] = attrs.Factory(list)
    scheduled_faults: list[ScheduledSoakFault] = attrs.Factory(list)
    # Targets that drain or are gone, evacuated zones, revoked API keys, and targets while cold.
    leaving: list[Period] = attrs.Factory(list)
    zones_out: list[Period] = attrs.Factory(list)
    revoked: list[Period] = attrs.Factory(list)
    cold: list[Period] = attrs.Factory(list)
    # Requests that reached a target through another instance than the one that took them.
    detoured: set[str] = attrs.Factory(set)
    # Instances without links to any target.
    cut_off: list[Period] = attrs.Factory(list)
    zone_by_target: dict[str, str] = attrs.Factory(dict)
    # The least sizes of answers and of events.
    body_bytes: int = 0
    event_bytes: int = 0
    # Planned stops: from the order to stop to the end of the process, with its exit status.
    stops: list[tuple[Period, int]] = attrs.Factory(list)

    def is_undisturbed(self, instance: str, at: float) -> bool:
        """Return whether the limits apply to an instance at a time.

        They do if neither the instance nor the store had a fault shortly before.
        """
        since = at - self.started - MIN_UNDISTURBED_S
        return not any(
            scheduled_fault.at <= at - self.started and scheduled_fault.until >= since - TOLERANCE_S
            for scheduled_fault in self.scheduled_faults
            if scheduled_fault.fault.scope is FaultScope.STORE
            or (
                scheduled_fault.fault.scope is FaultScope.INSTANCE
                and scheduled_fault.victim == instance
            )
        )


def find_violations(record: RunRecord, arrivals: list[Arrival]) -> list[str]:
    """Return a line for each violated guarantee, with the request concerned.

    The word before the colon names the guarantee.
    """
    arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        arrivals_by_id[arrival.id].append(arrival)
    outcomes = {outcome.id: outcome for outcome in record.outcomes}
    violations = [
        f"unasked: {request_id} reached a target, but no caller sent it"
        for request_id in arrivals_by_id
        if request_id not in outcomes
    ]
    for outcome in record.outcomes:
        runs = [arrival for arrival in arrivals_by_id[outcome.id] if arrival.ran]
        violations += _check_answer(record, outcome)
        violations += _check_runs(outcome, runs)
        violations += _check_key(record, outcome)
        violations += _check_targets(record, outcome, arrivals_by_id[outcome.id])
        violations += _check_stop(record, outcome, runs)
    violations += _check_cold(record, arrivals)
    violations += [
        f"stop: {period.name} ended a planned stop with exit status {status}"
        for period, status in record.stops
        if status != 0
    ]
    return violations


def _check_answer(record: RunRecord, outcome: RequestOutcome) -> Iterable[str]:
    """Check that a complete success was produced by a target and answers this request."""
    if not 200 <= outcome.status < 300 or not outcome.complete:
        return
    expected = make_response_body(outcome.body, outcome.path, record.body_bytes)
    if outcome.path.endswith("stream"):
        expected = b"".join(
            make_stream_event(outcome.body, n, record.event_bytes)
            for n in range(1, STREAM_EVENT_COUNT + 1)
        )
    if not outcome.sealed or outcome.answer != expected:
        yield f"mixed: {outcome.id} ({outcome.kind}) got the wrong answer {outcome.answer[:80]!r}"


def _check_runs(outcome: RequestOutcome, runs: list[Arrival]) -> Iterable[str]:
    execution_list = ", ".join(f"{run.worker} at {run.at:.3f}" for run in runs)
    if outcome.kind in AT_MOST_ONCE_KINDS and len(runs) > 1:
        yield f"twice: {outcome.id} ({outcome.kind}) ran at {execution_list}"
    if outcome.status in NOT_EXECUTED_STATUSES and runs and outcome.kind in AT_MOST_ONCE_KINDS:
        yield (
            f"refused: {outcome.id} ({outcome.kind}) got {outcome.status} and ran at "
            f"{execution_list}"
        )
    if runs and outcome.status in (401, 404):
        yield f"refused: {outcome.id} got {outcome.status} and ran at {execution_list}"


def _check_key(record: RunRecord, outcome: RequestOutcome) -> Iterable[str]:
    """Check that a revoked API key is refused and that a valid one is accepted."""
    if not record.is_undisturbed(outcome.instance, outcome.sent_at):
        return
    for period in record.revoked:
        if period.name == outcome.key and (
            period.since + MAX_CONFIG_APPLY_S + TOLERANCE_S < outcome.sent_at < period.until
        ):
            if outcome.status not in (0, 401, 503):
                after = outcome.sent_at - period.since
                yield (
                    f"config: {outcome.id} got {outcome.status} {after:.2f} s after its key was "
                    "revoked"
                )
            return
    key_changed = any(
        period.name == outcome.key
        and period.since - TOLERANCE_S < outcome.ended_at
        and outcome.sent_at < period.until + MAX_CONFIG_APPLY_S + TOLERANCE_S
        for period in record.revoked
    )
    if outcome.status in (401, 403, 404) and not key_changed:
        yield f"denied: {outcome.id} got {outcome.status} with a valid key"


def _check_targets(
    record: RunRecord, outcome: RequestOutcome, arrivals: list[Arrival]
) -> Iterable[str]:
    """Check that draining targets and those of evacuated zones get no request after the limits."""
    for arrival in arrivals:
        if not arrival.ran or not record.is_undisturbed(outcome.instance, arrival.at):
            continue
        for period in record.leaving:
            delay = arrival.at - period.since
            if period.name == arrival.worker and delay > MAX_TARGET_DRAIN_S + TOLERANCE_S:
                yield (
                    f"drain: {outcome.id} reached {arrival.worker} {delay:.2f} s after its drain "
                    "began"
                )
        zone = record.zone_by_target[arrival.worker]
        for period in record.zones_out:
            delay = arrival.at - period.since
            if (
                period.name == zone
                and delay > MAX_ZONE_EVACUATION_S + TOLERANCE_S
                and arrival.at < period.until
            ):
                yield (
                    f"zone: {outcome.id} reached {arrival.worker} {delay:.2f} s after its zone was "
                    "evacuated"
                )


def _check_stop(record: RunRecord, outcome: RequestOutcome, runs: list[Arrival]) -> Iterable[str]:
    """Check that a planned stop did not interrupt a request that had reached a target.

    A request that another fault may have interrupted is not checked.
    """
    if outcome.complete or outcome.was_left or not runs:
        return
    for period, _ in record.stops:
        if period.name != outcome.instance:
            continue
        if not period.since <= outcome.ended_at <= period.until + TOLERANCE_S:
            continue
        other_faults = [
            scheduled_fault
            for scheduled_fault in record.scheduled_faults
            if scheduled_fault.fault is not SoakFault.STOP
            and scheduled_fault.at <= outcome.ended_at - record.started
            and scheduled_fault.until >= outcome.sent_at - record.started - MIN_UNDISTURBED_S
            and (
                scheduled_fault.fault.scope is FaultScope.TARGET
                or scheduled_fault.victim == outcome.instance
            )
        ]
        if not other_faults:
            yield (
                f"lost: {outcome.id} ({outcome.kind}) was interrupted by the planned stop of "
                f"{outcome.instance}"
            )


def _check_cold(record: RunRecord, arrivals: list[Arrival]) -> Iterable[str]:
    """Check that the instances together do not overload a cold target in any second."""
    cold_periods = {period.name: period for period in record.cold}
    times_by_target: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        period = cold_periods.get(arrival.worker)
        if arrival.ran and period is not None and period.since <= arrival.at < period.until:
            times_by_target[arrival.worker].append(arrival.at)
    for worker, at in times_by_target.items():
        at.sort()
        max_in_one_second = max(sum(first <= other < first + 1.0 for other in at) for first in at)
        if max_in_one_second > MAX_COLD_REQUESTS_PER_S:
            yield f"cold: {worker} got {max_in_one_second} requests in a second while it was cold"


def count_outcomes(outcomes: list[RequestOutcome]) -> Counter[str]:
    """Return the number of requests by kind and response status."""
    return Counter(
        f"{outcome.kind} {outcome.status if outcome.complete else 'no whole answer'}"
        for outcome in outcomes
    )
