"""Requests that cannot be read: what is wrong with them, and the answer that says so."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

import h11
import msgspec

READ_SIZE: Final = 65_536
# What a rejected client still sends is read and dropped within these bounds.
REJECT_SECONDS: Final = 1.0
REJECT_BYTES: Final = 8 * 1024 * 1024


class RequestRejected(Exception):
    """A request that cannot be read; carries the status to answer with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


async def reject_request(
    conn: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    rejected: RequestRejected,
) -> None:
    """Answer an unreadable request in the shape of every other error, then close."""
    error = {"code": "bad_request", "message": rejected.reason, "verdict": "not_run"}
    body = msgspec.json.encode({"error": error})
    if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
        head = h11.Response(
            status_code=rejected.status,
            headers=[
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode("ascii")),
                (b"Connection", b"close"),
            ],
        )
        for event in (head, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(conn.send(event) or b"")
        await writer.drain()
        await _drop_rest(reader, writer)


async def _drop_rest(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read and drop what the client still sends, for a short while.

    Closing with bytes unread resets the connection, and the client may lose the answer that says
    what was wrong with its request.
    """
    writer.write_eof()
    dropped = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(REJECT_SECONDS):
            while dropped < REJECT_BYTES:
                data = await reader.read(READ_SIZE)
                if not data:
                    return
                dropped += len(data)
