"""What a server holds of a response until its client has read it, and how long it waits for that.

Load handled here: clients that read slowly or not at all.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Callable
from typing import Final

from rhubarbbend.core.limits import HeldKind, Holding, MemoryLedger
from rhubarbbend.http._send_progress import SendProgress

# Above this many unsent bytes, writers of response bodies have to wait until at most
# `WRITE_LOW_WATER_BYTES` are left. One more part of 16 KB may follow, and the kernel holds as much:
# less than 64 KB together.
WRITE_HIGH_WATER_BYTES: Final = 32_768
WRITE_LOW_WATER_BYTES: Final = 16_384
# A client that acknowledges nothing for this long is ended if a writer waits for it. It is shorter
# than the few seconds after which targets cut an answer that is not read, and longer than the
# second or two for which a sound path may be silent.
STALL_TIMEOUT_S: Final = 2.5
# The same for another instance that passes a response on. It ends its own client first; and if that
# one reads 20 KB/s, it opens its window only every 6 s.
DETOUR_STALL_TIMEOUT_S: Final = 10.0
CHECK_INTERVAL_S: Final = 0.25
# A connection is aborted if its client accepts no byte of its response for this long while the
# server flushes it.
FLUSH_TIMEOUT_S: Final = 10.0
# How long the source of a whole response may be left unread while memory is short: less than the
# time after which targets cut an answer that is not read.
MAX_ROOM_WAIT_S: Final = 1.0
ROOM_CHECK_INTERVAL_S: Final = 0.02
# A writer that waited this long in all may have been too slow for its source.
MIN_SLOW_S: Final = 1.0
# What the source sends is read within this time after the writer need not wait any more.
CATCH_UP_S: Final = 1.0


class ClientEnd(enum.Enum):
    """Why a server ended the connection of a client that did not read its response."""

    NOT_READING = "not_reading"
    MEMORY_SHORT = "memory_short"


class AnswerBuffer:
    """The unsent bytes of one response.

    Invariant: they are counted by the ledger as of the last write or check, at most
    `CHECK_INTERVAL_S` ago while anything waits for the client.
    """

    __slots__ = (
        "kind",
        "waited_s",
        "_end",
        "_holding",
        "ledger",
        "_pending",
        "_transport",
        "_wait_ended_at",
        "_waiting_since",
    )

    def __init__(
        self,
        transport: asyncio.WriteTransport,
        ledger: MemoryLedger,
        end: Callable[[ClientEnd], None],
    ) -> None:
        self.kind = HeldKind.ANSWER
        # How long writers have waited for the client in all.
        self.waited_s = 0.0
        self._transport = transport
        self.ledger = ledger
        self._end = end
        self._holding: Holding | None = None
        # Bytes of the response that are not written yet.
        self._pending = 0
        self._waiting_since: float | None = None
        self._wait_ended_at = 0.0

    def is_full(self) -> bool:
        """Return whether writers have to wait."""
        return self._transport.get_write_buffer_size() > WRITE_HIGH_WATER_BYTES

    @property
    def was_slow(self) -> bool:
        """Whether the client has kept its writer waiting for long in all."""
        waited_s = self.waited_s
        if self._waiting_since is not None:
            waited_s += asyncio.get_running_loop().time() - self._waiting_since
        return waited_s >= MIN_SLOW_S

    def is_behind(self, now: float) -> bool:
        """Return whether the client has kept its writer waiting, up to a moment ago.

        What the source of the response did meanwhile may be due to that.
        """
        is_recent = self._waiting_since is not None or now - self._wait_ended_at < CATCH_UP_S
        return is_recent and self.was_slow

    def record_pending(self, size: int) -> None:
        """Count bytes of the response that are held but not written yet."""
        self._pending = size
        self.update(asyncio.get_running_loop().time())

    def record_write(self) -> None:
        """Count the unsent bytes after a write; costs little while everything is sent at once."""
        if self._holding is not None or self._transport.get_write_buffer_size():
            self.update(asyncio.get_running_loop().time())

    def update(self, now: float, progressed_at: float | None = None) -> None:
        """Count the unsent bytes; `progressed_at` is when the client last read some, if known."""
        unsent = self._transport.get_write_buffer_size()
        holding = self._holding
        if holding is None:
            if not unsent and not self._pending:
                return
            holding = self._holding = self.ledger.open(self.kind, self._shed)
        size = unsent + self._pending
        grows = size > holding.size
        self.ledger.resize(holding, size)
        if not unsent:
            holding.stalled_since = None
        elif progressed_at is not None or holding.stalled_since is None:
            holding.stalled_since = now if progressed_at is None else progressed_at
        if grows:
            shed_excess(self.ledger, now)

    def close(self) -> None:
        """Stop counting; the client is not ended any more."""
        self._end = _ignore_end
        if self._holding is not None:
            self.ledger.close(self._holding)
            self._holding = None

    async def drain(self, writer: asyncio.StreamWriter) -> None:
        """Wait until writers may go on; end a client that makes no progress meanwhile."""
        loop = asyncio.get_running_loop()
        self._waiting_since = loop.time()
        is_detour = self.kind is HeldKind.DETOUR
        stall_timeout = DETOUR_STALL_TIMEOUT_S if is_detour else STALL_TIMEOUT_S
        try:
            if not await wait_until_sent(writer, stall_timeout, self):
                self.end_stalled()
        finally:
            self._wait_ended_at = loop.time()
            self.waited_s += self._wait_ended_at - self._waiting_since
            self._waiting_since = None

    def end_stalled(self) -> None:
        """End a client that has read nothing of its response for too long."""
        self._end(ClientEnd.NOT_READING)

    def _shed(self) -> None:
        self._end(ClientEnd.MEMORY_SHORT)


def _ignore_end(reason: ClientEnd) -> None:
    pass


async def wait_for_room(ledger: MemoryLedger) -> None:
    """Wait while all that may be held is held, so that sources of responses are not read.

    It ends after `MAX_ROOM_WAIT_S` in any case: what waits may itself be what is held.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + MAX_ROOM_WAIT_S
    while (now := loop.time()) < until and ledger.is_exhausted(now):
        shed_excess(ledger, now)
        await asyncio.sleep(ROOM_CHECK_INTERVAL_S)


