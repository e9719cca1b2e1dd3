"""The server's side of one client connection, and why it ended."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterable
from typing import Final, SupportsIndex

import h11

from rhubarbbend.http._protocol import copy_error, strip_error

# Most bytes received at once from a client. All connections may receive in one iteration of the
# event loop, before anything counts or refuses what has come.
CLIENT_READ_BYTES: Final = 8_192
# Reading is paused while more than twice as many received bytes are not read yet (asyncio).
READER_LIMIT_BYTES: Final = CLIENT_READ_BYTES // 2


class ConnectionEnd(enum.Enum):
    """Why a server closed a client connection, or found it closed."""

    IDLE = "idle"
    STOPPING = "stopping"
    CLIENT_CLOSED = "client_closed"
    LAST_RESPONSE = "last_response"
    REJECTED = "rejected"
    TOO_MANY = "too_many"
    # An error of this program.
    FAILED = "failed"


# Ends that the server chooses for connections on which it knows of no request; `STOPPING` also ends
# those whose requests outlast a planned stop.
IDLE_ENDS: Final = frozenset({ConnectionEnd.IDLE, ConnectionEnd.STOPPING})


class ClientReader(asyncio.StreamReader):
    """Reads what a client sends; `unread` is how many received bytes are not read yet.

    asyncio keeps the error of a broken connection and raises it at each read and write. Here the
    error that is kept is stripped, and a copy of it is raised each time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READER_LIMIT_BYTES, loop=loop)
        self.unread = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Buffer received bytes until they are read."""
        received = bytes(data)
        self.unread += len(received)
        super().feed_data(received)

    def set_exception(self, exc: Exception) -> None:
        """Keep the error of the connection."""
        super().set_exception(strip_error(exc))

    def exception(self) -> Exception | None:
        """Return an error like the one that is kept, None if there is none."""
        kept = super().exception()
        return None if kept is None else copy_error(kept)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` received bytes, empty after the client has closed its side."""
        try:
            data = await super().read(n)
        except OSError as error:
            raise copy_error(strip_error(error)) from None
        self.unread -= len(data)
        return data


class ClientConnection:
    """One client connection of a server, with the state of its HTTP protocol.

    `is_used` says whether a request was served on it.
    """

    __slots__ = ("reader", "writer", "conn", "is_used", "_max_header_bytes")

    def __init__(
        self, reader: ClientReader, writer: asyncio.StreamWriter, max_header_bytes: int
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.is_used = False
        self._max_header_bytes = max_header_bytes
        self.conn = self._make_conn()

    def set_limit(self, max_header_bytes: int) -> None:
        """Set the limit on the next request's head, of which nothing was parsed yet."""
        if max_header_bytes != self._max_header_bytes:
            self._max_header_bytes = max_header_bytes
            self.conn = self._make_conn()

    def drop_input(self) -> None:
        """Drop what was received and not parsed, since no other request is served here."""
        self.conn = self._make_conn()

    def _make_conn(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._max_header_bytes)

    @property
    def buffered(self) -> int:
        """Return the number of bytes that were read and not parsed yet."""
        return len(self.conn.trailing_data[0])

    @property
    def unanswered_bytes(self) -> int:
        """Return the number of bytes received after the last request that was served."""
        return self.reader.unread + self.buffered
