"""Tests of the server's limits: any input takes bounded time and memory and gets a clear error."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time

import msgspec
import pytest

from rhubarbbend.http import ConnectionEnd, Exchange, HttpServer, ServerLimits

HOST = "127.0.0.1"
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = ServerLimits(
    max_header_bytes=2_000,
    max_body_bytes=1_000,
    max_buffered_body_bytes=1_500,
    head_timeout=0.4,
    body_timeout=0.4,
    idle_timeout=0.6,
    max_connections=4,
)


# A quarter of what a small machine may have open.
MAX_ACCEPTED_AT_ONCE = 256


async def respond_with_body_size(exchange: Exchange) -> None:
    """Respond with the size of the body, after a delay if the path is `/wait`."""
    if exchange.target == "/wait":
        await asyncio.sleep(0.5)
    exchange.respond(200, [], str(len(exchange.body)).encode())


async def send_parts(port: int, *parts: bytes, pause: float = 0.0) -> bytes:
    """Send parts `pause` seconds apart; return what the server sends until it closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    read_task = asyncio.create_task(reader.read())
    for part in parts:
        if read_task.done():
            break
        writer.write(part)
        await asyncio.sleep(pause)
    received = await read_task
    writer.close()
    return received


def serve_client(*parts: bytes, pause: float = 0.0) -> tuple[bytes, float]:
    """Serve one client; return what it received and for how many seconds it was served."""

    async def scenario() -> tuple[bytes, float]:
        server = HttpServer(respond_with_body_size, LIMITS)
        port = await server.listen(HOST, 0)
        started_at = time.monotonic()
        async with asyncio.timeout(10.0):
            received = await send_parts(port, *parts, pause=pause)
        await server.close()
        return received, time.monotonic() - started_at

    return asyncio.run(scenario())