async def wait_until_sent(
    writer: asyncio.StreamWriter, stall_timeout: float, buffer: AnswerBuffer | None
) -> bool:
    """Wait until the transport's buffer is below its low-water mark.

    Return False if the client has acknowledged nothing for `stall_timeout` seconds.
    """
    loop = asyncio.get_running_loop()
    progress = SendProgress(writer.transport, loop.time())
    while True:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S) as interval:
                await writer.drain()
                return True
        except TimeoutError:
            if not interval.expired():
                # The operating system has given the connection up.
                raise
            now = loop.time()
            if progress.compute_stall(now) >= stall_timeout:
                return False
            if buffer is not None:
                buffer.update(now, progress.progressed_at)
                # Nothing may be written for a while that would do this.
                shed_excess(buffer.ledger, now)


async def flush(
    writer: asyncio.StreamWriter, stall_timeout: float, buffer: AnswerBuffer | None
) -> bool:
    """Wait until everything written is sent; return False if the client makes no progress."""
    transport = writer.transport
    if not transport.get_write_buffer_size():
        return True
    transport.set_write_buffer_limits(high=0)
    try:
        with contextlib.suppress(ConnectionError):
            return await wait_until_sent(writer, stall_timeout, buffer)
        return True
    finally:
        set_limits(transport)


async def flush_or_end(writer: asyncio.StreamWriter, buffer: AnswerBuffer | None = None) -> None:
    """Wait until the write buffer is empty; end the connection if the client stalls.

    When the process ends, data that a slow client has not received yet would be lost, and its
    response truncated although the handler had finished it. A client that receives nothing for
    `FLUSH_TIMEOUT_S` is probably dead; waiting longer would hold its slot, and block a planned
    stop, forever.
    """
    if await flush(writer, FLUSH_TIMEOUT_S, buffer):
        return
    if buffer is None:
        writer.transport.abort()
    else:
        buffer.end_stalled()


def set_limits(transport: asyncio.WriteTransport) -> None:
    """Set the limits of a transport's buffer at which writers wait and go on."""
    transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES, WRITE_LOW_WATER_BYTES)


def shed_excess(ledger: MemoryLedger, now: float) -> None:
    """Give up what the ledger selects, if memory is short."""
    for holding in ledger.select_shed(now):
        holding.shed()
