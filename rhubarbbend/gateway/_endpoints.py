"""Listens on the addresses of an instance: for callers, readiness, other instances and metrics."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from functools import partial
from socket import socket
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.gateway._metrics import CONTENT_TYPE
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.http import Exchange, HttpServer, ServerLimits
from rhubarbbend.listening import Listen, Spawn, start_listening

# For readiness and metrics: a few clients that send heads of some hundred bytes.
STATUS_SERVER_LIMITS: Final = ServerLimits(max_connections=64)

OpenDatagrams = Callable[[Address], Coroutine[Any, Any, None]]
Handler = Callable[[Exchange], Coroutine[Any, Any, None]]


class Endpoints:
    """The servers of one instance.

    Invariant: an address that cannot be listened on at the start is tried again until it can, and
    the instance goes on without it meanwhile. Without callers' address it is not ready.
    """

    def __init__(
        self, state: State, callers: HttpServer, peers: HttpServer | None, spawn: Spawn
    ) -> None:
        self._state = state
        self._callers = callers
        self._peers = peers
        self._spawn = spawn

    async def listen(self, listener: socket | None, open_datagrams: OpenDatagrams) -> None:
        """Listen on all addresses of the settings.

        `listener`, if given, already listens for callers. `open_datagrams` opens an address for
        datagrams of other instances.
        """
        settings = self._state.settings
        listen: Listen = partial(self._callers.listen, *settings.callers)
        if listener is not None:
            listen = partial(self._callers.listen_on, listener)
        await self._start("callers", listen, self._handle_listening)
        await self._serve_on("ready", settings.ready, self._serve_ready)
        if self._peers is not None and settings.peers is not None:
            await self._start("peers", partial(self._peers.listen, *settings.peers))
            await self._start("peer datagrams", partial(open_datagrams, settings.peers))
        if settings.metrics is not None:
            await self._serve_on("metrics", settings.metrics, self._serve_metrics)

    async def _serve_on(self, use: str, address: Address, handler: Handler) -> None:
        server = HttpServer(handler, STATUS_SERVER_LIMITS, self._state.memory, reads_bodies=False)
        await self._start(use, partial(server.listen, *address))

    async def _start(
        self, use: str, listen: Listen, handle_listening: Callable[[], None] = lambda: None
    ) -> None:
        def report_failure(error: OSError) -> None:
            self._state.metrics.increment_counter(codes.LISTEN_FAILURES)
            self._state.event_log.write("listen_failed", read_clock(), use=use, reason=str(error))

        await start_listening(listen, self._spawn, report_failure, handle_listening)

    def _handle_listening(self) -> None:
        self._state.accepts_callers = True
        if self._state.stopping:
            # The address became free after the stop had begun.
            self._callers.stop_accepting()

    async def _serve_ready(self, exchange: Exchange) -> None:
        if self._state.ready:
            exchange.respond(200, [("Content-Type", "text/plain")], b"ready\n")
        else:
            exchange.respond(503, [("Content-Type", "text/plain")], b"not ready\n")

    async def _serve_metrics(self, exchange: Exchange) -> None:
        exchange.respond(200, [("Content-Type", CONTENT_TYPE)], self._state.metrics.render())
