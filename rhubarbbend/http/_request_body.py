"""Reads the bodies of requests, and counts requests until they are released.

Load handled here: more or larger requests at once than fit into memory, sent quickly or slowly.
"""

from __future__ import annotations

import asyncio
from typing import Final

import h11
import msgspec

from rhubarbbend.core.limits import HeldKind, Holding, MemoryLedger
from rhubarbbend.http._answer_buffer import shed_excess
from rhubarbbend.http._input_timeout import InputTimeout
from rhubarbbend.http._parse_turns import PARTS_PER_TURN, SMALL_PART_BYTES, ParseTurns
from rhubarbbend.http._rejection import READ_SIZE_BYTES, RequestRejected, read_event

# Bodies up to this size are read however short memory is: the messages between instances are so
# small, and the handler refuses what it has no memory for.
ALWAYS_READ_BYTES: Final = 8_192
# Heads that take less are not counted: usual ones have some ten fields.
UNCOUNTED_HEAD_BYTES: Final = 16_384
# What one field of a parsed head takes beside its bytes, and what its bytes take: they are kept as
# received, in lower case, decoded and in the headers that are forwarded.
HEADER_FIELD_BYTES: Final = 400
HEADER_BYTE_COPIES: Final = 3
# What one entry of a list in a field takes once the list is parsed.
LIST_ENTRY_BYTES: Final = 200
# Smaller parts of a body are joined as they arrive: each object takes some 40 bytes by itself.
JOINED_PART_BYTES: Final = 4_096
# A block of joined parts is complete from this size on.
BLOCK_BYTES: Final = 16_384


class BodyLimits(msgspec.Struct, frozen=True):
    """Limits on bodies: on one, on all that are held at once, in bytes, and on the time for one."""

    max_bytes: int
    max_buffered_bytes: int
    timeout: float


class MemoryShort(RequestRejected):
    """A request for which there is no memory; it has not run."""

    def __init__(self, reason: str) -> None:
        super().__init__(503, reason, "memory_short")


class RequestBody:
    """A body that is being read or held, with what is counted of its request.

    `data` is set once the body is whole. `head_size` is what the head takes as far as that is
    counted. While the client is waited for, `timeout` says for how long.
    """

    __slots__ = ("data", "size", "head_size", "holding", "timeout", "_blocks", "_last_block")

    def __init__(self) -> None:
        self.data = b""
        self.size = 0
        self.head_size = 0
        self.timeout: InputTimeout | None = None
        self._blocks: list[bytes] = []
        self._last_block = bytearray()
        # None as long as nothing of the request is counted.
        self.holding: Holding | None = None

    @property
    def is_given_up(self) -> bool:
        """Whether the request is given up for want of memory."""
        return self.holding is not None and self.holding.is_shed

    def give_up(self) -> None:
        """Stop waiting for the client."""
        if self.timeout is not None:
            self.timeout.reschedule(asyncio.get_running_loop().time())

    def append(self, part: bytes) -> None:
        """Add a received part."""
        self.size += len(part)
        if len(part) < JOINED_PART_BYTES:
            self._last_block += part
            if len(self._last_block) < BLOCK_BYTES:
                return
            part = b""
        if self._last_block:
            self._blocks.append(bytes(self._last_block))
            self._last_block.clear()
        if part:
            self._blocks.append(part)

    def finish(self) -> None:
        """Set `data` from the parts received."""
        self.data = b"".join((*self._blocks, self._last_block))
        self._drop_parts()

    def clear(self) -> None:
        """Drop the data: an error that is being handled still refers to this object."""
        self.data = b""
        self.size = 0
        self._drop_parts()

    def _drop_parts(self) -> None:
        self._blocks = []
        self._last_block = bytearray()


