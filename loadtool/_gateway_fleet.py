"""Runs a fleet of real gateway instances with stand-ins for the store and the workers.

Each instance has its own loopback address and reaches the store through its own route of the
fault-injecting proxy, so that one path can fail while the others work.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

import msgspec

from loadtool._gateway_config import HOST, KEY, make_config, make_instance_settings
from loadtool._gateway_nodes import Address, InstanceNode, Reply, WorkerNode
from loadtool._processes import ROOT, ProcessGroup, pick_port
from loadtool._waiting import wait_until
from rhubarbbend.http import Connection, HttpFailure
from standins._worker_types import Arrival, Stats

SERVE_SCRIPT: Final = ROOT / "platform" / "serve.py"
ZONES: Final = ("zone-a", "zone-b", "zone-c")
# Prefix of the loopback addresses that only this test process uses. Some ports of an instance, such
# as its metrics port, are fixed and would collide with those of a test that runs in parallel.
LOOPBACK_PREFIX: Final = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"

# The file in a run's folder to which all workers append each request that reaches them.
ARRIVALS_FILE: Final = "arrivals.jsonl"


class GatewayFleet:
    """The processes of a test: store, proxy, workers and instances."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.group = ProcessGroup(folder)
        self.instances: dict[str, InstanceNode] = {}
        self.workers: dict[str, WorkerNode] = {}
        self.store_port = 0
        self.proxy_port = 0
        self._listen_ports = {name: pick_port() for name in ("front", "ready", "control")}
        self._next_id = 0
        self._own_links = False
        self._has_rollouts = True
        self._memory_mb: int | None = None
        # Faults that each worker injects from its start.
        self._default_worker_faults: dict[str, Any] = {}
        # Fields of the configuration and of instances' settings that differ from the usual ones.
        self.config_changes: dict[str, Any] = {}
        self._settings_changes: dict[str, Any] = {}
        self._worker_slots = 6

    async def start(
        self,
        instances: int = 2,
        plain_worker_count: int = 2,
        engine_worker_count: int = 2,
        zones: int = len(ZONES),
        use_proxy_routes: bool = False,
        own_links: bool = False,
        has_rollouts: bool = True,
        has_peer_datagrams: bool = False,
        config_changes: dict[str, Any] | None = None,
        settings_changes: dict[str, Any] | None = None,
        worker_slots: int = 6,
        memory_mb: int | None = None,
    ) -> None:
        """Start the stand-ins and the instances, and wait until the instances are ready.

        If `use_proxy_routes`, every second worker of a service is reached through a proxy route,
        and so is each instance by the other instances. If `own_links`, each instance has its own
        proxy route to each worker. Without `has_rollouts` the settings know no roll-outs.
        With `has_peer_datagrams` instances reach one another without the proxy, which passes none.
        `memory_mb` is what instances may take; the default of their settings if None.
        """
        self._memory_mb = memory_mb
        self._own_links = own_links
        self._has_rollouts = has_rollouts
        self.config_changes = config_changes or {}
        self._settings_changes = settings_changes or {}
        self._worker_slots = worker_slots
        _, self.store_port = await self.group.start_stand_in("store", ["tables"])
        _, self.proxy_port = await self.group.start_stand_in("proxy", ["proxy"])
        await self.write_row("op", "config", make_config(**self.config_changes))
        for number in range(plain_worker_count):
            behind_proxy = use_proxy_routes and number % 2 == 0
            await self.start_worker(f"plain-{number}", "plain", ZONES[number % 3], behind_proxy)
        for number in range(engine_worker_count):
            behind_proxy = use_proxy_routes and number % 2 == 0
            await self.start_worker(f"engine-{number}", "llm", ZONES[number % 3], behind_proxy)
        for number in range(instances):
            use_peer_routes = use_proxy_routes and not has_peer_datagrams
            await self.add_instance(f"front-{number}", ZONES[number % zones], use_peer_routes)
        await asyncio.gather(*(self.start_instance(name) for name in self.instances))
        for name in self.instances:
            await self.wait_ready(name)

    async def add_instance(
        self, name: str, zone: str, use_proxy_route: bool = False
    ) -> InstanceNode:
        """Create the settings of an instance without starting it.

        If `use_proxy_route`, the other instances reach it through a proxy route.
        """
        ip = f"{LOOPBACK_PREFIX}.{len(self.instances) + 1}"
        view_port = await self._set_view(0, {}) if self._own_links else 0
        store_port = await self.open_route(view_port or self.store_port)
        settings = make_instance_settings(
            name,
            zone,
            {key: f"{ip}:{port}" for key, port in self._listen_ports.items()},
            [f"{LOOPBACK_PREFIX}.{n}:{self._listen_ports['control']}" for n in (1, 2, 3)],
            f"127.0.0.1:{store_port}",
            self._has_rollouts,
        )
        settings.update(self._settings_changes)
        if self._memory_mb is not None:
            settings["limits"]["memoryMb"] = self._memory_mb
        node = InstanceNode(name, ip, settings, store_port, view_port=view_port)
        await self._open_links(node)
        if use_proxy_route:
            node.peer_port = await self.open_route(self._listen_ports["control"], ip)
            settings["advertise"] = {"control": f"127.0.0.1:{node.peer_port}"}
        self.instances[name] = node
        return node

    async def start_instance(self, name: str) -> None:
        """Write the settings file of an instance and start its process."""
        node = self.instances[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(node.settings), "utf-8")
        environment = {"RHUBARBBEND_CONFIG": str(path)}
        node.process = await self.group.start_script(name, SERVE_SCRIPT, environment)

    async def wait_ready(self, name: str, timeout: float = 10.0) -> None:
        """Wait until the readiness check of an instance succeeds; `timeout` is in seconds."""
        await wait_until(f"{name} is ready", lambda: self.is_ready(name), timeout)

    async def is_ready(self, name: str, timeout: float = 10.0) -> bool:
        """Return whether the readiness check of an instance succeeds within `timeout` seconds."""
        address = (self.instances[name].ip, self._listen_ports["ready"])
        return (await self.call(address, "GET", "/ready", timeout=timeout)).status == 200

    def reload(self, name: str) -> None:
        """Change one bound in the settings of an instance and have it reload them with SIGHUP."""
        node = self.instances[name]
        node.settings["bounds"]["budgetSlack"] += 1
        (self.folder / f"{name}.json").write_text(json.dumps(node.settings), "utf-8")
        if node.process is not None:
            node.process.send_signal(signal.SIGHUP)

    async def start_worker(
        self, name: str, service: str, zone: str, use_proxy_route: bool = False, **fields: Any
    ) -> WorkerNode:
        """Start a worker and register it with extra or changed `fields`.

        If `use_proxy_route`, it is reached through a proxy route. The proxy accepts connections
        even for a worker that has ended, as some networks do.
        """
        born = int(fields.get("born", 1))
        process, port = await self.group.start_stand_in(name, self._make_arguments(name, born))
        advertised_port = await self.open_route(port) if use_proxy_route else port
        node = WorkerNode(name, service, zone, port, advertised_port, process, born)
        self.workers[name] = node
        for instance in list(self.instances.values()):
            await self._open_links(instance)
        if self._default_worker_faults:
            await self.set_worker_faults(name, **self._default_worker_faults)
        await self.register_worker(name, **fields)
        return node

    async def restart_worker(self, name: str) -> None:
        """Kill a worker and start it again under its id and address, without a registration."""
        node = self.workers[name]
        await node.process.kill()
        node.born += 1
        arguments = ["--port", str(node.port), *self._make_arguments(name, node.born)]
        node.process, _ = await self.group.start_stand_in(name, arguments)

    def _make_arguments(self, name: str, born: int) -> list[str]:
        arrivals = str(self.folder / ARRIVALS_FILE)
        return ["worker", "--name", name, "--arrivals", arrivals, "--born", str(born)]

    async def register_worker(self, name: str, **fields: Any) -> None:
        """Write the entry of a worker to the table `servers`, with extra or changed `fields`."""
        node = self.workers[name]
        entry = {
            "service": node.service,
            "address": f"127.0.0.1:{node.advertised_port}",
            "zone": node.zone,
            "version": "v1",
            "slots": self._worker_slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seqNo": 1,
            "born": node.born,
        }
        await self.write_row("servers", name, {**entry, **fields})

    # Links of single instances to workers.

    async def _open_links(self, node: InstanceNode) -> None:
        """Open an instance's own routes to the workers to which it has none."""
        if not node.view_port:
            return
        for worker in list(self.workers.values()):
            if worker.name not in node.links:
                node.links[worker.name] = await self.open_route(worker.advertised_port)
        addresses = {
            f"127.0.0.1:{self.workers[name].advertised_port}": f"127.0.0.1:{port}"
            for name, port in node.links.items()
        }
        await self._set_view(node.view_port, addresses)

    async def _set_view(self, port: int, addresses: dict[str, str]) -> int:
        view = {"port": port, "addresses": addresses}
        return int(json.loads(await self.call_admin(self.store_port, "views", view))["port"])

    async def set_link_faults(
        self, instance: str, workers: Sequence[str] | None = None, **faults: Any
    ) -> None:
        """Set the faults of an instance's own links to some workers; None: to all."""
        links = self.instances[instance].links
        ports = [port for worker, port in links.items() if workers is None or worker in workers]
        await self.call_admin(self.proxy_port, "faults", {"ports": ports, **faults})

    # Calls to the stand-ins.

    async def write_row(self, table: str, key: str, value: Any, raw: str | None = None) -> None:
        """Write a row to the store as operators and workers do; the value None deletes it."""
        call = {"table": table, "key": key, "value": value, "raw": raw}
        await self.call_admin(self.store_port, "rows", call)

    async def read_row(self, table: str, key: str) -> Any:
        """Return the value of a row of the store, None if there is no such row."""
        path = f"/admin/table?table={table}"
        reply = await self.call(("127.0.0.1", self.store_port), "POST", path, b"{}")
        values = {row["key"]: row["value"] for row in json.loads(reply.body)}
        return json.loads(base64.b64decode(values[key])) if key in values else None

    async def set_store_faults(self, **faults: Any) -> None:
        """Set the faults that the store injects."""
        await self.call_admin(self.store_port, "faults", faults)

    async def count_store_calls(self) -> int:
        """Return the number of calls that the store has received from the fleet."""
        return sum(json.loads(await self.call_admin(self.store_port, "counts", {})).values())

    async def set_worker_faults(self, name: str, **faults: Any) -> None:
        """Set the faults that a worker injects, as soon as it accepts a connection."""

        async def is_set() -> bool:
            reply = await self.call(address, "POST", "/admin/faults", json.dumps(faults).encode())
            return reply.status == 200

        address = ("127.0.0.1", self.workers[name].port)
        await wait_until(f"{name} takes its faults", is_set, 5.0)

    async def set_default_worker_faults(self, **faults: Any) -> None:
        """Set the faults of all workers, and of those that are started later."""
        self._default_worker_faults = faults
        for name in list(self.workers):
            await self.set_worker_faults(name, **faults)

    async def add_default_worker_faults(self, **faults: Any) -> None:
        """Set more faults of all workers, and of those that are started later."""
        await self.set_default_worker_faults(**self._default_worker_faults, **faults)

    async def set_service_faults(self, service: str, **faults: Any) -> None:
        """Set the faults that each worker of a service injects."""
        for name, node in self.workers.items():
            if node.service == service:
                await self.set_worker_faults(name, **faults)

    async def read_stats(self, name: str) -> Stats:
        """Return the statistics of a worker."""
        data = await self.call_admin(self.workers[name].port, "stats", {})
        return msgspec.json.decode(data, type=Stats)

    async def read_all_stats(self, service: str) -> dict[str, Stats]:
        """Return the statistics of the workers of a service, by worker name."""
        names = [name for name, node in self.workers.items() if node.service == service]
        return {name: await self.read_stats(name) for name in names}

    async def set_route_faults(self, port: int, **faults: Any) -> None:
        """Set the faults of the proxy route that listens on a port."""
        await self.call_admin(self.proxy_port, "faults", {"ports": [port], **faults})

    async def open_route(self, to: int, host: str = "127.0.0.1") -> int:
        """Open a proxy route to a port of a host; return the port on which the proxy listens."""
        data = await self.call_admin(self.proxy_port, "routes", {"to": [host, to]})
        return int(json.loads(data)["port"])

    async def call_admin(self, port: int, name: str, value: Any) -> bytes:
        """Call the admin interface of a stand-in and return the response body."""
        body = json.dumps(value).encode()
        reply = await self.call(("127.0.0.1", port), "POST", f"/admin/{name}", body)
        assert reply.status == 200, (port, name, reply)
        return reply.body

    # Requests of callers.

    def make_attempt_id(self) -> str:
        """Return a new value for the header `Attempt-Id`."""
        self._next_id += 1
        return f"try-{self._next_id:06}"

    async def send_request(
        self, path: str, body: bytes = b"", instance: str = "front-0", **headers: str
    ) -> Reply:
        """Send a request as a client does: POST if it has a body, else GET.

        Underscores in the names of extra headers stand for hyphens.
        """
        method = "POST" if body else "GET"
        sent = {
            "Host": HOST,
            "Attempt-Id": self.make_attempt_id(),
            "X-Api-Key": KEY,
            "Deadline-Ms": "2000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return await self.call(self.instances[instance].front_address, method, path, body, sent)

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Reply:
        """Send one request over a new connection.

        Status 0 in the reply means that no response head was received within `timeout` seconds.
        """
        try:
            connection = await Connection.open(address)
        except HttpFailure:
            return Reply()
        reply = Reply()
        sent = [(k.encode(), v.encode("latin-1")) for k, v in (headers or {"Host": "x"}).items()]
        if body:
            sent.append((b"Content-Length", str(len(body)).encode()))
        try:
            async with asyncio.timeout(timeout):
                connection.send_raw(method.encode(), path.encode(), sent, body)
                response = await connection.receive_head(timeout)
                reply.status = response.status
                reply.headers = response.headers
                async for part in connection.receive_body(timeout):
                    reply.body += part
                reply.complete = True
        except (HttpFailure, TimeoutError):
            pass
        finally:
            connection.close()
        return reply

    def read_arrivals(self) -> list[Arrival]:
        """Return each request that reached a worker, including workers that have ended."""
        path = self.folder / ARRIVALS_FILE
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [msgspec.json.decode(line, type=Arrival) for line in lines]

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Return the log lines of an instance."""
        text = (self.folder / f"{name}.log").read_text("utf-8")
        return [json.loads(line) for line in text.splitlines() if line]


@asynccontextmanager
async def start_fleet(folder: Path, **options: Any) -> AsyncIterator[GatewayFleet]:
    """Start a fleet and end its processes when the context exits."""
    fleet = GatewayFleet(folder)
    try:
        await fleet.start(**options)
        yield fleet
    finally:
        await fleet.group.close()
