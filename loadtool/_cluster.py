"""Runs a deployment on one machine: platform, instances, targets, and proxies between zones."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any, Final

import attrs
import msgspec

from loadtool._processes import ManagedProcess, ProcessGroup, pick_port
from rhubarbbend.http import ConnectionPool, HttpFailure, fetch
from rhubarbbend.operators import OperatorClient, derive_operator_key

HOST: Final = "127.0.0.1"
SECRET: Final = "a secret of the stand-in fleet"
SECRET_ENV: Final = "RHUBARBBEND_SECRET"
READY_TIMEOUT_S: Final = 20.0


@attrs.define(slots=True, eq=False)
class Node:
    """A process of the deployment with its ports.

    `ports_by_zone` maps a zone to the port and the peer port by which that zone reaches the node
    through its proxy.
    """

    id: str
    kind: str
    zone: str
    process: ManagedProcess
    port: int
    peer_port: int = 0
    operator_port: int = 0
    service_name: str = ""
    arguments: list[str] = attrs.Factory(list)
    ports_by_zone: dict[str, tuple[int, int]] = attrs.Factory(dict)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the process itself, not through a proxy."""
        return HOST, self.port


@attrs.define(slots=True, eq=False)
class Zone:
    """An availability zone and the proxy through which its instances reach all other nodes."""

    name: str
    proxy: Node | None = None
    platform_port: int = 0


