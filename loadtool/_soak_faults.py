"""Injects the faults of a soak schedule into a running fleet and ends them."""

from __future__ import annotations

import asyncio
import copy
import time
from collections import defaultdict
from typing import Any, Final

from loadtool._gateway_config import KEY, make_config
from loadtool._gateway_fleet import GatewayFleet
from loadtool._gateway_nodes import WorkerNode
from loadtool._soak_checks import Period, RunRecord
from loadtool._soak_schedule import FaultScope, ScheduledSoakFault, SoakFault

SECOND_KEY: Final = "second-key"
# The platform kills a process this long after it was told to stop.
STOP_TIMEOUT_S: Final = 8.0
COLD_DURATION_S: Final = 3.0
# The pause that a target asks for with each rejection.
PAUSE_S: Final = 2.0
STORE_DELAY_S: Final = 0.2
LINK_DELAY_S: Final = 0.1
# The faults that a target injects, and the settings that end them.
TARGET_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.TARGET_REJECTS: {"reject": True},
    SoakFault.TARGET_ASKS_PAUSE: {"reject": True, "pause_s": PAUSE_S},
    SoakFault.TARGET_FAILS: {"status": 500},
    SoakFault.TARGET_CUTS: {"cut_after": 2, "cut_inside": True},
    SoakFault.TARGET_TRUNCATES: {"truncate": True},
    SoakFault.TARGET_BABBLES: {"garbage": True},
    SoakFault.TARGET_ANSWERS_TWICE: {"extra": True},
    SoakFault.TARGET_RESETS_EARLY: {"cut_after": 0, "cut_inside": False, "cut_by_reset": True},
    SoakFault.TARGET_CLOSES_EARLY: {"cut_after": 0, "cut_inside": False},
    SoakFault.TARGET_RESETS_STREAMS: {"cut_after": 2, "cut_inside": False, "cut_by_reset": True},
    SoakFault.TARGET_RESETS_EVENTS: {"cut_after": 2, "cut_inside": True, "cut_by_reset": True},
    SoakFault.TARGET_RESETS_ANSWERS: {"truncate": True, "cut_by_reset": True},
}
NO_TARGET_FAULTS: Final[dict[str, Any]] = {
    "reject": False,
    "pause_s": 0.0,
    "status": 0,
    "cut_after": -1,
    "cut_inside": True,
    "cut_by_reset": False,
    "truncate": False,
    "garbage": False,
    "extra": False,
}
# The faults of a proxy route. Those that cut or freeze only affect the connections that are open at
# that moment.
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
    SoakFault.LINK_SLOW: {"delay": LINK_DELAY_S},
}
OWN_LINK_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.OWN_LINKS_LOST: {"listening": "silent", "blackhole": True},
    SoakFault.OWN_LINKS_RESET: {"listening": "closed", "cut": True},
    SoakFault.OWN_LINKS_CLOSED: {"listening": "closed"},
    SoakFault.OWN_LINKS_PARTLY_LOST: {"listening": "silent", "blackhole": True},
}
NO_OWN_LINK_FAULTS: Final[dict[str, Any]] = {"listening": "open", "blackhole": False}
NO_ROUTE_FAULTS: Final[dict[str, Any]] = {"blackhole": False, "mute": False, "delay": 0.0}
STORE_FAULTS: Final[dict[SoakFault, dict[str, Any]]] = {
    SoakFault.STORE_REFUSES: {"status": 503},
    SoakFault.STORE_SILENT: {"silent": True},
    SoakFault.STORE_SLOW: {"delay": STORE_DELAY_S},
    SoakFault.STORE_LOSES_ANSWERS: {"lose_answers": 3},
    SoakFault.STORE_FORGETS: {"forget": True},
}
NO_STORE_FAULTS: Final[dict[str, Any]] = {"status": 0, "silent": False, "delay": 0.0}


