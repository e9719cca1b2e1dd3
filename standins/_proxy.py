"""A fault-injecting TCP proxy: many routes in one process, each with its own faults.

`POST /admin/routes` with {"to": [host, port], "port": 0} opens a route and returns its port.
`POST /admin/faults` with {"ports": [...], ...} sets any of these faults on the routes with these
ports:

- `refuse`: new connections are closed at once.
- `cut`: all open connections are reset now.
- `freeze`: open connections transfer nothing more in either direction, permanently; new
  connections work.
- `blackhole`: open and new connections transfer nothing.
- `mute`: data from the upstream is held back: requests arrive, responses do not.
- `delay`: seconds that data is delayed, in each direction.
- `listening`: what becomes of new connections: `open` (accepted), `closed` (refused by the system),
  or `silent` (no answer, as behind a cut).
- `truncate`: a connection is closed after so many bytes of response; -1: never.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import time

import attrs
import msgspec

from rhubarbbend.http import Exchange, reset_connection
from standins._server import StandIn, respond_json

READ_SIZE_BYTES = 65_536
# On a real path, the system of a sender that has closed its connection gives up bytes that are not
# acknowledged for so long (TCP_USER_TIMEOUT of an instance); they do not arrive later.
UNACKNOWLEDGED_TIMEOUT_S = 2.5
# Connections that fill the queue of a socket that accepts none; the system drops what comes then.
FILLER_CONNECTIONS = 3


class Listening(enum.Enum):
    """What becomes of new connections to a route."""

    OPEN = "open"
    CLOSED = "closed"
    SILENT = "silent"


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
    listening: Listening = Listening.OPEN
    silent_sockets: list[socket.socket] = attrs.Factory(list)
    # Keeps the port while nothing listens on it: the system gives ports in this range to any
    # process that asks for one, and the route could not be opened again.
    reservation: socket.socket | None = None


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
    blackhole: bool | None = None
    mute: bool | None = None
    delay: float | None = None
    truncate: int | None = None
    listening: Listening | None = None


class Proxy(StandIn):
    """The proxy with all its routes."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host
        self._routes: dict[int, Route] = {}

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Open a route, change faults, or return the bytes forwarded on each route."""
        if name == "routes":
            request = msgspec.json.decode(exchange.body, type=RouteRequest)
            respond_json(exchange, {"port": await self._open_route(request)})
        elif name == "faults":
            faults = msgspec.json.decode(exchange.body, type=FaultRequest)
            for port in faults.ports:
                self._set_faults(self._routes[port], faults)
                if faults.listening is not None:
                    await self._set_listening(port, faults.listening)
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
        route.reservation = _bind(self._host, request.port)
        port = int(route.reservation.getsockname()[1])
        await self._listen_for(route, port)
        self._routes[port] = route
        return port

    async def _listen_for(self, route: Route, port: int) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._proxy_connection(route, reader, writer)

        route.server = await asyncio.start_server(accept, self._host, port)

    async def _set_listening(self, port: int, listening: Listening) -> None:
        route = self._routes[port]
        if route.listening is listening:
            return
        route.listening = listening
        if route.server is not None:
            route.server.close()
            route.server = None
        for silent_socket in route.silent_sockets:
            silent_socket.close()
        route.silent_sockets = []
        if listening is Listening.OPEN:
            await self._listen_for(route, port)
        elif listening is Listening.SILENT:
            route.silent_sockets = _open_silent_sockets(self._host, port)

    def _set_faults(self, route: Route, faults: FaultRequest) -> None:
        for field in ("refuse", "blackhole", "mute", "delay", "truncate"):
            value = getattr(faults, field)
            if value is not None:
                setattr(route, field, value)
        if faults.freeze:
            for connection in route.connections:
                connection.frozen = True
        if faults.cut:
            for connection in list(route.connections):
                for writer in connection.writers:
                    reset_connection(writer.transport)

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
            if len(connection.writers) > 1:
                # A reset on one side is one on the other.
                for open_writer in connection.writers:
                    reset_connection(open_writer.transport)
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
            held_at = time.monotonic()
            while connection.frozen or route.blackhole or (is_response and route.mute):
                await asyncio.sleep(0.05)
            has_closed = reader.at_eof() or reader.exception() is not None
            if has_closed and time.monotonic() - held_at > UNACKNOWLEDGED_TIMEOUT_S:
                raise ConnectionResetError("the sender has given up what was not acknowledged")
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


def _bind(host: str, port: int) -> socket.socket:
    """Bind a socket to a port without listening, which lets others of this process listen on it."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


def _open_silent_sockets(host: str, port: int) -> list[socket.socket]:
    """Listen on a port without accepting, and fill the queue; further connections get no answer."""
    listener = _bind(host, port)
    listener.listen(0)
    sockets = [listener]
    for _ in range(FILLER_CONNECTIONS):
        filler = socket.socket()
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect((host, port))
        sockets.append(filler)
    return sockets
