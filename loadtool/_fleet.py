"""Starts a deployment for a measured run, with network latencies added by proxies."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any, Final

from loadtool._cluster import HOST, Cluster, Node
from loadtool._deployments import Deployment

DECLARATION_FILE: Final = "fleet.toml"


class MeasuredFleet:
    """A running deployment with the addresses that callers use, and the changes made during a run.

    `caller_addresses` maps instances and targets to the proxy ports that add the callers' latency.
    """

    def __init__(self, deployment: Deployment, policy: str, folder: Path, statsd_port: int) -> None:
        self.deployment = deployment
        self.cluster = Cluster(
            folder,
            list(deployment.zones),
            use_proxies=True,
            core_settings=f'[statsd]\nhost = "{HOST}"\nport = {statsd_port}\n',
        )
        self._policy = policy
        self._folder = folder
        self._caller_proxy: Node | None = None
        self._replacements = 0
        self.caller_addresses: dict[str, tuple[str, int]] = {}

    async def start(self) -> None:
        """Start all processes, apply the declarations and wait until targets are ready to serve."""
        cluster = self.cluster
        deployment = self.deployment
        await cluster.start_platform()
        process, port = await cluster.group.start_stand_in("proxy-callers", ["proxy"])
        self._caller_proxy = Node("proxy-callers", "proxy", "", process, port)
        starts: list[Any] = []
        for number in range(deployment.instances):
            starts.append(cluster.start_instance(f"entry-{number + 1}", self._select_zone(number)))
        for number in range(deployment.engines):
            starts.append(self._start_engine(f"engine-{number + 1}", self._select_zone(number)))
        for number in range(deployment.plains):
            zone = self._select_zone(number)
            name = f"{deployment.plain_service}-{number + 1}"
            starts.append(cluster.start_plain_service(name, zone, deployment.plain_service))
        await asyncio.gather(*starts)
        for node in (*cluster.instances.values(), *cluster.targets.values()):
            await self._set_delays(node)
        await self._set_platform_delay()
        await cluster.register()
        await cluster.wait_until_instances_ready()
        await cluster.apply_declarations(self._write_declarations())
        await cluster.wait_until_targets_ready()

    def list_caller_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses at which callers reach the instances."""
        return [self.caller_addresses[name] for name in self.cluster.instances]

    def list_engines(self) -> list[Node]:
        """Return the engines that are part of the deployment now."""
        return [node for node in self.cluster.targets.values() if node.kind == "engine"]

    async def start_replacement(self, old: Node) -> Node:
        """Start and register an engine in the zone of an old one; register the old as leaving."""
        self._replacements += 1
        name = f"{old.id.partition('-r')[0]}-r{self._replacements}"
        replacement = await self._start_engine(name, old.zone)
        await self._set_delays(replacement)
        await self.cluster.register(replacement)
        await self.cluster.register(old, state="leaving")
        return replacement

    async def remove_engine(self, old: Node) -> None:
        """Unregister an engine and stop it."""
        await self.cluster.unregister(old)
        del self.cluster.targets[old.id]
        await old.process.stop()

    async def set_zone_service(self, direction: str, zone: str) -> None:
        """Run the operator command that takes a zone `out` of service or back `in`."""
        node = next(iter(self.cluster.instances.values()))
        status, output = await self.cluster.run_command("zone", direction, zone, node=node)
        if status != 0:
            raise RuntimeError(f"command zone {direction} failed: {output}")

    def _select_zone(self, number: int) -> str:
        zones = self.deployment.zones
        return zones[number % len(zones)]

    async def _start_engine(self, name: str, zone: str) -> Node:
        deployment = self.deployment
        options = deployment.list_engine_options()
        return await self.cluster.start_engine(name, zone, deployment.engine_service, *options)

    async def _set_delays(self, node: Node) -> None:
        """Set the latency of the paths to a node from other zones and from callers."""
        for zone in self.deployment.zones:
            if zone != node.zone:
                delay = self.deployment.zone_delay
                await self.cluster.set_route_faults(zone, [node], delay=delay)
        proxy = self._caller_proxy
        assert proxy is not None
        route = await self.cluster.call_admin(proxy, "routes", {"to": [HOST, node.port]})
        port = int(route["port"])
        faults = {"ports": [port], "delay": self.deployment.caller_delay}
        await self.cluster.call_admin(proxy, "faults", faults)
        self.caller_addresses[node.id] = (HOST, port)

    async def _set_platform_delay(self) -> None:
        """Set the latency of the paths to the platform to that between zones."""
        platform = self.cluster.platform
        assert platform is not None
        for zone in self.deployment.zones:
            delay = self.deployment.zone_delay
            await self.cluster.set_route_faults(zone, [platform], delay=delay)

    def _write_declarations(self) -> Path:
        """Write the declarations with the run's policy and the engines' rate and cold limits."""
        path = self._folder / DECLARATION_FILE
        text = (self.deployment.declarations / DECLARATION_FILE).read_text("utf-8")
        text = text.replace("[[service]]", f'[[service]]\npolicy = "{self._policy}"')
        deployment = self.deployment
        text = text.replace("cold_slots = 1", f"cold_slots = {deployment.cold_bears}")
        rate = f"prefill_rate = {deployment.prefill_rate}"
        cold = f"cold_requests = {deployment.cold_requests}"
        path.write_text(re.sub(r"prefill_rate = [0-9.]+", f"{rate}\n{cold}", text), "utf-8")
        return path
