"""Callers of a soak run that keep connections idle and see how instances end them.

An instance that closes a connection has either read all that its caller sent or not. The caller can
tell: the kernel resets a connection whose process closes it before it has read everything.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from typing import Final

import h11

from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_caller import (
    CALLER_TIMEOUT_S,
    REQUEST_KINDS,
    make_headers,
    make_random_outcome,
)
from loadtool._soak_changes_checks import (
    MAX_IDLE_FRACTION,
    ChangeRecord,
    IdleClose,
    KeptRequest,
    RequestEnd,
)
from loadtool._soak_checks import RequestOutcome, RunRecord

CONNECT_TIMEOUT_S: Final = 1.0
# How long a reset may come after the end of a connection that it follows, on the loopback.
RESET_DELAY_S: Final = 0.05
# Most requests are sent on connections that have been idle for this part of the idle time-out or
# more; the others follow at once.
MIN_IDLE_FRACTION: Final = 0.6
AT_ONCE_SHARE: Final = 0.2
MAX_PAUSE_S: Final = 0.25
# How often a caller that waits looks for a new idle time-out.
POLL_INTERVAL_S: Final = 0.1
# The state of a TCP connection whose peer has closed it in order, as `tcp_info` gives it.
TCP_CLOSE_WAIT: Final = 8


class KeptConnection(asyncio.Protocol):
    """A connection of a caller; `ended_at` is the Unix time of its end, 0 while it is open."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.ended_at = 0.0
        self.idle_since = 0.0
        # When its last request was sent, 0 before the first.
        self.last_sent_at = 0.0
        self._is_reset = False
        self._parser = h11.Connection(h11.CLIENT)
        self._received = asyncio.Event()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass data on to who waits for it."""
        self._parser.receive_data(data)
        self._received.set()

    def eof_received(self) -> bool:
        """Record the end, and leave the socket open to see whether a reset follows."""
        self.ended_at = time.time()
        self._parser.receive_data(b"")
        self._received.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end if it is a reset."""
        if not self.ended_at:
            self.ended_at = time.time()
            self._is_reset = True
        self._received.set()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def make_reusable(self) -> bool:
        """Return whether one more request may be sent after a complete answer."""
        if self.ended_at or self._parser.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        self._parser.start_next_cycle()
        self.idle_since = time.time()
        return True

    async def exchange(self, outcome: RequestOutcome, headers: dict[str, str]) -> None:
        """Send a request at once and receive its answer, as far as it comes."""
        parser, transport = self._parser, self._transport
        assert transport is not None
        method = "POST" if outcome.body else "GET"
        head = h11.Request(method=method, target=outcome.path, headers=list(headers.items()))
        parts = [parser.send(head), parser.send(h11.Data(data=outcome.body))]
        parts.append(parser.send(h11.EndOfMessage()))
        outcome.sent_at = self.last_sent_at = time.time()
        transport.write(b"".join(part or b"" for part in parts))
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self._receive(outcome)
        except (h11.RemoteProtocolError, TimeoutError):
            pass
        outcome.ended_at = self.ended_at if self.ended_at and not outcome.complete else time.time()

    async def _receive(self, outcome: RequestOutcome) -> None:
        while not outcome.complete:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                if self.ended_at:
                    return
                self._received.clear()
                await self._received.wait()
            elif isinstance(event, h11.Response):
                outcome.status = event.status_code
                outcome.sealed = any(name == b"response-seal" for name, _ in event.headers)
            elif isinstance(event, h11.Data):
                outcome.answer += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                outcome.complete = True
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def find_end(self, outcome: RequestOutcome) -> RequestEnd:
        """Return how a request ended that has just been sent on this connection."""
        if outcome.complete:
            return RequestEnd.ANSWERED
        if outcome.status:
            return RequestEnd.CUT
        if not self.ended_at:
            return RequestEnd.SILENT
        await asyncio.sleep(RESET_DELAY_S)
        return RequestEnd.UNREAD if self._is_reset or self._was_reset_later() else RequestEnd.READ

    def _was_reset_later(self) -> bool:
        assert self._transport is not None
        info = self._transport.get_extra_info("socket")
        state = info.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return bool(state != TCP_CLOSE_WAIT)


class KeptCaller:
    """A caller with one connection at a time, idle up to four fifths of the last time-out."""

    def __init__(
        self,
        fleet: GatewayFleet,
        record: RunRecord,
        changes: ChangeRecord,
        ready: set[str],
        chooser: random.Random,
        get_idle_timeout: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._record = record
        self._changes = changes
        self._ready = ready
        self._random = chooser
        self._get_idle_timeout = get_idle_timeout

    async def run(self, until: float) -> None:
        """Send requests until a Unix time."""
        connection: KeptConnection | None = None
        while time.time() < until:
            if connection is None:
                connection = await self._open()
            if connection is None:
                await asyncio.sleep(POLL_INTERVAL_S)
            elif await self._send(connection) and await self._wait_idle(connection, until):
                continue
            else:
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    async def _open(self) -> KeptConnection | None:
        name = self._random.choice(sorted(self._ready) or list(self._fleet.instances))
        host, port = self._fleet.instances[name].front_address
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await loop.create_connection(lambda: KeptConnection(name), host, port)
                return opened
        except (OSError, TimeoutError):
            return None

    async def _send(self, connection: KeptConnection) -> bool:
        """Send a request; return whether its connection can be kept."""
        outcome = make_random_outcome(self._fleet, self._random, self._random.choice(REQUEST_KINDS))
        outcome.instance = connection.instance
        last_sent_at = connection.last_sent_at
        self._record.outcomes.append(outcome)
        await connection.exchange(outcome, make_headers(outcome, self._random))
        end = await connection.find_end(outcome)
        self._changes.requests.append(KeptRequest(outcome, end, last_sent_at))
        return end is RequestEnd.ANSWERED and connection.make_reusable()

    async def _wait_idle(self, connection: KeptConnection, until: float) -> bool:
        """Wait until the next request is due; return whether the connection may still be used."""
        is_at_once = self._random.random() < AT_ONCE_SHARE
        pause = self._random.uniform(0.0, MAX_PAUSE_S)
        fraction = self._random.uniform(MIN_IDLE_FRACTION, MAX_IDLE_FRACTION)
        while not connection.ended_at and (now := time.time()) < until:
            idle_s, timeout = now - connection.idle_since, self._get_idle_timeout()
            if idle_s >= MAX_IDLE_FRACTION * timeout:
                return False
            due_s = pause if is_at_once else fraction * timeout
            if idle_s >= due_s:
                return True
            await asyncio.sleep(min(due_s - idle_s, POLL_INTERVAL_S))
        if connection.ended_at:
            close = IdleClose(connection.instance, connection.last_sent_at, connection.ended_at)
            self._changes.closes.append(close)
        return False
