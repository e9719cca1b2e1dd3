"""The asyncio protocol of a client connection, with two ways to receive data.

Relaying streams is the largest cost of an instance. Passing each received part to a waiting task
costs a second event loop iteration and a timer; for a relayed body, this protocol therefore calls
plain functions, those of the sink, in the iteration that received the part.
"""

from __future__ import annotations

import abc
import asyncio
import socket
import struct
from collections.abc import Awaitable
from typing import Final, cast

from rhubarbbend.http._input_timeout import InputTimeout
from rhubarbbend.http._send_progress import count_unacknowledged

# Above this many unread bytes, reading from the socket is paused (backpressure).
READ_HIGH_WATER_BYTES: Final = 65_536
# Most bytes received at once; asyncio reads up to 256 KB. Reading can be paused only after a part,
# so each part adds to what is held for a receiver that is slow.
READ_SIZE_BYTES: Final = 16_384
# TCP keep-alive: the first probe after KEEPALIVE_IDLE_S idle seconds, then one every
# KEEPALIVE_INTERVAL_S. On Linux, TCP_USER_TIMEOUT decides when unanswered probes give up, whatever
# their count: at the first one due after it, 3 s after the last sign of life. A peer that is silent
# for a second or two keeps its connections.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# A connection also ends if written bytes are not acknowledged for this long.
TCP_USER_TIMEOUT_MS: Final = 2_500

# The error of a connection that this process closed while the peer could still send.
REASON_CLOSED_HERE: Final = "closed by this process"


# With this linger time, a socket that is closed resets its connection.
RESETTING_LINGER: Final = struct.pack("ii", 1, 0)


class Sink(abc.ABC):
    """Receives the data of a connection, and how it ended.

    An end is no data: a body without a length is whole after an orderly end only, and empty data
    would not say which one it was.
    """

    @abc.abstractmethod
    def receive(self, data: bytes) -> None:
        """Accept received data, which is never empty."""

    @abc.abstractmethod
    def handle_end(self, error: Exception | None) -> None:
        """Accept the end of the connection; None if the peer has closed its side in order."""


def set_keepalive(sock: socket.socket | None) -> None:
    """Enable TCP keep-alive, so that the kernel detects a peer that no longer responds.

    A connection can stop delivering data for good while new ones still work. Without probes, a
    long poll on it lasts for its whole time-out and misses the changes made meanwhile.
    """
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def limit_read_size(transport: asyncio.BaseTransport, size: int) -> None:
    """Have a transport receive at most `size` bytes at once."""
    if hasattr(transport, "max_size"):
        # asyncio's own transports read so much at a time; others are left as they are.
        transport.max_size = size


def strip_error(error: Exception) -> Exception:
    """Return an error without its traceback and context, so that it can be kept.

    Both refer to the frames of all callers. A connection that keeps such an error is part of a
    cycle, and holds the request with its head and its body until the garbage collector runs.
    """
    error.__context__ = None
    return error.with_traceback(None)


def copy_error(error: Exception) -> Exception:
    """Return an error like one that is kept, which is not to get a traceback."""
    return type(error)(*error.args)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Discard unsent data and end a connection by a reset."""
    make_close_reset(transport)
    transport.abort()


def make_close_reset(transport: asyncio.WriteTransport) -> None:
    """Have an open connection end by a reset when it is closed, once its buffer is written.

    An orderly end would make a body without a length look complete to the peer.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)


class ClientProtocol(asyncio.Protocol):
    """Received data, read by a task or passed to a sink. Invariant: never both at once."""

    def __init__(self) -> None:
        self.eof = False
        self.error: Exception | None = None
        # Whether the peer closed its side in order before it had received all that was written.
        self.closed_early = False
        self.last_received_at = 0.0
        # The longest time between two parts passed to a sink, in seconds.
        self.longest_receive_gap_s = 0.0
        self.traffic = 0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._sink: Sink | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._has_received = False

    @property
    def transport(self) -> asyncio.Transport:
        """Return the transport of an open connection."""
        assert self._transport is not None
        return self._transport

    @property
    def closed(self) -> bool:
        """Return whether no more data can be received."""
        return self.eof or self._transport is None or self._transport.is_closing()

    @property
    def unread(self) -> int:
        """Return the number of received bytes that are not read yet."""
        return len(self._buffer)

    @property
    def unsent(self) -> int:
        """Return the number of written bytes that are still in the write buffer."""
        return self.transport.get_write_buffer_size()

    @property
    def has_received(self) -> bool:
        """Return whether any data was ever received."""
        return self._has_received

    async def wait_readable(self) -> None:
        """Wait until there is data to read, or the connection has ended."""
        while not self._buffer and not self.eof:
            self._read_waiter = self._loop.create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None

    async def read(self) -> bytes:
        """Return the received data, waiting for some if there is none.

        Empty if the peer has closed its side in order; raise the connection's error otherwise.
        """
        await self.wait_readable()
        if not self._buffer and self.error is not None:
            raise copy_error(self.error)
        data = bytes(self._buffer)
        self._buffer.clear()
        self.resume_reading()
        return data

    async def read_before(self, when: float) -> bytes:
        """Like `read`; raise `TimeoutError` if nothing was received by `when`, in loop time."""
        try:
            async with InputTimeout(when):
                return await self.read()
        except TimeoutError:
            if not self._buffer:
                raise
        # It arrived after the time-out had cancelled the read.
        return await self.read()

    def set_sink(self, sink: Sink | None) -> None:
        """Pass received data, including what is still unread, to a sink; None stops that."""
        self._sink = sink
        if sink is None:
            return
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            sink.receive(data)
        self.resume_reading()
        if self.eof and self._sink is not None:
            sink.handle_end(self.error)

    def pause_reading(self) -> None:
        """Stop reading from the socket, so that the peer has to stop sending."""
        if not self._reading_paused and not self.closed:
            self._reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read from the socket."""
        if self._reading_paused and not self.closed:
            self._reading_paused = False
            self.transport.resume_reading()

    async def drain(self) -> None:
        """Wait until the transport accepts more data; raise the connection's error, if any."""
        if self._write_waiter is not None:
            await cast(Awaitable[None], self._write_waiter)
        if self.error is not None:
            raise copy_error(self.error)

    # Methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive."""
        self._transport = cast(asyncio.Transport, transport)
        self.last_received_at = self._loop.time()
        limit_read_size(transport, READ_SIZE_BYTES)
        set_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Pass data to the sink, or buffer it for the reader."""
        self.traffic += len(data)
        self._has_received = True
        previous, self.last_received_at = self.last_received_at, self._loop.time()
        if self._sink is not None:
            self.longest_receive_gap_s = max(
                self.longest_receive_gap_s, self.last_received_at - previous
            )
            self._sink.receive(data)
            return
        self._buffer += data
        if len(self._buffer) > READ_HIGH_WATER_BYTES:
            self.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the peer has closed its side in order; the transport then closes."""
        self.closed_early = count_unacknowledged(self.transport) > 0
        self._handle_end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection and wake its readers and writers."""
        self._handle_end(exc or ConnectionAbortedError(REASON_CLOSED_HERE))
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Make `drain` wait, because the write buffer is full."""
        self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let `drain` continue."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None

    def _handle_end(self, error: Exception | None) -> None:
        if self.eof:
            return
        self.eof = True
        self.error = None if error is None else strip_error(error)
        if self._sink is not None:
            self._sink.handle_end(error)
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
