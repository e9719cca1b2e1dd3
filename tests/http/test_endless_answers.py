"""Peers that send bytes which are no answer, without end, all at once or a few at a time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
import pytest

from rhubarbbend.http import BodyRelay, Connection, ConnectionPool, HttpFailure, fetch

Address = tuple[str, int]

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
EMPTY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"
# Far more than a case may take, and less than a request may have.
TIMEOUT_S = 8.0
MAX_TAKEN_S = 4.0
# For how long others may have to wait while a peer sends all that the link bears.
MAX_TURN_S = 0.1

HEADS = {
    "no status line": (b"", b"\x00"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header": (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "informational": (b"", INFORMATIONAL),
}
FRAMINGS = {
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"a"),
    "trailer": (CHUNKED + b"0\r\nX: ", b"a"),
}


class Flood(msgspec.Struct, frozen=True):
    """What a flooder sends: `filling` again and again, if `is_slow` a byte each 50 ms."""

    beginning: bytes
    filling: bytes
    is_slow: bool


class Flooder:
    """Answers each request with a flood for as long as its client stays."""

    def __init__(self, flood: Flood) -> None:
        filling = flood.filling
        self._beginning = flood.beginning
        self._filling = filling if flood.is_slow else filling * (65_536 // len(filling))
        self._is_slow = flood.is_slow
        self.closed = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._beginning)
            await asyncio.sleep(0.1)
            while True:
                await self._send_filling(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()

    async def _send_filling(self, writer: asyncio.StreamWriter) -> None:
        if not self._is_slow:
            writer.write(self._filling)
            await writer.drain()
            return
        for position in range(len(self._filling)):
            writer.write(self._filling[position : position + 1])
            await writer.drain()
            await asyncio.sleep(0.05)


class Discarder(BodyRelay):
    """Accepts every part of a body."""

    def write(self, data: bytes) -> None: ...

    def is_write_buffer_full(self) -> bool:
        return False

    async def drain(self) -> None: ...


@asynccontextmanager
async def start_flooder(flood: Flood) -> AsyncIterator[tuple[Flooder, Address]]:
    flooder = Flooder(flood)
    server = await asyncio.start_server(flooder.handle, "127.0.0.1", 0)
    try:
        yield flooder, server.sockets[0].getsockname()
    finally:
        server.close()


async def send_request(address: Address) -> Connection:
    connection = await Connection.open(address)
    connection.send_raw(b"GET", b"/", [(b"Host", b"flooder")], b"")
    return connection


async def measure_longest_turn(work: Awaitable[None]) -> float:
    """Return the most processor time for which others had to wait while some work was done."""
    task = asyncio.ensure_future(work)
    longest = 0.0
    while not task.done():
        before = time.process_time()
        await asyncio.sleep(0.001)
        longest = max(longest, time.process_time() - before)
    await task
    return longest


async def expect_failure(receive: Callable[[Connection], Awaitable[object]], flood: Flood) -> None:
    """Expect that receiving from a flooder fails soon, and with little of its flood read."""
    async with start_flooder(flood) as (flooder, address):
        connection = await send_request(address)
        started_at = time.monotonic()

        async def receive_in_vain() -> None:
            with pytest.raises(HttpFailure):
                async with asyncio.timeout(MAX_TAKEN_S):
                    await receive(connection)
            connection.close()

        longest_turn_s = await measure_longest_turn(receive_in_vain())
        assert flood.is_slow or time.monotonic() - started_at < 1.0
        assert connection.traffic < 1_000_000
        assert longest_turn_s < MAX_TURN_S
        await asyncio.wait_for(flooder.closed.wait(), 1.0)


# Guards against a request that waits for its whole deadline while its target sends what is no head.
@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("kind", HEADS)
def test_head_without_end_fails(kind: str, is_slow: bool) -> None:
    asyncio.run(expect_failure(lambda c: c.receive_head(TIMEOUT_S), Flood(*HEADS[kind], is_slow)))


# Guards against a body that never goes on and whose framing counts as progress.
@pytest.mark.parametrize("is_slow", [False, True])
@pytest.mark.parametrize("kind", FRAMINGS)
@pytest.mark.parametrize("is_relayed", [False, True])
def test_chunk_framing_without_end_fails(kind: str, is_slow: bool, is_relayed: bool) -> None:
    async def receive(connection: Connection) -> None:
        await connection.receive_head(TIMEOUT_S)
        if is_relayed:
            await connection.relay_body(Discarder(), TIMEOUT_S)
        else:
            async for _ in connection.receive_body(TIMEOUT_S):
                pass

    asyncio.run(expect_failure(receive, Flood(*FRAMINGS[kind], is_slow)))


# Guards against a discarded answer that never ends and keeps the request behind it waiting.
@pytest.mark.parametrize("is_slow", [False, True])
def test_discarded_body_without_end_fails(is_slow: bool) -> None:
    async def receive(connection: Connection) -> None:
        await connection.receive_head(TIMEOUT_S)
        await connection.discard_response(TIMEOUT_S)

    asyncio.run(expect_failure(receive, Flood(UNFRAMED, b"a", is_slow)))


# Guards against a poll of the store that never ends: a configuration would never come into force.
@pytest.mark.parametrize("is_slow", [False, True])
def test_fetched_body_without_end_fails(is_slow: bool) -> None:
    async def work() -> None:
        async with start_flooder(Flood(UNFRAMED, b"a", is_slow)) as (flooder, address):
            with pytest.raises(HttpFailure):
                async with asyncio.timeout(MAX_TAKEN_S):
                    now = asyncio.get_running_loop().time()
                    await fetch(ConnectionPool(5.0), address, "GET", "/", now, progress_timeout=1.0)
            await asyncio.wait_for(flooder.closed.wait(), 1.0)

    asyncio.run(work())


# Guards against an idle connection that stays open and holds what its peer sends on it.
@pytest.mark.parametrize("is_slow", [False, True])
def test_idle_connection_is_closed_when_bytes_arrive(is_slow: bool) -> None:
    async def work() -> None:
        async with start_flooder(Flood(EMPTY, b"a", is_slow)) as (flooder, address):
            connection = await send_request(address)
            await connection.receive_head(TIMEOUT_S)
            assert [part async for part in connection.receive_body(TIMEOUT_S)] == []
            pool = ConnectionPool(5.0)
            pool.release(connection, asyncio.get_running_loop().time())
            await asyncio.wait_for(flooder.closed.wait(), 1.0)
            assert connection.closed

    asyncio.run(work())


# Guards against limits that break off what is slow for a sound reason.
def test_long_body_with_pauses_and_small_parts_is_read_whole() -> None:
    async def send_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(INFORMATIONAL + CHUNKED)
        for _ in range(20):
            for part in (b"4\r\n", b"data", b"\r\n"):
                writer.write(part)
                await asyncio.sleep(0.04)
        writer.write(b"5\r\nda")
        await asyncio.sleep(1.2)
        writer.write(b"ta.\r\n0\r\n\r\n")
        await writer.drain()
        writer.close()

    async def work() -> None:
        server = await asyncio.start_server(send_slowly, "127.0.0.1", 0)
        connection = await send_request(server.sockets[0].getsockname())
        await connection.receive_head(TIMEOUT_S)
        body = b"".join([part async for part in connection.receive_body(2.0)])
        assert body == b"data" * 20 + b"data."
        connection.close()
        server.close()

    asyncio.run(work())