def parse_error(received: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the error object of a response."""
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)["error"]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 3_000, 431),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" + b"b" * 5_000, 413),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n", 400),
        (b"\x00\xff garbage \r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nfew", 408),
    ],
)
def test_invalid_and_oversized_requests_are_rejected(sent: bytes, status: int) -> None:
    received, seconds = serve_client(sent)
    found_status, error = parse_error(received)
    assert (found_status, error["verdict"]) == (status, "not_run")
    assert seconds < 2.0


def test_head_sent_byte_by_byte_times_out() -> None:
    """The client sends a byte every 0.1 s, each well within the time-out. The time-out applies to
    the whole head, so the client gets status 408 and cannot hold the connection."""
    parts = [bytes([byte]) for byte in b"GET / HTTP/1.1\r\nHost: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"]
    started_at = time.monotonic()
    received, _ = serve_client(*parts[:12], pause=0.1)
    assert parse_error(received)[0] == 408
    assert time.monotonic() - started_at < 1.2


def test_total_size_of_concurrent_bodies_is_limited() -> None:
    """Two bodies, each within its own limit, together exceed the limit on all bodies. The second is
    rejected while the first request is in flight, and accepted afterwards."""

    async def scenario() -> None:
        server = HttpServer(respond_with_body_size, LIMITS)
        port = await server.listen(HOST, 0)
        template = (
            b"POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 900\r\n\r\n"
        )
        first = asyncio.create_task(send_parts(port, template % b"/wait" + b"b" * 900))
        await asyncio.sleep(0.2)
        refusal = await send_parts(port, template % b"/" + b"b" * 900)
        assert parse_error(refusal)[0] == 503 and b"\r\nretry-after: 1\r\n" in refusal.lower()
        assert (await first).startswith(b"HTTP/1.1 200")
        assert (await send_parts(port, template % b"/" + b"b" * 900)).startswith(b"HTTP/1.1 200")
        await server.close()

    asyncio.run(scenario())


# Guards against an answer that looks complete to a caller whose HTTP/1.0 knows no chunks.
@pytest.mark.parametrize("flush", [False, True])
def test_aborted_response_without_length_ends_by_a_reset(flush: bool) -> None:
    async def respond_in_part(exchange: Exchange) -> None:
        exchange.start(200, [])
        exchange.write(b"part")
        await asyncio.sleep(0.05)
        if flush:
            exchange.abort_after_flush()
        else:
            exchange.abort()

    async def scenario() -> None:
        server = HttpServer(respond_in_part, LIMITS)
        reader, writer = await asyncio.open_connection(HOST, await server.listen(HOST, 0))
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(10.0):
                await reader.read()
        writer.close()
        await server.close()

    asyncio.run(scenario())


# Guards against an event loop that stands still until the idle time-out, since the operating system
# has given up an idle connection: its error is a `TimeoutError` too.
def test_an_idle_connection_that_is_given_up_by_the_system_ends_at_once() -> None:
    async def work() -> None:
        server = HttpServer(respond_with_body_size, ServerLimits(idle_timeout=1.0))
        protocol = server._make_protocol()
        server._make_protocol = lambda: protocol  # type: ignore[method-assign]
        ends: list[ConnectionEnd] = []
        server.on_connection_end = lambda end, unanswered: ends.append(end)
        port = await server.listen(HOST, 0)
        with socket.create_connection((HOST, port)):
            await asyncio.sleep(0.05)
            protocol._transport._fatal_error(TimeoutError(110, "Connection timed out"))
            began_at = time.monotonic()
            await asyncio.sleep(0.05)
            assert time.monotonic() - began_at < 0.5
            assert ends == [ConnectionEnd.CLIENT_CLOSED]
        await server.close()

    asyncio.run(work())


# Guards against refusing (431) a head that the limit in force allows, on a connection that is older
# than that limit.
def test_a_larger_limit_of_headers_holds_for_connections_that_are_open() -> None:
    async def work() -> None:
        server = HttpServer(respond_with_body_size, ServerLimits(max_header_bytes=1_000))
        port = await server.listen(HOST, 0)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await reader.readuntil(b"\r\n\r\n0")
        server.set_limits(ServerLimits(max_header_bytes=9_000))
        writer.write(REQUEST[:-2] + b"X: " + 4_000 * b"a")
        await asyncio.sleep(0.05)
        writer.write(b"\r\n\r\n")
        assert (await reader.read(1_000)).startswith(b"HTTP/1.1 200")
        writer.close()
        await server.close()

    asyncio.run(work())


# Guards against work that goes on at a target after its caller has gone: a client whose process is
# killed, or which gives up with data unread, resets its connection.
@pytest.mark.parametrize("by_reset", [False, True])
def test_a_client_that_leaves_while_its_request_runs_is_noticed(by_reset: bool) -> None:
    was_noticed = asyncio.Event()

    async def wait_for_the_end(exchange: Exchange) -> None:
        await exchange.closed.wait()
        was_noticed.set()

    async def scenario() -> None:
        server = HttpServer(wait_for_the_end, LIMITS)
        port = await server.listen(HOST, 0)
        with socket.create_connection((HOST, port)) as client:
            client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.1)
            if by_reset:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        try:
            await asyncio.wait_for(was_noticed.wait(), 2.0)
        finally:
            await server.close()

    asyncio.run(scenario())


# Guards against a crowd of new connections that are all accepted, and are open files, before the
# first of those over the limit is closed.
@pytest.mark.parametrize("is_listening", [False, True])
def test_few_connections_are_accepted_at_a_time(is_listening: bool) -> None:
    async def work() -> None:
        server = HttpServer(respond_with_body_size, LIMITS)
        if is_listening:
            listener = socket.create_server((HOST, 0), backlog=1_024)
            port = listener.getsockname()[1]
            await server.listen_on(listener)
        else:
            port = await server.listen(HOST, 0)
        callers = [socket.create_connection((HOST, port), timeout=5.0) for _ in range(300)]
        counts = [len(os.listdir("/proc/self/fd"))]
        for _ in range(20):
            await asyncio.sleep(0)
            counts.append(len(os.listdir("/proc/self/fd")))
        assert 0 < max(counts) - counts[0] <= MAX_ACCEPTED_AT_ONCE
        for caller in callers:
            caller.close()
        server.stop_accepting()
        await server.finish()

    asyncio.run(work())
