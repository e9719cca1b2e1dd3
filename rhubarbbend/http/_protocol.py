"""The asyncio protocol under a client connection.

A relayed stream is the largest cost of an instance. Handing each part of it to a waiting task
costs a second turn of the event loop and a timer; this protocol gives parts to a plain function
in the turn that received them instead.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Final, cast

# Bytes that may wait unread before the other side is held back.
READ_LIMIT: Final = 262_144
# Keep-alive probes: the first after so many idle seconds, then one each interval, so that three
# unanswered ones end a dead connection within 3 s.
KEEPALIVE_IDLE: Final = 1
KEEPALIVE_INTERVAL: Final = 1
KEEPALIVE_PROBES: Final = 2
# Written bytes that are not acknowledged for so many milliseconds end the connection.
USER_TIMEOUT_MS: Final = 2_500

Sink = Callable[[bytes], None]


def set_keepalive(sock: socket.socket | None) -> None:
    """Have the system notice a connection whose other side does not answer any more.

    A connection can go silent for good while new ones work. Without probes a long poll on it
    waits for its whole time and misses what is in force meanwhile.
    """
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class ClientProtocol(asyncio.Protocol):
    """Received bytes, read by a task or given to a sink. Invariant: never both at once."""

    def __init__(self) -> None:
        self.eof = False
        self.error: Exception | None = None
        self.last_received = 0.0
        # The longest time between two parts that a sink was given.
        self.longest_pause = 0.0
        self.traffic = 0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._sink: Sink | None = None
        self._writable: asyncio.Future[None] | None = None
        self._paused = False

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of an open connection."""
        assert self._transport is not None
        return self._transport

    @property
    def closed(self) -> bool:
        """Whether nothing more can come."""
        return self.eof or self._transport is None or self._transport.is_closing()

    @property
    def unread(self) -> int:
        """How many received bytes nobody has read yet."""
        return len(self._buffer)

    @property
    def unsent(self) -> int:
        """How many written bytes have not left this process yet."""
        return self.transport.get_write_buffer_size()

    async def read(self) -> bytes:
        """Read what has come, waiting for something; empty at the end of the stream."""
        while not self._buffer and not self.eof:
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._buffer and self.error is not None:
            raise self.error
        data = bytes(self._buffer)
        self._buffer.clear()
        self.resume_reading()
        return data

    def set_sink(self, sink: Sink | None) -> None:
        """Give parts to a function from now on, first what waits unread; None: stop that.

        The sink is called with empty bytes at the end of the stream.
        """
        self._sink = sink
        if sink is None:
            return
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            sink(data)
        self.resume_reading()
        if self.eof and self._sink is not None:
            sink(b"")

    def pause_reading(self) -> None:
        """Hold the other side back."""
        if not self._paused and not self.closed:
            self._paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Let the other side go on."""
        if self._paused and not self.closed:
            self._paused = False
            self.transport.resume_reading()

    async def drain(self) -> None:
        """Wait until the transport takes more to write."""
        if self._writable is not None:
            await cast(Awaitable[None], self._writable)
        if self.error is not None:
            raise self.error

    # The asyncio.Protocol interface.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self.last_received = self._loop.time()
        set_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Give a part to the sink, or keep it for the reader."""
        self.traffic += len(data)
        before, self.last_received = self.last_received, self._loop.time()
        if self._sink is not None:
            self.longest_pause = max(self.longest_pause, self.last_received - before)
            self._sink(data)
            return
        self._buffer += data
        if len(self._buffer) > READ_LIMIT:
            self.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end of the stream; the transport then closes."""
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._end(exc)
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let `drain` go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def _end(self, error: Exception | None) -> None:
        if self.eof:
            return
        self.eof = True
        self.error = error
        if self._sink is not None:
            self._sink(b"")
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