class Cluster:
    """A deployment.

    Nodes are started one by one; `register` then adds them to the instance list of the platform.
    `list_lag` is the number of seconds by which that list lags behind. If `use_proxies`, each zone
    reaches the other nodes through a proxy. If `record_traces`, each instance writes a trace file.
    """

    def __init__(
        self,
        folder: Path,
        zones: list[str],
        use_proxies: bool = False,
        core_settings: str = "",
        list_lag: float = 0.3,
        record_traces: bool = False,
    ) -> None:
        self.group = ProcessGroup(folder)
        self.folder = folder
        self.zones = {name: Zone(name) for name in zones}
        self.instances: dict[str, Node] = {}
        self.targets: dict[str, Node] = {}
        self.platform: Node | None = None
        self._use_proxies = use_proxies
        self._core_settings = core_settings
        self._list_lag = list_lag
        self._record_traces = record_traces
        self._pool = ConnectionPool(2.0)

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def start_platform(self) -> None:
        """Start the platform and, if the cluster uses proxies, a proxy for each zone."""
        process, port = await self.group.start_stand_in(
            "platform", ["platform", "--lag", str(self._list_lag)]
        )
        self.platform = Node("platform", "platform", "", process, port)
        for zone in self.zones.values():
            zone.platform_port = port
            if self._use_proxies:
                name = f"proxy-{zone.name}"
                process, proxy_port = await self.group.start_stand_in(name, ["proxy"])
                zone.proxy = Node(name, "proxy", zone.name, process, proxy_port)
                zone.platform_port = await self._open_route(zone, port)

    async def start_engine(self, name: str, zone: str, service: str, *options: str) -> Node:
        """Start a model engine and return its node."""
        return await self._start_target(name, "engine", zone, service, list(options))

    async def start_plain_service(self, name: str, zone: str, service: str, *options: str) -> Node:
        """Start a plain service and return its node.

        Its journal of executed commands remains after the process has ended.
        """
        journal = self.folder / f"{name}.journal"
        arguments = ["--journal", str(journal), *options]
        return await self._start_target(name, "plain", zone, service, arguments)

    async def restart_target(self, node: Node) -> None:
        """Start a target again on its previous port."""
        arguments = ["--port", str(node.port), node.kind, *node.arguments]
        node.process, _ = await self.group.start_stand_in(node.id, arguments)

    async def start_instance(self, name: str, zone: str, extra_settings: str = "") -> Node:
        """Start an instance without registering it, and return its node."""
        node = Node(name, "instance", zone, None, pick_port(), pick_port(), pick_port())  # type: ignore[arg-type]
        settings = self._write_settings(node, extra_settings)
        node.process = await self._run_instance(name, settings)
        self.instances[name] = node
        await self._add_routes(node)
        return node

    async def restart_instance(self, node: Node) -> None:
        """Start an instance again with its previous settings."""
        node.process = await self._run_instance(node.id, self.folder / f"{node.id}.toml")

    async def register(self, *nodes: Node, state: str = "live") -> None:
        """Add nodes to the instance list of the platform, all nodes if none is given."""
        chosen_nodes = nodes or (*self.instances.values(), *self.targets.values())
        entries = [self._make_entry(node, state) for node in chosen_nodes]
        await self.call_admin(self._get_platform(), "entries", entries)

    async def unregister(self, *nodes: Node) -> None:
        """Remove nodes from the instance list of the platform."""
        await self.call_admin(self._get_platform(), "remove", [node.id for node in nodes])

    async def wait_until_instances_ready(
        self, *nodes: Node, timeout: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until instances are ready, all instances if none is given.

        Raises:
            TimeoutError: An instance was not ready within `timeout` seconds.
            RuntimeError: An instance has ended.
        """
        for node in nodes or tuple(self.instances.values()):
            await self._wait_until_instance_ready(node, time.monotonic() + timeout)

    async def wait_until_targets_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until each instance considers each running target of its zone ready.

        Raises:
            TimeoutError: This was not so within `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while True:
            unready = [await self._list_unready_targets(node) for node in self.instances.values()]
            if not any(unready):
                return
            if time.monotonic() > deadline:
                raise TimeoutError(f"targets still not ready, by instance: {unready}")
            await asyncio.sleep(0.1)

    async def apply_declarations(self, path: Path) -> None:
        """Apply declarations through the first instance.

        Raises:
            RuntimeError: The command failed.
        """
        node = next(iter(self.instances.values()))
        status, output = await self.run_command("apply", str(path), "--yes", node=node)
        if status != 0:
            raise RuntimeError(f"applying declarations failed with exit status {status}: {output}")

    async def run_command(self, *arguments: str, node: Node) -> tuple[int, str]:
        """Run the command `rhubarbbend` against an instance, as an operator does.

        Return its exit status and its output.
        """
        managed = await self.start_command(*arguments, node=node)
        output, _ = await managed.process.communicate()
        return managed.process.returncode or 0, output.decode()

    async def start_command(self, *arguments: str, node: Node) -> ManagedProcess:
        """Start the command `rhubarbbend` against an instance; it writes each line at once."""
        command = ["rhubarbbend", *arguments]
        command += ["--instance", f"{HOST}:{node.operator_port}", "--secret-env", SECRET_ENV]
        environment = {SECRET_ENV: SECRET, "PYTHONUNBUFFERED": "1"}
        return await self.group.start("operator", command, environment)

    async def set_faults(self, node: Node, **faults: Any) -> None:
        """Set the faults that a stand-in injects."""
        await self.call_admin(node, "faults", faults)

    async def set_route_faults(self, viewer: str, nodes: list[Node], **faults: Any) -> None:
        """Set faults on the proxy routes from the zone `viewer` to nodes, the platform included."""
        zone = self.zones[viewer]
        assert zone.proxy is not None
        ports: list[int] = []
        for node in nodes:
            if node is self.platform:
                ports.append(zone.platform_port)
            else:
                ports.extend(port for port in node.ports_by_zone[viewer] if port)
        await self.call_admin(zone.proxy, "faults", {"ports": ports, **faults})

    async def call_admin(self, node: Node, name: str, body: Any = None) -> Any:
        """Call the admin interface of a stand-in and return the decoded response."""
        now = asyncio.get_running_loop().time()
        data = b"" if body is None else msgspec.json.encode(body)
        _, answer = await fetch(
            self._pool, node.address, "POST", f"/admin/{name}", now, body=data, timeout=5.0
        )
        return msgspec.json.decode(answer)

    def count_runs_by_key(self) -> dict[str, int]:
        """Return how often each idempotency key was executed.

        It counts over all plain services, including those that have crashed.
        """
        runs: dict[str, int] = {}
        for path in self.folder.glob("*.journal"):
            for key in path.read_text("utf-8").splitlines():
                runs[key] = runs.get(key, 0) + 1
        return runs

    async def close(self) -> None:
        """End all processes."""
        await self.group.close()

    def _get_platform(self) -> Node:
        assert self.platform is not None
        return self.platform

    async def _start_target(
        self, name: str, kind: str, zone: str, service: str, arguments: list[str]
    ) -> Node:
        # It may be started again on this port, which the system must not give away meanwhile.
        port_arguments = ["--port", str(pick_port())]
        process, port = await self.group.start_stand_in(name, [*port_arguments, kind, *arguments])
        node = Node(name, kind, zone, process, port, service_name=service, arguments=arguments)
        self.targets[name] = node
        await self._add_routes(node)
        return node

    async def _run_instance(self, name: str, settings: Path) -> ManagedProcess:
        return await self.group.start(
            name,
            ["rhubarbbend", "serve", "--settings", str(settings)],
            {SECRET_ENV: SECRET},
        )

    def _write_settings(self, node: Node, extra: str) -> Path:
        zone = self.zones[node.zone]
        path = self.folder / f"{node.id}.toml"
        record = (
            f'[record]\nfile = "{self.folder / node.id}.trace"\n' if self._record_traces else ""
        )
        path.write_text(
            f'[instance]\nid = "{node.id}"\nzone = "{node.zone}"\nhost = "{HOST}"\n'
            f"http_port = {node.port}\npeer_port = {node.peer_port}\n"
            f"operator_port = {node.operator_port}\n"
            f'[platform]\naddress = "{HOST}:{zone.platform_port}"\n'
            f'[secret]\nenv = "{SECRET_ENV}"\n'
            f'[log]\nfile = "{self.folder / node.id}.log"\n{record}'
            f"[core]\n{self._core_settings}\n{extra}\n",
            "utf-8",
        )
        return path

    async def _open_route(self, zone: Zone, port: int) -> int:
        assert zone.proxy is not None
        answer = await self.call_admin(zone.proxy, "routes", {"to": [HOST, port]})
        return int(answer["port"])

    async def _add_routes(self, node: Node) -> None:
        for zone in self.zones.values():
            if zone.proxy is not None:
                port = await self._open_route(zone, node.port)
                peer = await self._open_route(zone, node.peer_port) if node.peer_port else 0
                node.ports_by_zone[zone.name] = (port, peer)

    def _make_entry(self, node: Node, state: str) -> dict[str, Any]:
        return {
            "id": node.id,
            "kind": "instance" if node.kind == "instance" else "target",
            "zone": node.zone,
            "host": HOST,
            "port": node.port,
            "peer_port": node.peer_port,
            "service_name": node.service_name,
            "state": state,
            "addresses": {zone: [HOST, *ports] for zone, ports in node.ports_by_zone.items()},
        }

    async def _wait_until_instance_ready(self, node: Node, deadline: float) -> None:
        while time.monotonic() < deadline:
            if not node.process.running:
                raise RuntimeError(
                    f"{node.id} ended before it was ready: see {self.folder / node.id}.err"
                )
            now = asyncio.get_running_loop().time()
            try:
                response, _ = await fetch(
                    self._pool,
                    node.address,
                    "GET",
                    "/readyz",
                    now,
                    new_connection=True,
                    timeout=1.0,
                )
                if response.status == 200:
                    return
            except HttpFailure:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{node.id} was not ready in time: see {self.folder / node.id}.log")

    async def _list_unready_targets(self, node: Node) -> list[str]:
        if not node.process.running or node.process.frozen:
            return []

        def query_instance() -> tuple[int, list[Any]]:
            key = derive_operator_key(SECRET.encode())
            with OperatorClient((HOST, node.operator_port), key) as client:
                return client.show("config").version, list(client.show("targets"))

        version, targets = await asyncio.to_thread(query_instance)
        if version == 0:
            # An instance can learn of ready targets from heartbeats before it has applied the
            # declarations.
            return [f"configuration of {node.id}"]
        views_by_id = {view.id: view for view in targets}
        return [
            target.id
            for target in self.targets.values()
            if target.zone == node.zone
            and target.process.running
            and not (target.id in views_by_id and views_by_id[target.id].ready)
        ]
