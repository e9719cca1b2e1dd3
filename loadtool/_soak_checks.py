"""What a soak run checks: promises, from what callers sent and got and what reached the targets."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final

import attrs

from loadtool._soak_schedule import Hit, SoakFault, SoakStep
from standins._worker import Arrival, make_body, make_event

# The shortest bounds of the known deployments, in seconds: a change of configuration is in force,
# a target that leaves and a zone that is out get nothing more.
APPLY_BOUND: Final = 2.0
DRAIN_BOUND: Final = 2.0
ZONE_BOUND: Final = 5.0
# These hold for an instance that has run undisturbed for so long, with the store undisturbed.
CONTACT: Final = 3.0
# Requests that may be on their way at a bound, and clocks read a little apart.
SLACK: Final = 0.3
# A cold target of the fleet bears 4 requests a second, times 1.5, and 2 more.
COLD_BOUND: Final = 8
# Statuses that promise that a request has not run and will not.
PROMISES: Final = frozenset({408, 421, 429, 503})
ONCE: Final = frozenset({"book", "plan"})
EVENTS: Final = 5


@attrs.define(slots=True)
class Outcome:
    """A request of a caller and what it got; times are Unix times.

    `status` is 0 without a whole answer head; `whole` tells whether the answer was complete.
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
    whole: bool = False
    answer: bytes = b""


@attrs.define(slots=True)
class Period:
    """From when until when something held, by the store's acknowledgement; inf: to the end."""

    name: str
    since: float
    until: float = float("inf")


@attrs.define(slots=True)
class Record:
    """All that a run has seen."""

    started: float = 0.0
    outcomes: list[Outcome] = attrs.Factory(list)
    steps: list[SoakStep] = attrs.Factory(list)
    # Targets that leave, zones that are out, keys that are taken away, targets while cold.
    leaving: list[Period] = attrs.Factory(list)
    zones_out: list[Period] = attrs.Factory(list)
    revoked: list[Period] = attrs.Factory(list)
    cold: list[Period] = attrs.Factory(list)
    zone_of: dict[str, str] = attrs.Factory(dict)
    # When instances were told to stop and had ended, and with which status.
    stops: list[tuple[Period, int]] = attrs.Factory(list)

    def is_calm(self, instance: str, at: float) -> bool:
        """Whether bounds held for an instance at a time: nothing had disturbed it or the store."""
        since = at - self.started - CONTACT
        return not any(
            step.at <= at - self.started and step.until >= since - SLACK
            for step in self.steps
            if step.fault.hit is Hit.STORE
            or (step.fault.hit is Hit.INSTANCE and step.victim == instance)
        )


def find_broken(record: Record, arrivals: list[Arrival]) -> list[str]:
    """List the promises that were broken, each with its request."""
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in arrivals:
        by_id[arrival.id].append(arrival)
    outcomes = {outcome.id: outcome for outcome in record.outcomes}
    broken = [f"unasked: {name} reached a target" for name in by_id if name not in outcomes]
    for outcome in record.outcomes:
        runs = [arrival for arrival in by_id[outcome.id] if arrival.ran]
        broken += _check_answer(outcome)
        broken += _check_runs(outcome, runs)
        broken += _check_key(record, outcome)
        broken += _check_places(record, outcome, by_id[outcome.id])
        broken += _check_stop(record, outcome, runs)
    broken += _check_cold(record, arrivals)
    broken += [
        f"stop: {period.name} ended with {status}" for period, status in record.stops if status != 0
    ]
    return broken


def _check_answer(outcome: Outcome) -> Iterable[str]:
    """A success is whole, the target's own and the answer to this very request."""
    if not 200 <= outcome.status < 300 or not outcome.whole:
        return
    expected = make_body(outcome.body, outcome.path)
    if outcome.path.endswith("stream"):
        expected = b"".join(make_event(outcome.body, n) for n in range(1, EVENTS + 1))
    if not outcome.sealed or outcome.answer != expected:
        yield f"mixed: {outcome.id} ({outcome.kind}) got {outcome.answer[:80]!r}"


