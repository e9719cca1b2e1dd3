"""Carries out a soak schedule on a running fleet, and ends each fault again."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from typing import Any, Final

from loadtool._gateway_fleet import KEY, Fleet, WorkerNode, make_config
from loadtool._soak_checks import Period, Record
from loadtool._soak_schedule import Hit, SoakFault, SoakStep

SECOND_KEY: Final = "second-key"
# The platform kills a process that long after it was told to stop.
STOP_GRACE: Final = 8.0
COLD_SECONDS: Final = 3.0
STORE_SLOWNESS: Final = 0.2
LINK_SLOWNESS: Final = 0.1
# What a target does wrong, and what puts it right.
TARGET_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.TARGET_REJECTS: {"reject": True},
    SoakFault.TARGET_FAILS: {"status": 500},
    SoakFault.TARGET_CUTS: {"cut_after": 2},
    SoakFault.TARGET_TRUNCATES: {"truncate": True},
    SoakFault.TARGET_BABBLES: {"garbage": True},
    SoakFault.TARGET_ANSWERS_TWICE: {"extra": True},
}
SOUND: Final[dict[str, Any]] = {
    "reject": False,
    "status": 0,
    "cut_after": -1,
    "truncate": False,
    "garbage": False,
    "extra": False,
}
# Faults of a route of the proxy; those without an end hit what is open at that moment.
ROUTE_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.STORE_PATH_LOST: {"blackhole": True},
    SoakFault.STORE_PATH_MUTE: {"mute": True},
    SoakFault.STORE_PATH_SILENT: {"freeze": True},
    SoakFault.STORE_PATH_RESET: {"cut": True},
    SoakFault.PEER_PATH_LOST: {"blackhole": True},
    SoakFault.PEER_PATH_MUTE: {"mute": True},
    SoakFault.PEER_PATH_SILENT: {"freeze": True},
    SoakFault.PEER_PATH_RESET: {"cut": True},
    SoakFault.LINK_LOST: {"blackhole": True},
    SoakFault.LINK_MUTE: {"mute": True},
    SoakFault.LINK_SILENT: {"freeze": True},
    SoakFault.LINK_RESET: {"cut": True},
    SoakFault.LINK_SLOW: {"delay": LINK_SLOWNESS},
}
OPEN_ROUTE: Final[dict[str, Any]] = {"blackhole": False, "mute": False, "delay": 0.0}
STORE_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.STORE_REFUSES: {"status": 503},
    SoakFault.STORE_SILENT: {"silent": True},
    SoakFault.STORE_SLOW: {"delay": STORE_SLOWNESS},
    SoakFault.STORE_LOSES_ANSWERS: {"lose_answers": 3},
    SoakFault.STORE_FORGETS: {"forget": True},
}
SOUND_STORE: Final[dict[str, Any]] = {"status": 0, "silent": False, "delay": 0.0}


class SoakFaults:
    """Runs faults. Invariant: when the last has ended, everything runs and is put right."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._version = 1
        # Targets are replaced under new names; a schedule names the first of each.
        self._present = {name: name for name in fleet.workers}
        self._starts = 0
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._killed: set[str] = set()

    async def run(self, step: SoakStep) -> None:
        """Wait for a step's time, carry it out, and put it right at its end."""
        await self._sleep_until(step.at)
        if step.fault.hit is Hit.INSTANCE:
            await self._run_at_instance(step)
        elif step.fault.hit is Hit.PEERS:
            await self._run_at_route(step, self._fleet.instances[step.victim].peer_port)
        elif step.fault.hit is Hit.STORE:
            await self._fleet.set_store(**STORE_FAULTS[step.fault])
            await self._sleep_until(step.until)
            await self._fleet.set_store(**SOUND_STORE)
        elif step.fault.hit is Hit.TARGET:
            await self._run_at_target(step)
        elif step.fault is SoakFault.ZONE_OUT:
            await self._take_zone_out(step)
        else:
            await self._revoke(step)

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._record.started + at - time.time()))

    async def _run_at_route(self, step: SoakStep, port: int) -> None:
        await self._fleet.set_route(port, **ROUTE_FAULTS[step.fault])
        await self._sleep_until(step.until)
        await self._fleet.set_route(port, **OPEN_ROUTE)

    # Instances.

    async def _run_at_instance(self, step: SoakStep) -> None:
        fleet = self._fleet
        node = fleet.instances[step.victim]
        process = node.process
        assert process is not None
        if step.fault in ROUTE_FAULTS:
            await self._run_at_route(step, node.store_port)
        elif step.fault is SoakFault.PAUSE:
            process.freeze()
            await self._sleep_until(step.until)
            process.thaw()
        elif step.fault is SoakFault.RELOAD:
            fleet.reload(step.victim)
        elif step.fault is SoakFault.KILL:
            self._killed.add(step.victim)
            await process.kill()
            await self._sleep_until(step.until)
            await self.ensure_running(step.victim)
        else:
            await self._stop_instance(step)

    async def _stop_instance(self, step: SoakStep) -> None:
        process = self._fleet.instances[step.victim].process
        assert process is not None
        if not process.running:
            return
        self._killed.discard(step.victim)
        since = time.time()
        status = await process.stop(STOP_GRACE)
        # One that is told to stop before its program has begun cannot but end by the signal.
        counts = step.victim not in self._killed and self._has_begun(step.victim, process.pid)
        if counts:
            self._record.stops.append((Period(step.victim, since, time.time()), status))
        await self._sleep_until(step.until)
        await self.ensure_running(step.victim)

    def _has_begun(self, name: str, pid: int) -> bool:
        """Whether a process has come as far as to log that it has started."""
        lines = self._fleet.read_log(name)
        return any(line["event"] == "started" and line["pid"] == pid for line in lines)

    async def ensure_running(self, name: str) -> None:
        """Start an instance that does not run."""
        async with self._locks[name]:
            process = self._fleet.instances[name].process
            if process is None or not process.running:
                await self._fleet.start_instance(name)

    # Targets.

    async def _run_at_target(self, step: SoakStep) -> None:
        name = self._present[step.victim]
        node = self._fleet.workers[name]
        if step.fault in ROUTE_FAULTS:
            if node.reached_at == node.port:
                # This target is reached without the proxy.
                return
            await self._run_at_route(step, node.reached_at)
        elif step.fault is SoakFault.TARGET_PAUSED:
            node.process.freeze()
            await self._sleep_until(step.until)
            node.process.thaw()
        elif step.fault is SoakFault.TARGET_KILLED:
            await node.process.kill()
            await self._sleep_until(step.until)
            await self._replace(step.victim, node)
        elif step.fault is SoakFault.TARGET_DRAINS:
            await self._fleet.register(name, state="draining")
            self._record.leaving.append(Period(name, time.time()))
            await self._sleep_until(step.until)
            await self._replace(step.victim, node)
        else:
            await self._set_target(node, TARGET_FAULTS[step.fault])
            await self._sleep_until(step.until)
            await self._set_target(node, SOUND)

    async def _set_target(self, node: WorkerNode, faults: dict[str, Any]) -> None:
        """Set faults of a target that runs; one that was killed or stands still has its own."""
        if node.process.running and not node.process.frozen:
            await self._fleet.set_worker(node.name, **faults)

    async def _replace(self, victim: str, old: WorkerNode) -> None:
        """Start another target in place of one that has gone or is leaving."""
        async with self._locks[victim]:
            if self._present[victim] != old.name:
                return
            await self._fleet.write_row("servers", old.name, None)
            self._record.leaving.append(Period(old.name, time.time()))
            self._starts += 1
            name = f"{victim}-{self._starts}"
            is_cold = old.service == "llm"
            cold = {"coldLeftMs": COLD_SECONDS * 1_000} if is_cold else {}
            routed = old.reached_at != old.port
            self._record.zone_of[name] = old.zone
            since = time.time()
            await self._fleet.start_worker(name, old.service, old.zone, routed, **cold)
            if is_cold:
                self._record.cold.append(Period(name, since, time.time() + COLD_SECONDS))
            self._present[victim] = name
        # What is running there is left to end.
        await asyncio.sleep(1.0)
        await old.process.kill()

    # The fleet's configuration.

    async def _take_zone_out(self, step: SoakStep) -> None:
        row = f"evacuate/{step.victim}"
        await self._fleet.write_row("op", row, {})
        period = Period(step.victim, time.time())
        self._record.zones_out.append(period)
        await self._sleep_until(step.until)
        period.until = time.time()
        await self._fleet.write_row("op", row, None)

    async def _revoke(self, step: SoakStep) -> None:
        await self._write_keys([KEY])
        period = Period(SECOND_KEY, time.time())
        self._record.revoked.append(period)
        await self._sleep_until(step.until)
        period.until = time.time()
        await self._write_keys([KEY, SECOND_KEY])

    async def _write_keys(self, keys: list[str]) -> None:
        self._version += 1
        config = make_config(self._version)
        config["tenants"][0]["apiKeys"] = keys
        await self._fleet.write_row("op", "config", config)
