"""A fault-injecting TCP proxy: many routes in one process, each with its own faults.

`POST /admin/routes` with {"to": [host, port], "port": 0} opens a route and returns its port.
`POST /admin/faults` with {"ports": [...], ...} sets any of these faults on the routes with these
ports:

- `refuse`: new connections are closed at once.
- `deaf`: the listening socket is closed; this cannot be undone.
- `cut`: all open connections are closed now.
- `freeze`: open connections transfer nothing more in either direction, permanently; new
  connections work.
- `blackhole`: open and new connections transfer nothing.
- `mute`: data from the upstream is held back: requests arrive, responses do not.
- `delay`: seconds that data is delayed, in each direction.
- `truncate`: a connection is closed after so many bytes of response; -1: never.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import msgspec

from rhubarbbend.http import Exchange
from standins._server import StandIn, respond_json

READ_SIZE_BYTES = 65_536


@attrs.define(slots=True, eq=False)
class ProxiedConnection:
    """A client's connection and its upstream connection."""

    writers: list[asyncio.StreamWriter] = attrs.Factory(list)
    frozen: bool = False


@attrs.define(slots=True)
class Route:
    """A listening port, the upstream address it forwards to, and its faults."""

    upstream: tuple[str, int]
    refuse: bool = False
    blackhole: bool = False
    server: asyncio.Server | None = None
    mute: bool = False
    delay: float = 0.0
    truncate: int = -1
    connections: set[ProxiedConnection] = attrs.Factory(set)
    request_bytes: int = 0
    response_bytes: int = 0


class RouteRequest(msgspec.Struct):
    """Body of a request to open a route."""

    to: tuple[str, int]
    port: int = 0


class FaultRequest(msgspec.Struct):
    """Body of a request to change the faults of routes."""

    ports: list[int]
    refuse: bool | None = None
    cut: bool = False
    freeze: bool = False
    deaf: bool = False
    blackhole: bool | None = None
    mute: bool | None = None
    delay: float | None = None
    truncate: int | None = None


class Proxy(StandIn):
    """The proxy with all its routes."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host
        self._routes: dict[int, Route] = {}
        self._servers: list[asyncio.Server] = []

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Open a route, change faults, or return the bytes forwarded on each route."""
        if name == "routes":
            request = msgspec.json.decode(exchange.body, type=RouteRequest)
            respond_json(exchange, {"port": await self._open_route(request)})
        elif name == "faults":
            faults = msgspec.json.decode(exchange.body, type=FaultRequest)
            for port in faults.ports:
                self._set_faults(self._routes[port], faults)
            respond_json(exchange, {})
        elif name == "bytes":
            counts = {
                str(port): [route.request_bytes, route.response_bytes]
                for port, route in self._routes.items()
            }
            respond_json(exchange, counts)
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    async def _open_route(self, request: RouteRequest) -> int:
        route = Route(request.to)

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._proxy_connection(route, reader, writer)

        server = await asyncio.start_server(accept, self._host, request.port)
        self._servers.append(server)
        port = int(server.sockets[0].getsockname()[1])
        self._routes[port] = route
        route.server = server
        return port

    def _set_faults(self, route: Route, faults: FaultRequest) -> None:
        for field in ("refuse", "blackhole", "mute", "delay", "truncate"):
            value = getattr(faults, field)
            if value is not None:
                setattr(route, field, value)
        if faults.deaf and route.server is not None:
            route.server.close()
        if faults.freeze:
            for connection in route.connections:
                connection.frozen = True
        if faults.cut:
            for connection in list(route.connections):
                for writer in connection.writers:
                    writer.transport.abort()

    async def _proxy_connection(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if route.refuse:
            writer.transport.abort()
            return
        connection = ProxiedConnection([writer])
        route.connections.add(connection)
        try:
            await self._wait_while_blackholed(route)
            upstream_reader, upstream_writer = await asyncio.open_connection(*route.upstream)
            connection.writers.append(upstream_writer)
            requests = self._forward_bytes(route, connection, reader, upstream_writer, False)
            responses = self._forward_bytes(route, connection, upstream_reader, writer, True)
            await asyncio.gather(requests, responses)
        except OSError:
            pass
        finally:
            route.connections.discard(connection)
            for open_writer in connection.writers:
                open_writer.transport.abort()

    async def _wait_while_blackholed(self, route: Route) -> None:
        while route.blackhole:
            await asyncio.sleep(0.05)

    async def _forward_bytes(
        self,
        route: Route,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        forwarded = 0
        while True:
            data = await reader.read(READ_SIZE_BYTES)
            if not data:
                break
            if route.delay:
                await asyncio.sleep(route.delay)
            while connection.frozen or route.blackhole or (is_response and route.mute):
                await asyncio.sleep(0.05)
            if is_response:
                route.response_bytes += len(data)
                if route.truncate >= 0 and forwarded + len(data) > route.truncate:
                    writer.write(data[: route.truncate - forwarded])
                    await writer.drain()
                    for open_writer in connection.writers:
                        open_writer.close()
                    return
            else:
                route.request_bytes += len(data)
            forwarded += len(data)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