class BodyReader:
    """Reads bodies. Invariant: `buffered_bytes` is the size of all that are not released."""

    def __init__(self, ledger: MemoryLedger, kind: HeldKind, turns: ParseTurns) -> None:
        self._ledger = ledger
        self._kind = kind
        self._turns = turns
        self.buffered_bytes = 0

    async def read(
        self,
        head: h11.Request,
        body: RequestBody,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        limits: BodyLimits,
    ) -> None:
        """Read the whole body of a request into `body`, which has to be released.

        Raise `RequestRejected` if it exceeds a limit, `MemoryShort` if there is no memory for it,
        `TimeoutError` if it takes too long.
        """
        loop = asyncio.get_running_loop()
        self._admit(head, body, loop.time())
        try:
            async with InputTimeout(loop.time() + limits.timeout) as body.timeout:
                await self._read_parts(body, conn, reader, limits)
        except TimeoutError as error:
            if body.is_given_up:
                raise MemoryShort("the body arrived slowly, and memory is short") from error
            raise
        finally:
            body.timeout = None

    def hold_head(self, body: RequestBody, size: int, now: float) -> None:
        """Count the bytes of a head that is not whole; raise `MemoryShort` if they do not fit."""
        self._resize(body, size, now)
        is_large = size > ALWAYS_READ_BYTES
        if body.is_given_up or (is_large and self._ledger.is_exhausted(now)):
            raise MemoryShort("no memory for the rest of the head")

    def hold_early(self, body: RequestBody, size: int) -> bool:
        """Count bytes that arrived while a request runs; return whether there is memory for them.

        Requests that run are not given up, so this one's client does not count as waited for.
        """
        if body.holding is None:
            body.holding = self._ledger.open(self._kind, body.give_up)
        self._ledger.resize(body.holding, body.head_size + body.size + size)
        now = asyncio.get_running_loop().time()
        return size <= ALWAYS_READ_BYTES or not self._ledger.is_exhausted(now)

    def _admit(self, head: h11.Request, body: RequestBody, now: float) -> None:
        """Count a whole head; raise `MemoryShort` if there is no memory for its request."""
        body.head_size = estimate_head_size(head)
        expected = _read_length(head) + body.head_size
        is_large = expected > ALWAYS_READ_BYTES
        if body.is_given_up or (is_large and not self._ledger.can_admit(expected, now)):
            raise MemoryShort("no memory for the request")
        if body.head_size or body.holding is not None:
            self._resize(body, body.head_size, now)

    def _resize(self, body: RequestBody, size: int, now: float) -> None:
        """Count `size` bytes of a request whose client has made progress."""
        if body.holding is None:
            body.holding = self._ledger.open(self._kind, body.give_up)
        self._ledger.resize(body.holding, size)
        body.holding.stalled_since = now
        shed_excess(self._ledger, now)

    def release(self, body: RequestBody) -> None:
        """Stop holding and counting a body."""
        self.buffered_bytes -= body.size
        body.clear()
        if body.holding is not None:
            self._ledger.close(body.holding)

    async def _read_parts(
        self,
        body: RequestBody,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        limits: BodyLimits,
    ) -> None:
        loop = asyncio.get_running_loop()
        small_parts = 0
        while True:
            event = read_event(conn)
            if isinstance(event, h11.Data):
                body.append(bytes(event.data))
                self._count_part(body, len(event.data), limits, loop.time())
                if len(event.data) < SMALL_PART_BYTES:
                    small_parts += 1
                    if small_parts % PARTS_PER_TURN == 0:
                        await self._turns.wait()
            elif isinstance(event, h11.EndOfMessage):
                body.finish()
                if body.holding is not None:
                    # From now on it waits for this process, not for its client.
                    body.holding.stalled_since = None
                return
            elif event is h11.NEED_DATA:
                conn.receive_data(await reader.read(READ_SIZE_BYTES))
            else:
                raise ConnectionResetError("client closed the connection during the body")

    def _count_part(self, body: RequestBody, size: int, limits: BodyLimits, now: float) -> None:
        self.buffered_bytes += size
        if body.size > limits.max_bytes:
            raise RequestRejected(413, "body too large")
        if self.buffered_bytes > limits.max_buffered_bytes:
            raise MemoryShort("too many bytes of requests are held")
        self._resize(body, body.head_size + body.size, now)
        if body.size > ALWAYS_READ_BYTES and self._ledger.is_exhausted(now):
            raise MemoryShort("no memory for the rest of the body")


def estimate_head_size(head: h11.Request) -> int:
    """Return how many bytes a parsed head takes in this process; 0 if they are not counted."""
    size = 0
    for name, value in head.headers:
        size += HEADER_FIELD_BYTES + HEADER_BYTE_COPIES * (len(name) + len(value))
        if len(value) > LIST_ENTRY_BYTES:
            size += LIST_ENTRY_BYTES * value.count(b",")
    return size if size >= UNCOUNTED_HEAD_BYTES else 0


def has_body(head: h11.Request) -> bool:
    """Return whether a request has a body, which may be empty if it comes in chunks."""
    return _read_length(head) > 0 or any(name == b"transfer-encoding" for name, _ in head.headers)


def _read_length(head: h11.Request) -> int:
    """Return the stated length of a body; 0 if there is none, or it is not stated."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), 0)
