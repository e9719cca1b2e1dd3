"""What a client can send: it costs bounded time and memory and is answered clearly."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from rhubarbbend.http import Exchange, HttpServer, ServerLimits

HOST = "127.0.0.1"
LIMITS = ServerLimits(
    max_header_bytes=2_000,
    max_body_bytes=1_000,
    max_held_bytes=1_500,
    head_timeout=0.4,
    body_timeout=0.4,
    idle_timeout=0.6,
    max_connections=4,
)


async def answer(exchange: Exchange) -> None:
    """Answer with the size of the body."""
    if exchange.target == "/wait":
        await asyncio.sleep(0.5)
    exchange.respond(200, [], str(len(exchange.body)).encode())


async def talk(port: int, *parts: bytes, pause: float = 0.0) -> bytes:
    """Send parts and read until the server closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    reading = asyncio.create_task(reader.read())
    for part in parts:
        if reading.done():
            break
        writer.write(part)
        await asyncio.sleep(pause)
    got = await reading
    writer.close()
    return got


def run(*parts: bytes, pause: float = 0.0) -> tuple[bytes, float]:
    """Serve one client; gives what it got and how long it took."""

    async def work() -> tuple[bytes, float]:
        server = HttpServer(answer, LIMITS)
        port = await server.listen(HOST, 0)
        started = time.monotonic()
        async with asyncio.timeout(10.0):
            got = await talk(port, *parts, pause=pause)
        await server.close()
        return got, time.monotonic() - started

    return asyncio.run(work())


def read_error(got: bytes) -> tuple[int, dict[str, str]]:
    """Read the status and the error of an answer."""
    head, _, body = got.partition(b"\r\n\r\n")
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
def test_unreadable_requests_are_rejected(sent: bytes, status: int) -> None:
    got, seconds = run(sent)
    found, error = read_error(got)
    assert (found, error["verdict"]) == (status, "not_run")
    assert seconds < 2.0


def test_head_sent_byte_by_byte_is_cut_off() -> None:
    """The client sends a byte every 0.1 s, each well within the time-out. The time-out is on the
    whole head, so it gets its 408 and does not hold the connection."""
    parts = [bytes([byte]) for byte in b"GET / HTTP/1.1\r\nHost: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"]
    started = time.monotonic()
    got, _ = run(*parts[:12], pause=0.1)
    assert read_error(got)[0] == 408
    assert time.monotonic() - started < 1.2


def test_many_bodies_at_once_are_bounded_together() -> None:
    """Two bodies, each within its bound, are together over what the server holds. The second is
    refused while the first is being served, and taken after it."""

    async def work() -> None:
        server = HttpServer(answer, LIMITS)
        port = await server.listen(HOST, 0)
        form = b"POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 900\r\n\r\n"
        first = asyncio.create_task(talk(port, form % b"/wait" + b"b" * 900))
        await asyncio.sleep(0.2)
        assert read_error(await talk(port, form % b"/" + b"b" * 900))[0] == 503
        assert (await first).startswith(b"HTTP/1.1 200")
        assert (await talk(port, form % b"/" + b"b" * 900)).startswith(b"HTTP/1.1 200")
        await server.close()

    asyncio.run(work())
