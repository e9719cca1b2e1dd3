"""Reads requests and writes responses of the stand-in for workers, byte by byte where it must."""

from __future__ import annotations

import asyncio
import socket

import h11
import msgspec

from rhubarbbend.http import reset_connection
from standins._worker_types import Faults

READ_SIZE_BYTES = 65_536
KERNEL_SEND_BYTES = 16_384


class BodyWriter:
    """Writes a response part by part: in chunks, with a length, or up to the connection's end."""

    def __init__(
        self,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        is_unframed: bool,
        unread_timeout: float = 0.0,
    ) -> None:
        self._conn = conn
        self._writer = writer
        self._is_unframed = is_unframed
        self._unread_timeout = unread_timeout or None
        if unread_timeout:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_SEND_BYTES)

    def start(self, headers: list[tuple[str, str]]) -> None:
        """Write the head of a success; its body is in chunks if `headers` state no length."""
        if self._is_unframed:
            lines = encode_headers([*headers, ("Connection", "close")])
            self._writer.write(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
        else:
            self._writer.write(self._conn.send(make_response_head(200, headers)) or b"")

    async def write(self, data: bytes) -> None:
        """Write a part of the body; reset the connection if it is not read for too long."""
        part = data if self._is_unframed else self._conn.send(h11.Data(data=data))
        self._writer.write(part or b"")
        try:
            async with asyncio.timeout(self._unread_timeout):
                await self._writer.drain()
        except TimeoutError:
            self.break_off(by_reset=True)
            raise ConnectionResetError("the response was not read") from None

    def finish(self) -> bool:
        """End the body; return whether the connection can be used again."""
        if not self._is_unframed:
            self._writer.write(self._conn.send(h11.EndOfMessage()) or b"")
        return not self._is_unframed

    def break_off(self, by_reset: bool) -> bool:
        """End the connection without ending the body; return that it cannot be used again."""
        if by_reset:
            reset_connection(self._writer.transport)
        return False


def make_response_head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    """Return the head of a response."""
    raw = [(k.encode(), v.encode("latin-1")) for k, v in headers]
    return h11.Response(status_code=status, headers=raw)


def encode_headers(headers: list[tuple[str, str]]) -> bytes:
    """Return headers as they are on the wire."""
    return b"".join(f"{name}: {value}\r\n".encode("latin-1") for name, value in headers)


def make_stray_response(status: int = 200) -> bytes:
    """Return a response to a request that nobody sent here."""
    text = b"an answer to somebody else"
    headers = [
        ("Attempt-Id", "another-request"),
        ("Response-Seal", "seal"),
        ("Content-Length", str(len(text))),
    ]
    status_line = f"HTTP/1.1 {status} \r\n".encode()
    return status_line + encode_headers(headers) + b"\r\n" + text


def send_response(
    conn: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bool:
    """Write a whole response; return whether the connection can be used again."""
    head = make_response_head(status, [*headers, ("Content-Length", str(len(body)))])
    for event in (head, h11.Data(data=body), h11.EndOfMessage()):
        writer.write(conn.send(event) or b"")
    return True


def send_report(
    conn: h11.Connection, writer: asyncio.StreamWriter, running: int, born: int
) -> bool:
    """Write a report of a worker's state; return whether the connection can be used again.

    `born` is the start that it states, 0 to state none.
    """
    report = {"seqNo": 0, "queueDepth": 0, "inFlight": running}
    if born:
        report["born"] = born
    headers = [("Content-Type", "application/json")]
    return send_response(conn, writer, 200, headers, msgspec.json.encode(report))


def send_part_of_head(
    writer: asyncio.StreamWriter, headers: list[tuple[str, str]], faults: Faults
) -> bool:
    """Break a response off in its head; return that its connection cannot be used again."""
    framing = ("Connection", "close") if faults.unframed else ("Transfer-Encoding", "chunked")
    lines = encode_headers([*headers, ("Content-Type", "text/event-stream"), framing])
    head = b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n"
    writer.write(head[: faults.head_cut])
    if faults.cut_by_reset:
        reset_connection(writer.transport)
    return False


async def respond_early(
    conn: h11.Connection,
    headers: dict[str, str],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bytes:
    """Respond after the request head, then read the rest of the body and return it."""
    response_headers = [("Attempt-Id", headers.get("attempt-id", "")), ("Not-Executed", "1")]
    writer.write(
        conn.send(make_response_head(503, [*response_headers, ("Content-Length", "0")])) or b""
    )
    writer.write(conn.send(h11.EndOfMessage()) or b"")
    await writer.drain()
    return await read_body(conn, reader)


async def read_event(conn: h11.Connection, reader: asyncio.StreamReader) -> object:
    """Return the next event of a connection, reading what it needs."""
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        conn.receive_data(await reader.read(READ_SIZE_BYTES))


async def read_body(conn: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    """Return the rest of a request's body; raise `ConnectionResetError` if it ends early."""
    parts: list[bytes] = []
    while True:
        event = await read_event(conn, reader)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise ConnectionResetError
