"""Changes of the configuration in quick succession, at which instances and targets are suspended.

Idle time-outs go up and down, route time-outs change, and the configuration grows by hundreds of
routes and shrinks again, while callers reuse connections shortly before their idle time-out.
"""

from __future__ import annotations

import asyncio
import copy
import random
import time
from typing import Any, Final

import attrs

from loadtool._gateway_config import make_config, make_route
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_changes_checks import (
    MAX_SUSPENSION_S,
    ChangeRecord,
    ConfigChange,
    describe_changes,
    find_change_violations,
)
from loadtool._soak_checks import Period, RunRecord
from loadtool._soak_faults import SoakFaultInjector
from loadtool._soak_kept import KeptCaller
from loadtool._soak_schedule import (
    QUIET_END_FRACTION,
    QUIET_START_S,
    ScheduledSoakFault,
    SoakFault,
    SoakLayout,
)

SHORT_IDLE_TIMEOUTS_MS: Final = (1_000, 1_500, 2_000)
# 4 s is longer than a change takes to be applied, so that a connection that goes by the time-out
# before it is closed when the new one is in force.
LONG_IDLE_TIMEOUTS_MS: Final = (4_000, 15_000)
ROUTE_TIMEOUTS_MS: Final = (1_000, 2_000, 3_000, 8_000)
ADDED_ROUTE_COUNTS: Final = (0, 0, 300, 800, 1_500)
# Changes come in series, with a pause in which callers use the last idle time-out, which is short
# after most series.
MAX_SERIES_LENGTH: Final = 4
SERIES_INTERVAL_S: Final = (0.05, 0.5)
SERIES_PAUSE_S: Final = (1.5, 4.0)
SHORT_AT_END_SHARE: Final = 0.75
# When an instance is suspended, from the change on: until callers have used the new time-out.
SUSPENDED_AT_S: Final = (-0.3, 2.0)
MIN_SUSPENSION_S: Final = 0.1
MAX_SUSPENDED_INSTANCES: Final = 2
TARGET_SUSPENDED_AT_S: Final = (-0.5, 0.5)
TARGET_SUSPENSION_S: Final = (0.8, 1.2)
CALLERS_PER_INSTANCE: Final = 16
MAX_CALLERS: Final = 96


@attrs.define(slots=True, frozen=True)
class ScheduledChange:
    """A version of the configuration that is written `at` seconds after the start of the run."""

    at: float
    idle_timeout_ms: int
    route_timeout_ms: int
    added_routes: int


@attrs.define(slots=True, frozen=True)
class ChangeSchedule:
    """The changes of a run and the suspensions beside them."""

    changes: list[ScheduledChange]
    suspensions: list[ScheduledSoakFault]


def make_change_schedule(seed: int, duration: float, layout: SoakLayout) -> ChangeSchedule:
    """Return random changes and suspensions for a run of `duration` seconds.

    The last quarter of the run is quiet, with the limits of before the first change.
    """
    chooser = random.Random(f"changes {seed}")
    schedule = ChangeSchedule([], [])
    last = duration * (1.0 - QUIET_END_FRACTION)
    at = QUIET_START_S
    while at < last:
        length = chooser.randint(1, MAX_SERIES_LENGTH)
        is_short_at_end = chooser.random() < SHORT_AT_END_SHARE
        for remaining in reversed(range(length)):
            is_short = is_short_at_end == (remaining % 2 == 0)
            timeouts = SHORT_IDLE_TIMEOUTS_MS if is_short else LONG_IDLE_TIMEOUTS_MS
            change = ScheduledChange(
                round(at, 2),
                chooser.choice(timeouts),
                chooser.choice(ROUTE_TIMEOUTS_MS),
                chooser.choice(ADDED_ROUTE_COUNTS),
            )
            schedule.changes.append(change)
            schedule.suspensions.extend(_suspend_instances(chooser, at, last, layout))
            at += chooser.uniform(*SERIES_INTERVAL_S)
        schedule.suspensions.append(_suspend_target(chooser, at, last, layout))
        at += chooser.uniform(*SERIES_PAUSE_S)
    config = make_config()
    schedule.changes.append(
        ScheduledChange(
            max(last, schedule.changes[-1].at),
            config["limits"]["idleTimeoutMs"],
            config["routes"][0]["timeoutMs"],
            0,
        )
    )
    return schedule


