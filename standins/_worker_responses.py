"""Reads requests and writes responses of the stand-in for workers, byte by byte where it must."""

from __future__ import annotations

import asyncio

import h11

READ_SIZE_BYTES = 65_536


def make_response_head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    """Return the head of a response."""
    raw = [(k.encode(), v.encode("latin-1")) for k, v in headers]
    return h11.Response(status_code=status, headers=raw)


def encode_headers(headers: list[tuple[str, str]]) -> bytes:
    """Return headers as they are on the wire."""
    return b"".join(f"{name}: {value}\r\n".encode("latin-1") for name, value in headers)


def make_stray_response() -> bytes:
    """Return a response to a request that nobody sent here."""
    text = b"an answer to somebody else"
    headers = [
        ("Attempt-Id", "another-request"),
        ("Response-Seal", "seal"),
        ("Content-Length", str(len(text))),
    ]
    return b"HTTP/1.1 200 OK\r\n" + encode_headers(headers) + b"\r\n" + text


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
