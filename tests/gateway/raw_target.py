"""A target of the tests that answers a request with given bytes and ends its connection."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.gateway.harness import ZONES, GatewayFleet

RESETTING_LINGER = struct.pack("ii", 1, 0)
TARGET_ID = "raw-0"
# What the target leaves in the kernel of the connection, so that the rest of an upload waits.
RECEIVE_BYTES = 8_192


class RawEnd(enum.Enum):
    """How the target ends a connection after its bytes are sent."""

    RESET = "reset"
    # Its side is closed in order, then the connection is reset.
    CLOSED = "closed"
    # It stays open.
    OPEN = "open"


class RawTarget:
    """Answers each request but health checks with `answer`, in which `{id}` is the request's id.

    It answers as soon as the head of a request has arrived, without reading more of the body,
    waits `delay_s` and ends the connection.
    """

    def __init__(self, answer: bytes, end: RawEnd, delay_s: float) -> None:
        self.requests = 0
        self._answer = answer
        self._end = end
        self._delay_s = delay_s
        self._open: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._open.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(
                    line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
                )
                if b"attempt-id" in fields:
                    await self._answer_request(fields[b"attempt-id"], writer)
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nInstance-Id: raw-0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer_request(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        self.requests += 1
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(self._answer.replace(b"{id}", request))
        await asyncio.sleep(self._delay_s)
        if self._end is RawEnd.OPEN:
            return
        if self._end is RawEnd.CLOSED:
            writer.write_eof()
            await asyncio.sleep(0.1)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
        writer.transport.abort()

    def close(self) -> None:
        """End all connections."""
        for writer in self._open:
            writer.transport.abort()


@asynccontextmanager
async def start_raw_target(
    fleet: GatewayFleet, service: str, answer: bytes, end: RawEnd, delay_s: float = 0.1
) -> AsyncIterator[RawTarget]:
    """Start a raw target and register it as the only one of a service."""
    target = RawTarget(answer, end, delay_s)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(target.serve, sock=listener, limit=RECEIVE_BYTES)
    entry = {
        "service": service,
        "address": f"127.0.0.1:{listener.getsockname()[1]}",
        "zone": ZONES[0],
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seqNo": 1,
        "born": 1,
    }
    await fleet.write_row("servers", TARGET_ID, entry)
    try:
        yield target
    finally:
        server.close()
        target.close()
