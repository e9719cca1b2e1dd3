"""Requests that cannot be parsed or exceed a limit, and the error response to them."""

from __future__ import annotations

import asyncio
import contextlib
from http import HTTPStatus
from typing import Final

import h11
import msgspec

READ_SIZE_BYTES: Final = 65_536
# Bounds on reading and discarding what a rejected client still sends.
DISCARD_TIMEOUT_S: Final = 1.0
MAX_DISCARD_BYTES: Final = 8 * 1024 * 1024
# When a client may come back for whose request there was no memory.
RETRY_AFTER_S: Final = 1


class Rejection(msgspec.Struct, frozen=True):
    """Why a request is not accepted: the status and the error code of the response, and a text."""

    status: int
    code: str
    reason: str


class RequestRejected(Exception):
    """A request that is not accepted."""

    def __init__(self, status: int, reason: str, code: str = "bad_request") -> None:
        super().__init__(reason)
        self.rejection = Rejection(status, code, reason)


def read_event(conn: h11.Connection) -> object:
    """Return the next event of a request, or raise `RequestRejected` if it is invalid."""
    try:
        return conn.next_event()
    except h11.RemoteProtocolError as error:
        raise RequestRejected(error.error_status_hint, str(error)) from error


def check_framing(request: h11.Request) -> None:
    """Reject a request that states the length of its body in two ways (request smuggling).

    A proxy in front of this server may use the other one; part of what it forwarded as the body
    would then be read here as a second request that no client sent.
    """
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRejected(400, "both Content-Length and Transfer-Encoding")


async def send_rejection(
    conn: h11.Connection, writer: asyncio.StreamWriter, rejection: Rejection
) -> None:
    """Send the error response to a rejected request.

    The body has the format of all other error responses. No response is sent if one was already
    started on the connection.
    """
    error = {"code": rejection.code, "message": rejection.reason, "verdict": "not_run"}
    body = msgspec.json.encode({"error": error})
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Content-Length", str(len(body)).encode("ascii")),
        (b"Connection", b"close"),
    ]
    if rejection.status == HTTPStatus.SERVICE_UNAVAILABLE:
        headers.append((b"Retry-After", str(RETRY_AFTER_S).encode("ascii")))
    response_head = h11.Response(status_code=rejection.status, headers=headers)
    for event in (response_head, h11.Data(data=body), h11.EndOfMessage()):
        writer.write(conn.send(event) or b"")
    await writer.drain()


async def discard_remaining_input(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """End the sending side of a connection, and discard what its client still sends for a while.

    Closing a socket with unread bytes resets the connection, and the client may then lose the
    response that says what was wrong with its request.
    """
    writer.write_eof()
    discarded_bytes = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while discarded_bytes < MAX_DISCARD_BYTES:
                data = await reader.read(READ_SIZE_BYTES)
                if not data:
                    return
                discarded_bytes += len(data)
