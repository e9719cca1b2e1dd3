"""A roll-out in a soak run: orders one while faults are injected, and checks what comes of it."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Final

from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_checks import RunRecord

SERVICE: Final = "plain"
VERSION: Final = "v2"
TARGETS: Final = ("new-0", "new-1")
ZONES: Final = ("zone-a", "zone-b")
ORDER_DELAY_S: Final = 2.0
# The roll-out ends before the last faults do, and its outcome is due this long after its deadline
# even if the store was away then.
DURATION_FRACTION: Final = 0.4
OUTCOME_DELAY_S: Final = 15.0
STATUS_INTERVAL_S: Final = 0.2
# In the settings of the fleet's instances.
EXPOSURE_SHARE: Final = 0.1
EXPOSURE_SLACK: Final = 10
# An instance that has no fault knows the outcome this long after its record.
KNOWN_DELAY_S: Final = 3.0
# How the new version is bad, if it is: the faults of its targets, from when they were ordered.
BADNESS: Final[tuple[tuple[dict[str, Any], float], ...]] = (
    ({}, 0.0),
    ({"status": 500}, 0.0),
    ({"delay": 0.4}, 0.0),
    ({"status": 500}, 4.0),
)


class SoakRollout:
    """Orders a roll-out of a version that is good or bad, by the seed of the run."""

    def __init__(self, fleet: GatewayFleet, seed: int) -> None:
        self._fleet = fleet
        self._faults, self._bad_after_s = random.Random(seed).choice(BADNESS)
        self._ordered_at = 0.0
        self._duration_s = 0.0
        # Unix times at which the status for operators changed, and what it said.
        self._states: list[tuple[float, str]] = []

    @property
    def is_bad(self) -> bool:
        """Whether the new version is bad."""
        return bool(self._faults)

    async def run(self, duration: float) -> None:
        """Start the new targets, order the roll-out and follow its status to the end."""
        for name, zone in zip(TARGETS, ZONES, strict=True):
            await self._fleet.start_worker(name, SERVICE, zone, version=VERSION)
        await asyncio.sleep(ORDER_DELAY_S)
        self._duration_s = DURATION_FRACTION * duration
        order = {"service": SERVICE, "to": VERSION, "durationS": self._duration_s}
        await self._fleet.write_row("op", f"rollout/{SERVICE}", order)
        self._ordered_at = time.time()
        await asyncio.gather(self._turn_bad(), self._follow_status())

    async def _turn_bad(self) -> None:
        await asyncio.sleep(self._bad_after_s)
        for name in TARGETS:
            await self._fleet.set_worker_faults(name, **self._faults)

    async def _follow_status(self) -> None:
        ends_at = self._ordered_at + self._duration_s + OUTCOME_DELAY_S
        while time.time() < ends_at:
            status = await self._fleet.read_row("status", f"rollout/{SERVICE}")
            state = "" if status is None else status["state"]
            if state and (not self._states or state != self._states[-1][1]):
                self._states.append((time.time(), state))
            await asyncio.sleep(STATUS_INTERVAL_S)

    def find_violations(self, record: RunRecord) -> list[str]:
        """Return a line for each violated guarantee."""
        states = [state for _, state in self._states]
        violations = []
        if states not in (["running", "succeeded"], ["running", "rolled_back"]):
            violations.append(f"outcome: the status of the roll-out went through {states}")
        arrivals = [a for a in self._fleet.read_arrivals() if a.worker in TARGETS]
        violations += [
            f"route: {arrival.id} reached a version before it was ordered"
            for arrival in arrivals
            if arrival.at < self._ordered_at
        ]
        return violations + self._check_cap(record) + self._check_end(record)

    def _check_cap(self, record: RunRecord) -> list[str]:
        deadline = self._ordered_at + self._duration_s
        arrivals = [a for a in self._fleet.read_arrivals() if self._ordered_at <= a.at <= deadline]
        kinds = {outcome.id: outcome.kind for outcome in record.outcomes}
        requests = {a.id for a in arrivals if kinds.get(a.id) in ("read", "book")}
        exposed = sum(a.worker in TARGETS for a in arrivals)
        if self.is_bad and exposed > EXPOSURE_SHARE * len(requests) + EXPOSURE_SLACK:
            return [f"exposure: {exposed} of {len(requests)} requests reached the bad version"]
        return []

    def _check_end(self, record: RunRecord) -> list[str]:
        """Check that nothing is sent to a version that was rolled back."""
        ended_at = next((at for at, state in self._states if state == "rolled_back"), None)
        if ended_at is None:
            return []
        instances = {outcome.id: outcome.instance for outcome in record.outcomes}
        return [
            f"route: {arrival.id} reached a version {arrival.at - ended_at:.1f} s after its end"
            for arrival in self._fleet.read_arrivals()
            if arrival.worker in TARGETS
            and arrival.at > ended_at + KNOWN_DELAY_S
            and record.is_undisturbed(instances.get(arrival.id, ""), arrival.at)
        ]

    def describe(self) -> str:
        """Return the version and what the status said, with seconds from the order."""
        states = ", ".join(f"{state} at {at - self._ordered_at:.1f}" for at, state in self._states)
        kind = f"bad {self._faults} from {self._bad_after_s:.0f} s" if self.is_bad else "good"
        return f"roll-out of {self._duration_s:.0f} s, {kind}: {states}"
