"""Tests of clients that read slowly or not at all: what the server holds for them, and how long."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

import attrs

from rhubarbbend.http import Exchange, HttpServer

HOST = "127.0.0.1"
PART = b"x" * 8_192
# Far above what the buffers of both kernels take.
STREAM_BYTES = 12 * 1024 * 1024
MAX_UNSENT_BYTES = 65_536
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@attrs.define
class StreamingServer:
    """Writes one stream to each client, as fast as the client reads it."""

    size: int = STREAM_BYTES
    written: int = 0
    largest_unsent: int = 0
    ended_after: float | None = None

    async def serve(self, exchange: Exchange) -> None:
        started_at = time.monotonic()
        exchange.start(200, [])
        while self.written < self.size and not exchange.closed.is_set():
            exchange.write(PART)
            self.written += len(PART)
            unsent = exchange._writer.transport.get_write_buffer_size()
            self.largest_unsent = max(self.largest_unsent, unsent)
            with contextlib.suppress(OSError):
                await exchange.drain()
        if exchange.closed.is_set():
            self.ended_after = time.monotonic() - started_at
        else:
            exchange.finish()


async def connect(port: int, receive_buffer: int = 16_384) -> socket.socket:
    """Open a connection with a small receive buffer and send a request on it."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (HOST, port))
    await loop.sock_sendall(client, REQUEST)
    return client


def run_with_server(
    handler: Callable[[Exchange], Awaitable[None]], work: Callable[[int], Awaitable[None]]
) -> None:
    async def scenario() -> None:
        server = HttpServer(handler)
        port = await server.listen(HOST, 0)
        async with asyncio.timeout(40.0):
            await work(port)
        await server.close()

    asyncio.run(scenario())


def test_a_client_that_reads_nothing_holds_little_and_is_ended_soon() -> None:
    """Guards against a stream that a client does not read filling the memory of the instance.

    Such a client held 256 KB in the process and up to 2.8 MB in the kernel, and its target's
    connection, for 30 s.
    """
    streaming = StreamingServer()

    async def work(port: int) -> None:
        with await connect(port):
            while streaming.ended_after is None:
                await asyncio.sleep(0.05)

    run_with_server(streaming.serve, work)
    assert streaming.ended_after is not None and 2.0 < streaming.ended_after < 3.5
    assert streaming.largest_unsent < MAX_UNSENT_BYTES
    assert streaming.written < 256_000


def test_a_client_on_a_slow_steady_link_gets_the_whole_stream() -> None:
    """Guards against ending a client that reads slowly: 40 KB/s for longer than the bound."""
    streaming = StreamingServer(size=30 * len(PART))
    received = 0

    async def work(port: int) -> None:
        nonlocal received
        loop = asyncio.get_running_loop()
        with await connect(port) as client:
            while not streaming.written or received < streaming.size:
                received += len(await loop.sock_recv(client, 4_096))
                await asyncio.sleep(0.1)

    run_with_server(streaming.serve, work)
    assert received >= streaming.size and streaming.ended_after is None
    assert streaming.largest_unsent < MAX_UNSENT_BYTES


def test_a_whole_answer_reaches_a_client_that_starts_to_read_late() -> None:
    """Guards against counting a client as stalled while the kernel still sends to it."""
    body = b"y" * 200_000

    async def respond(exchange: Exchange) -> None:
        exchange.respond(200, [], body)

    async def work(port: int) -> None:
        received = b""
        loop = asyncio.get_running_loop()
        with await connect(port) as client:
            await asyncio.sleep(3.0)
            while not received.endswith(body):
                received += await loop.sock_recv(client, 16_384)
                await asyncio.sleep(0.05)

    run_with_server(respond, work)
