"""Connection limits of targets that sink and rise during a soak run, and the checks of it."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any, Final

import attrs

from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_checks import AT_MOST_ONCE_KINDS, RunRecord
from loadtool._soak_crashes import REFUSAL_CODES, read_code

# All targets change their limits at the same time, as they do when all of their queues are long. A
# target then has no more connections than one or two for each instance of a usual run.
LIMITS: Final = (4, 6, 8, 12, 24)
MEAN_STEP_S: Final = 1.5
QUIET_START_S: Final = 2.0
# The last part of a run is without limits, as it is without faults.
QUIET_END_FRACTION: Final = 0.25
# Requests that may not be repeated, for each instance, that may be lost on their way to a target:
# until it knows that targets are full, after a restart again, and by the other faults of a run.
MAX_LOST_PER_INSTANCE: Final = 4
NO_LIMIT: Final = -1


@attrs.define(slots=True)
class SoakLimits:
    """Sets the limits of a run, and checks what came of it."""

    _fleet: GatewayFleet
    _record: RunRecord
    _random: random.Random

    async def run(self, until: float) -> None:
        """Have all targets change their limits by one schedule, until a Unix time at most."""
        started_at = self._record.started
        last = started_at + (until - started_at) * (1.0 - QUIET_END_FRACTION)
        steps: list[tuple[float, int]] = []
        at = started_at + QUIET_START_S
        while at < last:
            steps.append((at, self._random.choice(LIMITS)))
            at += self._random.expovariate(1.0 / MEAN_STEP_S)
        steps.append((last, NO_LIMIT))
        await self._fleet.add_default_worker_faults(connection_limits=steps)

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        refused = [
            f"full: {outcome.id} ({outcome.kind}) got {read_code(outcome.answer)}"
            for outcome in self._record.outcomes
            if outcome.kind in ("read", "book", "open")
            and read_code(outcome.answer) in REFUSAL_CODES
        ]
        lost = self._count_lost()
        bound = MAX_LOST_PER_INSTANCE * len(self._fleet.instances)
        too_many = [f"full: {lost} requests got 502 that had reached no target"]
        return refused + (too_many if lost > bound else [])

    def describe(self) -> str:
        """Return the resets that the instances met as a line."""
        resets = self._count_resets()
        return (
            f"new connections that full targets reset: {resets['before']} before a request was "
            f"written, {resets['after']} after; requests lost on their way: {self._count_lost()}"
        )

    def _count_lost(self) -> int:
        """Count the requests that may not be repeated, failed and had reached no target."""
        arrived = {arrival.id for arrival in self._fleet.read_arrivals()}
        failed = [outcome for outcome in self._record.outcomes if outcome.status == 502]
        return sum(o.kind in AT_MOST_ONCE_KINDS and o.id not in arrived for o in failed)

    def _count_resets(self) -> Counter[str]:
        lines: list[dict[str, Any]] = []
        for name in self._fleet.instances:
            lines += self._fleet.read_log(name)
        return Counter(line.get("reset") or "" for line in lines if line["event"] == "target_full")
