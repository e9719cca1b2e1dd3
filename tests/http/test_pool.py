"""Idle connections: how long they are kept, and what is learned from one that had died."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from rhubarbbend.http import ConnectionPool
from rhubarbbend.http._pool import LEARNED_LIFE


def with_server(work: Callable[[tuple[str, int]], Awaitable[None]]) -> None:
    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        await work(server.sockets[0].getsockname())
        server.close()

    asyncio.run(run())


def test_what_rested_longer_than_one_that_had_died_is_not_used() -> None:
    # A target forgets connections that rested for 0.3 s, without a word. The first request that
    # meets this is lost or sent again; the next ones must not meet it too, until it may be over.
    async def work(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        pool.note_dead(address, 0.8, 0.0)
        assert not pool.may_rest(address, 0.4, 1.0)
        assert pool.may_rest(address, 0.3, 1.0)
        pool.note_dead(address, 0.3, 1.0)
        assert not pool.may_rest(address, 0.2, 2.0)
        assert pool.may_rest(address, 0.2, 1.0 + LEARNED_LIFE)

    with_server(work)


def test_a_connection_that_rested_too_long_is_replaced() -> None:
    async def work(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        connection = await pool.take(address, 0.0, False)
        connection.idle_since = 1.0
        pool.lay(connection)
        taken = await pool.take(address, 1.5, False)
        assert taken is connection and taken.reused and taken.rested == 0.5
        pool.lay(connection)
        pool.note_dead(address, 0.5, 2.0)
        assert await pool.take(address, 2.0, False) is not connection

    with_server(work)
