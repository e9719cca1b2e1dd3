"""Injects the faults of a schedule into a running cluster and ends them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from loadtool._cluster import Cluster, Node
from loadtool._fault_schedule import Fault, ScheduledFault

# Rounds over all instances in which an operator command is tried.
MAX_COMMAND_ATTEMPTS = 20


@attrs.define(slots=True)
class OutOfServicePeriod:
    """A period in which a zone or target was out of service.

    `accepted` and `ended` are Unix times: when the command was accepted, and when the return to
    service was requested (0 until then).
    """

    name: str
    accepted_at: float
    ended_at: float = 0.0


class FaultInjector:
    """Injects faults. Invariant: each lasting fault is undone when its scheduled time ends."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.out_of_service_periods: list[OutOfServicePeriod] = []
        self.stop_seconds: list[float] = []
        self.stop_statuses: list[int] = []
        # How often each engine was made cold under an unchanged boot id, by name.
        self.cold_cache_counts: Counter[str] = Counter()
        self._injectors: dict[Fault, Callable[[ScheduledFault], Awaitable[None]]] = {
            Fault.KILL_INSTANCE: self._kill_instance,
            Fault.FREEZE_INSTANCE: self._freeze_instance,
            Fault.STOP_INSTANCE: self._stop_instance,
            Fault.KILL_ENGINE: self._kill_target,
            Fault.KILL_PLAIN: self._kill_target,
            Fault.FREEZE_TARGET: self._freeze_target,
            Fault.TURN_COLD: self._turn_cold,
            Fault.CUT_CONNECTIONS: self._cut_connections,
            Fault.SILENCE_CONNECTIONS: self._silence_connections,
            Fault.PARTITION_ZONES: self._partition_zones,
            Fault.PLATFORM_OUTAGE: self._start_platform_outage,
            Fault.PLATFORM_SLOW: self._slow_platform,
            Fault.PLATFORM_LOSES_ANSWERS: self._drop_platform_answers,
            Fault.ZONE_OUT: self._take_out_of_service,
            Fault.TARGET_OUT: self._take_out_of_service,
        }

    async def run(self, scheduled_fault: ScheduledFault, started: float) -> None:
        """Inject a scheduled fault at its time and undo it at its end.

        `started` is the start of the run on the monotonic clock.
        """
        await _sleep_until(started + scheduled_fault.at)
        await self._injectors[scheduled_fault.fault](scheduled_fault)
        await _sleep_until(started + scheduled_fault.until)
        await self._end_fault(scheduled_fault)

    async def _end_fault(self, scheduled_fault: ScheduledFault) -> None:
        cluster = self._cluster
        fault = scheduled_fault.fault
        if fault in (Fault.KILL_INSTANCE, Fault.STOP_INSTANCE):
            await cluster.restart_instance(cluster.instances[scheduled_fault.victim])
        elif fault is Fault.FREEZE_INSTANCE:
            cluster.instances[scheduled_fault.victim].process.resume()
        elif fault in (Fault.KILL_ENGINE, Fault.KILL_PLAIN):
            await cluster.restart_target(cluster.targets[scheduled_fault.victim])
        elif fault is Fault.FREEZE_TARGET:
            cluster.targets[scheduled_fault.victim].process.resume()
        elif fault is Fault.PARTITION_ZONES:
            await self._set_partition(scheduled_fault, False)
        elif fault is Fault.PLATFORM_OUTAGE:
            await self._set_platform_faults(outage=False)
        elif fault is Fault.PLATFORM_SLOW:
            await self._set_platform_faults(delay=0.0)
        elif fault in (Fault.ZONE_OUT, Fault.TARGET_OUT):
            await self._return_to_service(scheduled_fault)

    async def _kill_instance(self, scheduled_fault: ScheduledFault) -> None:
        await self._cluster.instances[scheduled_fault.victim].process.kill()

    async def _freeze_instance(self, scheduled_fault: ScheduledFault) -> None:
        self._cluster.instances[scheduled_fault.victim].process.freeze()

    async def _stop_instance(self, scheduled_fault: ScheduledFault) -> None:
        """Stop an instance gracefully, wait for its end, and record duration and exit status."""
        began = time.monotonic()
        status = await self._cluster.instances[scheduled_fault.victim].process.stop(timeout=60.0)
        self.stop_seconds.append(time.monotonic() - began)
        self.stop_statuses.append(status)

    async def _kill_target(self, scheduled_fault: ScheduledFault) -> None:
        await self._cluster.targets[scheduled_fault.victim].process.kill()

    async def _freeze_target(self, scheduled_fault: ScheduledFault) -> None:
        self._cluster.targets[scheduled_fault.victim].process.freeze()

    async def _turn_cold(self, scheduled_fault: ScheduledFault) -> None:
        self.cold_cache_counts[scheduled_fault.victim] += 1
        await self._cluster.set_faults(
            self._cluster.targets[scheduled_fault.victim], turn_cold=True
        )

    async def _cut_connections(self, scheduled_fault: ScheduledFault) -> None:
        await self._cluster.set_route_faults(
            scheduled_fault.peer_zone, [self._find_node(scheduled_fault.victim)], cut=True
        )

    async def _silence_connections(self, scheduled_fault: ScheduledFault) -> None:
        await self._cluster.set_route_faults(
            scheduled_fault.peer_zone, [self._find_node(scheduled_fault.victim)], freeze=True
        )

    async def _partition_zones(self, scheduled_fault: ScheduledFault) -> None:
        await self._set_partition(scheduled_fault, True)

    async def _set_partition(self, scheduled_fault: ScheduledFault, on: bool) -> None:
        for source_zone, far_zone in (
            (scheduled_fault.victim, scheduled_fault.peer_zone),
            (scheduled_fault.peer_zone, scheduled_fault.victim),
        ):
            nodes = [node for node in self._list_nodes() if node.zone == far_zone]
            await self._cluster.set_route_faults(source_zone, nodes, blackhole=on)

    async def _start_platform_outage(self, scheduled_fault: ScheduledFault) -> None:
        await self._set_platform_faults(outage=True)

    async def _slow_platform(self, scheduled_fault: ScheduledFault) -> None:
        await self._set_platform_faults(delay=0.2)

    async def _drop_platform_answers(self, scheduled_fault: ScheduledFault) -> None:
        await self._set_platform_faults(lose_answers=3)

    async def _set_platform_faults(self, **faults: Any) -> None:
        assert self._cluster.platform is not None
        await self._cluster.set_faults(self._cluster.platform, **faults)

    async def _take_out_of_service(self, scheduled_fault: ScheduledFault) -> None:
        await self._run_service_command("out", scheduled_fault)
        self.out_of_service_periods.append(OutOfServicePeriod(scheduled_fault.victim, time.time()))

    async def _return_to_service(self, scheduled_fault: ScheduledFault) -> None:
        for period in self.out_of_service_periods:
            if period.name == scheduled_fault.victim and not period.ended_at:
                period.ended_at = time.time()
        await self._run_service_command("in", scheduled_fault)

    async def _run_service_command(self, direction: str, scheduled_fault: ScheduledFault) -> None:
        """Run an operator command until an instance accepts it, as an operator would."""
        kind = "zone" if scheduled_fault.fault is Fault.ZONE_OUT else "target"
        output = ""
        for _ in range(MAX_COMMAND_ATTEMPTS):
            for node in self._cluster.instances.values():
                if not node.process.running or node.process.frozen:
                    continue
                status, output = await self._cluster.run_command(
                    kind, direction, scheduled_fault.victim, node=node
                )
                if status == 0:
                    return
            await asyncio.sleep(0.5)
        raise RuntimeError(
            f"{kind} {direction} {scheduled_fault.victim} was not accepted by any instance: "
            f"{output}"
        )

    def _list_nodes(self) -> list[Node]:
        return [*self._cluster.instances.values(), *self._cluster.targets.values()]

    def _find_node(self, name: str) -> Node:
        if name == "platform":
            assert self._cluster.platform is not None
            return self._cluster.platform
        return self._cluster.instances.get(name) or self._cluster.targets[name]


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))