def _suspend_instances(
    chooser: random.Random, at: float, last: float, layout: SoakLayout
) -> list[ScheduledSoakFault]:
    count = chooser.randint(1, min(MAX_SUSPENDED_INSTANCES, len(layout.instances)))
    return [
        _suspend(
            SoakFault.PAUSE,
            victim,
            at + chooser.uniform(*SUSPENDED_AT_S),
            chooser.uniform(MIN_SUSPENSION_S, MAX_SUSPENSION_S),
            last,
        )
        for victim in chooser.sample(list(layout.instances), count)
    ]


def _suspend_target(
    chooser: random.Random, at: float, last: float, layout: SoakLayout
) -> ScheduledSoakFault:
    begins_at = at + chooser.uniform(*TARGET_SUSPENDED_AT_S)
    duration = chooser.uniform(*TARGET_SUSPENSION_S)
    victim = chooser.choice(list(layout.targets))
    return _suspend(SoakFault.TARGET_PAUSED, victim, begins_at, duration, last)


def _suspend(
    fault: SoakFault, victim: str, at: float, duration: float, last: float
) -> ScheduledSoakFault:
    begins_at = min(at, last)
    # Rounded down, so that it does not look longer than `MAX_SUSPENSION_S`.
    until = round(begins_at, 2) + int(duration * 100) / 100
    return ScheduledSoakFault(round(begins_at, 2), round(until, 2), fault, victim)


class SoakChanges:
    """Writes the versions of a run, with callers that keep connections, and checks them."""

    def __init__(
        self,
        fleet: GatewayFleet,
        faults: SoakFaultInjector,
        record: RunRecord,
        ready: set[str],
        seed: int,
        schedule: list[ScheduledChange],
    ) -> None:
        self._fleet = fleet
        self._faults = faults
        self._record = record
        self._schedule = schedule
        self._config: dict[str, Any] = make_config(**copy.deepcopy(fleet.config_changes))
        self._idle_timeout_s = self._config["limits"]["idleTimeoutMs"] / 1_000
        route_timeout_s = self._config["routes"][0]["timeoutMs"] / 1_000
        first = ConfigChange(0.0, 0.0, self._idle_timeout_s, route_timeout_s)
        self._changes = ChangeRecord(changes=[first])
        self._callers = [
            KeptCaller(
                fleet,
                record,
                self._changes,
                ready,
                random.Random(f"kept {seed} {number}"),
                lambda: self._idle_timeout_s,
            )
            for number in range(min(MAX_CALLERS, CALLERS_PER_INSTANCE * len(fleet.instances)))
        ]

    async def run(self, until: float) -> None:
        """Write all versions at their times, and send requests until a Unix time."""
        await asyncio.gather(self._write_all(), *(caller.run(until) for caller in self._callers))

    async def _write_all(self) -> None:
        for change in self._schedule:
            await asyncio.sleep(max(0.0, self._record.started + change.at - time.time()))
            await self._write(change)

    async def _write(self, change: ScheduledChange) -> None:
        config = copy.deepcopy(self._config)
        routes = config["routes"]
        for route in routes:
            route["timeoutMs"] = change.route_timeout_ms
        routes += [
            make_route(f"added-{n}", f"/added-{n}/", "safe", "plain")
            for n in range(change.added_routes)
        ]
        limits = {**config["limits"], "idleTimeoutMs": change.idle_timeout_ms}
        self._fleet.config_changes = {
            **self._fleet.config_changes,
            "routes": routes,
            "limits": limits,
        }
        idle_timeout_s = change.idle_timeout_ms / 1_000
        sent_at = time.time()
        await self._faults.write_config()
        self._changes.changes.append(
            ConfigChange(sent_at, time.time(), idle_timeout_s, change.route_timeout_ms / 1_000)
        )
        self._idle_timeout_s = idle_timeout_s

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        self._changes.late = self._list_late()
        return find_change_violations(self._record, self._changes, self._fleet.read_arrivals())

    def _list_late(self) -> list[Period]:
        return [
            Period(name, line["time"] - line["seconds"], line["time"])
            for name in self._fleet.instances
            for line in self._fleet.read_log(name)
            if line["event"] == "loop_delayed"
        ]

    def describe(self) -> str:
        """Return the counts of the run as a line."""
        return describe_changes(self._changes)
