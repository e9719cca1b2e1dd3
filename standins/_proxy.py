"""A fault-injecting TCP proxy: many routes in one process, each with its own faults.

`POST /admin/routes` {"to": [host, port], "port": 0} opens a route and gives its port.
`POST /admin/faults` {"ports": [...], ...} sets on routes any of: `refuse` (new connections are
closed), `deaf` (new ones are not taken, for good), `cut` (close the open ones now), `freeze` (the
open ones go silent for good, both ways, while new ones work), `blackhole` (open and new ones are
silent), `mute` (what comes back is held up, so that requests arrive and answers do not), `delay`
(seconds each way), `truncate` (close after that many bytes of answer; -1: never).
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import msgspec

from rhubarbbend.http import Exchange
from standins._server import StandIn, answer

READ_SIZE = 65_536


@attrs.define(slots=True, eq=False)
class Pipe:
    """One proxied connection."""

    writers: list[asyncio.StreamWriter] = attrs.Factory(list)
    frozen: bool = False


@attrs.define(slots=True)
class Route:
    """A listening port and where it leads."""

    to: tuple[str, int]
    refuse: bool = False
    blackhole: bool = False
    server: asyncio.Server | None = None
    mute: bool = False
    delay: float = 0.0
    truncate: int = -1
    pipes: set[Pipe] = attrs.Factory(set)
    bytes_forward: int = 0
    bytes_back: int = 0


class RouteCall(msgspec.Struct):
    """Body of a request for a route."""

    to: tuple[str, int]
    port: int = 0


class FaultCall(msgspec.Struct):
    """Body of a change of faults."""

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
    """All routes."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host
        self._routes: dict[int, Route] = {}
        self._servers: list[asyncio.Server] = []

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Open routes, set faults, show bytes."""
        if name == "routes":
            call = msgspec.json.decode(exchange.body, type=RouteCall)
            answer(exchange, {"port": await self._open(call)})
        elif name == "faults":
            faults = msgspec.json.decode(exchange.body, type=FaultCall)
            for port in faults.ports:
                self._set_faults(self._routes[port], faults)
            answer(exchange, {})
        elif name == "bytes":
            counts = {
                str(port): [route.bytes_forward, route.bytes_back]
                for port, route in self._routes.items()
            }
            answer(exchange, counts)
        else:
            answer(exchange, {"error": "no such path"}, 404)

    async def _open(self, call: RouteCall) -> int:
        route = Route(call.to)

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._carry(route, reader, writer)

        server = await asyncio.start_server(accept, self._host, call.port)
        self._servers.append(server)
        port = int(server.sockets[0].getsockname()[1])
        self._routes[port] = route
        route.server = server
        return port

    def _set_faults(self, route: Route, faults: FaultCall) -> None:
        for field in ("refuse", "blackhole", "mute", "delay", "truncate"):
            value = getattr(faults, field)
            if value is not None:
                setattr(route, field, value)
        if faults.deaf and route.server is not None:
            route.server.close()
        if faults.freeze:
            for pipe in route.pipes:
                pipe.frozen = True
        if faults.cut:
            for pipe in list(route.pipes):
                for writer in pipe.writers:
                    writer.transport.abort()

    async def _carry(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if route.refuse:
            writer.transport.abort()
            return
        pipe = Pipe([writer])
        route.pipes.add(pipe)
        try:
            await self._wait_blackhole(route)
            far_reader, far_writer = await asyncio.open_connection(*route.to)
            pipe.writers.append(far_writer)
            there = self._pump(route, pipe, reader, far_writer, False)
            back = self._pump(route, pipe, far_reader, writer, True)
            await asyncio.gather(there, back)
        except OSError:
            pass
        finally:
            route.pipes.discard(pipe)
            for opened in pipe.writers:
                opened.transport.abort()

    async def _wait_blackhole(self, route: Route) -> None:
        while route.blackhole:
            await asyncio.sleep(0.05)

    async def _pump(
        self,
        route: Route,
        pipe: Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        carried = 0
        while True:
            data = await reader.read(READ_SIZE)
            if not data:
                break
            if route.delay:
                await asyncio.sleep(route.delay)
            while pipe.frozen or route.blackhole or (is_back and route.mute):
                await asyncio.sleep(0.05)
            if is_back:
                route.bytes_back += len(data)
                if route.truncate >= 0 and carried + len(data) > route.truncate:
                    writer.write(data[: route.truncate - carried])
                    await writer.drain()
                    for opened in pipe.writers:
                        opened.close()
                    return
            else:
                route.bytes_forward += len(data)
            carried += len(data)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
