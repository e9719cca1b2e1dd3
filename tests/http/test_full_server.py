"""Tests of a server that has as many connections as it may have."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from rhubarbbend.http import ConnectionEnd, Exchange, HttpServer, ServerLimits

HOST = "127.0.0.1"
MAX_CONNECTIONS = 4
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = ServerLimits(max_connections=MAX_CONNECTIONS)
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def respond(exchange: Exchange) -> None:
    """Respond, after two seconds if the path is `/wait`."""
    if exchange.target == "/wait":
        await asyncio.sleep(2.0)
    exchange.respond(200, [], b"")


def run_full_server(
    work: Callable[[HttpServer, Callable[[bytes], Awaitable[Stream]]], Awaitable[None]],
) -> list[ConnectionEnd]:
    """Run a test with a server and a function that connects and sends; return the ends."""
    ends: list[ConnectionEnd] = []

    async def scenario() -> None:
        server = HttpServer(respond, LIMITS)
        server.on_connection_end = lambda end, _: ends.append(end)
        port = await server.listen(HOST, 0)

        async def connect(data: bytes) -> Stream:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(data)
            await asyncio.sleep(0.05)
            return reader, writer

        async with asyncio.timeout(10.0):
            await work(server, connect)
        await server.close()

    asyncio.run(scenario())
    return ends


@pytest.mark.parametrize("sent", [b"", REQUEST, REQUEST[:-2], b"POST /\r\n\r\n"])
def test_a_new_client_is_served_while_others_hold_all_connections(sent: bytes) -> None:
    """Guards against clients that keep others out: silent, idle, half-way, or rejected."""

    async def work(server: HttpServer, connect: Callable[[bytes], Awaitable[Stream]]) -> None:
        held = [await connect(sent) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(1.1)
        reader, writer = await connect(REQUEST)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        for _, other in [*held, (reader, writer)]:
            other.close()

    assert run_full_server(work).count(ConnectionEnd.TOO_MANY) == (0 if b"POST" in sent else 1)


def test_the_connection_that_has_waited_longest_is_ended_first() -> None:
    """Guards against ending a connection that was used a moment ago instead of a silent one."""

    async def work(server: HttpServer, connect: Callable[[bytes], Awaitable[Stream]]) -> None:
        used = [await connect(REQUEST) for _ in range(2)]
        silent = [await connect(b"") for _ in range(2)]
        for reader, _ in silent:
            used.append(await connect(REQUEST))
            assert await reader.read() == b""
        assert not any(reader.at_eof() for reader, _ in used)

    run_full_server(work)


def test_requests_that_run_are_not_ended_for_a_new_client() -> None:
    """Guards against a crowd that has the requests of others ended."""

    async def work(server: HttpServer, connect: Callable[[bytes], Awaitable[Stream]]) -> None:
        waiting = REQUEST.replace(b"/x", b"/wait")
        running = [await connect(waiting) for _ in range(MAX_CONNECTIONS)]
        with pytest.raises(ConnectionError):
            reader, _ = await connect(REQUEST)
            await reader.readexactly(1)
        for reader, _ in running:
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")

    assert run_full_server(work).count(ConnectionEnd.TOO_MANY) == 1