def _check_runs(outcome: Outcome, runs: list[Arrival]) -> Iterable[str]:
    places = ", ".join(f"{run.worker} at {run.at:.3f}" for run in runs)
    if outcome.kind in ONCE and len(runs) > 1:
        yield f"twice: {outcome.id} ({outcome.kind}) ran at {places}"
    if outcome.status in PROMISES and runs and outcome.kind in ONCE:
        yield f"refused: {outcome.id} ({outcome.kind}) got {outcome.status} and ran at {places}"
    if runs and outcome.status in (401, 404):
        yield f"refused: {outcome.id} got {outcome.status} and ran at {places}"


def _check_key(record: Record, outcome: Outcome) -> Iterable[str]:
    """A key that was taken away is refused; one that was not is known."""
    if not record.is_calm(outcome.instance, outcome.sent_at):
        return
    for period in record.revoked:
        if period.name == outcome.key and (
            period.since + APPLY_BOUND + SLACK < outcome.sent_at < period.until
        ):
            if outcome.status not in (0, 401, 503):
                after = outcome.sent_at - period.since
                yield f"config: {outcome.id} got {outcome.status} {after:.2f} s after its key went"
            return
    touched = any(
        period.name == outcome.key
        and period.since - SLACK < outcome.ended_at
        and outcome.sent_at < period.until + APPLY_BOUND + SLACK
        for period in record.revoked
    )
    if outcome.status in (401, 403, 404) and not touched:
        yield f"denied: {outcome.id} got {outcome.status} with a good key"


def _check_places(record: Record, outcome: Outcome, reached: list[Arrival]) -> Iterable[str]:
    """Targets that leave, and those of zones that are out, get nothing after their bounds."""
    for arrival in reached:
        if not arrival.ran or not record.is_calm(outcome.instance, arrival.at):
            continue
        for period in record.leaving:
            late = arrival.at - period.since
            if period.name == arrival.worker and late > DRAIN_BOUND + SLACK:
                yield f"drain: {outcome.id} reached {arrival.worker} {late:.2f} s after it left"
        zone = record.zone_of[arrival.worker]
        for period in record.zones_out:
            late = arrival.at - period.since
            if period.name == zone and late > ZONE_BOUND + SLACK and arrival.at < period.until:
                yield f"zone: {outcome.id} reached {arrival.worker} {late:.2f} s after its zone"


def _check_stop(record: Record, outcome: Outcome, runs: list[Arrival]) -> Iterable[str]:
    """A planned stop cuts no request that had been passed on, if nothing else went wrong."""
    if outcome.whole or not runs:
        return
    for period, _ in record.stops:
        if period.name != outcome.instance:
            continue
        if not period.since <= outcome.ended_at <= period.until + SLACK:
            continue
        others = [
            step
            for step in record.steps
            if step.fault is not SoakFault.STOP
            and step.at <= outcome.ended_at - record.started
            and step.until >= outcome.sent_at - record.started - CONTACT
            and (step.fault.hit is Hit.TARGET or step.victim == outcome.instance)
        ]
        if not others:
            yield f"lost: {outcome.id} ({outcome.kind}) was cut by the stop of {outcome.instance}"


def _check_cold(record: Record, arrivals: list[Arrival]) -> Iterable[str]:
    """A cold target gets no more in any second than it bears, from all instances together."""
    cold = {period.name: period for period in record.cold}
    times: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        period = cold.get(arrival.worker)
        if arrival.ran and period is not None and period.since <= arrival.at < period.until:
            times[arrival.worker].append(arrival.at)
    for worker, at in times.items():
        at.sort()
        most = max(sum(first <= other < first + 1.0 for other in at) for first in at)
        if most > COLD_BOUND:
            yield f"cold: {worker} got {most} requests in a second while it was cold"


def count_outcomes(outcomes: list[Outcome]) -> Counter[str]:
    """Count what callers got, by kind and status."""
    return Counter(
        f"{outcome.kind} {outcome.status if outcome.whole else 'no whole answer'}"
        for outcome in outcomes
    )