class SoakFaultInjector:
    """Injects faults.

    Invariant: when the last fault has ended, all processes run and no fault is active.
    """

    def __init__(self, fleet: GatewayFleet, record: RunRecord) -> None:
        self._fleet = fleet
        self._record = record
        self._config_version = 1
        self._api_keys = [KEY, SECOND_KEY]
        # The target that currently stands in for each target of the schedule: a target that was
        # killed or drained is replaced by one with a new name.
        self._current_targets = {name: name for name in fleet.workers}
        self._replacement_count = 0
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._killed_instances: set[str] = set()

    async def run(self, scheduled_fault: ScheduledSoakFault) -> None:
        """Inject a scheduled fault at its time and undo it at its end."""
        await self._sleep_until(scheduled_fault.at)
        if scheduled_fault.fault.scope is FaultScope.INSTANCE:
            await self._inject_instance_fault(scheduled_fault)
        elif scheduled_fault.fault.scope is FaultScope.PEERS:
            await self._inject_route_fault(
                scheduled_fault, self._fleet.instances[scheduled_fault.victim].peer_port
            )
        elif scheduled_fault.fault.scope is FaultScope.OWN_LINKS:
            await self._cut_own_links(scheduled_fault)
        elif scheduled_fault.fault.scope is FaultScope.STORE:
            await self._fleet.set_store_faults(**STORE_FAULTS[scheduled_fault.fault])
            await self._sleep_until(scheduled_fault.until)
            await self._fleet.set_store_faults(**NO_STORE_FAULTS)
        elif scheduled_fault.fault.scope is FaultScope.TARGET:
            await self._inject_target_fault(scheduled_fault)
        elif scheduled_fault.fault is SoakFault.ZONE_OUT:
            await self._evacuate_zone(scheduled_fault)
        else:
            await self._revoke_second_key(scheduled_fault)

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._record.started + at - time.time()))

    async def _inject_route_fault(self, scheduled_fault: ScheduledSoakFault, port: int) -> None:
        await self._fleet.set_route_faults(port, **ROUTE_FAULTS[scheduled_fault.fault])
        await self._sleep_until(scheduled_fault.until)
        await self._fleet.set_route_faults(port, **NO_ROUTE_FAULTS)

    async def _cut_own_links(self, scheduled_fault: ScheduledSoakFault) -> None:
        """Cut the links of an instance to all targets, or to every second one, for a time."""
        victim = scheduled_fault.victim
        links = list(self._fleet.instances[victim].links)
        is_partial = scheduled_fault.fault is SoakFault.OWN_LINKS_PARTLY_LOST
        workers = links[::2] if is_partial else links
        faults = OWN_LINK_FAULTS[scheduled_fault.fault]
        async with self._locks[f"links of {victim}"]:
            await self._fleet.set_link_faults(victim, workers, **faults)
            period = Period(victim, time.time())
            if not is_partial:
                self._record.cut_off.append(period)
            await self._sleep_until(scheduled_fault.until)
            period.until = time.time()
            await self._fleet.set_link_faults(victim, workers, **NO_OWN_LINK_FAULTS)

    # Faults of instances.

    async def _inject_instance_fault(self, scheduled_fault: ScheduledSoakFault) -> None:
        fleet = self._fleet
        node = fleet.instances[scheduled_fault.victim]
        process = node.process
        assert process is not None
        if scheduled_fault.fault in ROUTE_FAULTS:
            await self._inject_route_fault(scheduled_fault, node.store_port)
        elif scheduled_fault.fault is SoakFault.PAUSE:
            process.freeze()
            await self._sleep_until(scheduled_fault.until)
            process.resume()
        elif scheduled_fault.fault is SoakFault.RELOAD:
            fleet.reload(scheduled_fault.victim)
        elif scheduled_fault.fault is SoakFault.KILL:
            self._killed_instances.add(scheduled_fault.victim)
            await process.kill()
            await self._sleep_until(scheduled_fault.until)
            await self.ensure_running(scheduled_fault.victim)
        else:
            await self._stop_instance(scheduled_fault)

    async def _stop_instance(self, scheduled_fault: ScheduledSoakFault) -> None:
        process = self._fleet.instances[scheduled_fault.victim].process
        assert process is not None
        if not process.running:
            return
        self._killed_instances.discard(scheduled_fault.victim)
        since = time.time()
        status = await process.stop(STOP_TIMEOUT_S)
        # A process that gets the signal before its program has installed a handler ends by the
        # signal, so its exit status says nothing.
        is_planned_stop = (
            scheduled_fault.victim not in self._killed_instances
            and self._has_logged_start(scheduled_fault.victim, process.pid)
        )
        if is_planned_stop:
            self._record.stops.append((Period(scheduled_fault.victim, since, time.time()), status))
        await self._sleep_until(scheduled_fault.until)
        await self.ensure_running(scheduled_fault.victim)

    def _has_logged_start(self, name: str, pid: int) -> bool:
        """Return whether a process has logged that it has started."""
        lines = self._fleet.read_log(name)
        return any(line["event"] == "started" and line["pid"] == pid for line in lines)

    async def ensure_running(self, name: str) -> None:
        """Start an instance if it does not run."""
        async with self._locks[name]:
            process = self._fleet.instances[name].process
            if process is None or not process.running:
                await self._fleet.start_instance(name)

    # Faults of targets.

    async def _inject_target_fault(self, scheduled_fault: ScheduledSoakFault) -> None:
        name = self._current_targets[scheduled_fault.victim]
        node = self._fleet.workers[name]
        if scheduled_fault.fault in ROUTE_FAULTS:
            if node.advertised_port == node.port:
                # Instances reach this target without the proxy.
                return
            await self._inject_route_fault(scheduled_fault, node.advertised_port)
        elif scheduled_fault.fault is SoakFault.TARGET_PAUSED:
            node.process.freeze()
            await self._sleep_until(scheduled_fault.until)
            node.process.resume()
        elif scheduled_fault.fault is SoakFault.TARGET_KILLED:
            await node.process.kill()
            await self._sleep_until(scheduled_fault.until)
            await self._replace_target(scheduled_fault.victim, node)
        elif scheduled_fault.fault is SoakFault.TARGET_DRAINS:
            await self._fleet.register_worker(name, state="draining")
            self._record.leaving.append(Period(name, time.time()))
            await self._sleep_until(scheduled_fault.until)
            await self._replace_target(scheduled_fault.victim, node)
        elif scheduled_fault.fault is SoakFault.TARGET_SAYS_LEAVING:
            await self._set_target_faults(node, {"leaving": True})
            await self._sleep_until(scheduled_fault.until)
            await self._replace_target(scheduled_fault.victim, node)
        else:
            await self._set_target_faults(node, TARGET_FAULTS[scheduled_fault.fault])
            await self._sleep_until(scheduled_fault.until)
            await self._set_target_faults(node, NO_TARGET_FAULTS)

    async def _set_target_faults(self, node: WorkerNode, faults: dict[str, Any]) -> None:
        """Set the faults of a target that runs; a killed or suspended one cannot be called."""
        if not node.process.running or node.process.frozen:
            return
        try:
            await self._fleet.set_worker_faults(node.name, **faults)
        except TimeoutError:
            # Another fault may have ended it meanwhile.
            if node.process.running:
                raise

    async def replace_ended(self, name: str, down_s: float) -> None:
        """Start another target in place of one that has ended, after a time."""
        await asyncio.sleep(down_s)
        for victim, current in self._current_targets.items():
            if current == name:
                await self._replace_target(victim, self._fleet.workers[name])
                return

    async def replace_all_ended(self, down_s: float) -> None:
        """Start another target in place of each that ends, until this is cancelled."""
        waiting: set[asyncio.Task[None]] = set()
        seen: set[str] = set()
        while True:
            for name, node in list(self._fleet.workers.items()):
                if node.process.running or name in seen:
                    continue
                seen.add(name)
                task = asyncio.create_task(self.replace_ended(name, down_s))
                waiting.add(task)
                task.add_done_callback(waiting.discard)
            await asyncio.sleep(0.1)

    async def _replace_target(self, victim: str, old_node: WorkerNode) -> None:
        """Start another target in place of one that was killed or is draining."""
        async with self._locks[victim]:
            if self._current_targets[victim] != old_node.name:
                return
            await self._fleet.write_row("servers", old_node.name, None)
            self._record.leaving.append(Period(old_node.name, time.time()))
            self._replacement_count += 1
            name = f"{victim}-{self._replacement_count}"
            is_cold = old_node.service == "llm"
            cold_fields = {"coldLeftMs": COLD_DURATION_S * 1_000} if is_cold else {}
            use_proxy_route = old_node.advertised_port != old_node.port
            self._record.zone_by_target[name] = old_node.zone
            since = time.time()
            await self._fleet.start_worker(
                name, old_node.service, old_node.zone, use_proxy_route, **cold_fields
            )
            if is_cold:
                self._record.cold.append(Period(name, since, time.time() + COLD_DURATION_S))
            self._current_targets[victim] = name
        # Requests in flight at the old target get the time to complete.
        await asyncio.sleep(1.0)
        await old_node.process.kill()

    # Changes of the fleet's configuration.

    async def _evacuate_zone(self, scheduled_fault: ScheduledSoakFault) -> None:
        row = f"evacuate/{scheduled_fault.victim}"
        await self._fleet.write_row("op", row, {})
        period = Period(scheduled_fault.victim, time.time())
        self._record.zones_out.append(period)
        await self._sleep_until(scheduled_fault.until)
        period.until = time.time()
        await self._fleet.write_row("op", row, None)

    async def _revoke_second_key(self, scheduled_fault: ScheduledSoakFault) -> None:
        self._api_keys = [KEY]
        await self.write_config()
        period = Period(SECOND_KEY, time.time())
        self._record.revoked.append(period)
        await self._sleep_until(scheduled_fault.until)
        period.until = time.time()
        self._api_keys = [KEY, SECOND_KEY]
        await self.write_config()

    async def write_config(self) -> None:
        """Write the next version of the configuration: the fleet's changes with the present keys.

        Versions are written one after the other, so that a later one is never replaced by an
        earlier one.
        """
        async with self._locks["configuration"]:
            self._config_version += 1
            changes = copy.deepcopy(self._fleet.config_changes)
            config = make_config(self._config_version, **changes)
            config["tenants"][0]["apiKeys"] = self._api_keys
            await self._fleet.write_row("op", "config", config)
