"""Tests of the idle time-outs of pooled connections, including limits learned from dead ones."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from rhubarbbend.http import ConnectionPool
from rhubarbbend.http._pool import IDLE_LIMIT_LIFETIME_S


def run_with_server(scenario: Callable[[tuple[str, int]], Awaitable[None]]) -> None:
    async def read_until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(read_until_closed, "127.0.0.1", 0)
        await scenario(server.sockets[0].getsockname())
        server.close()

    asyncio.run(run())


def test_connections_idle_longer_than_a_learned_limit_are_not_reused() -> None:
    # A target drops connections that were idle for 0.3 s without closing them. The first request on
    # such a connection fails or is retried; later requests must not use one, until the learned
    # limit expires.
    async def scenario(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        pool.record_dead_idle(address, 0.8, 0.0)
        assert not pool.is_idle_time_safe(address, 0.4, 1.0)
        assert pool.is_idle_time_safe(address, 0.3, 1.0)
        pool.record_dead_idle(address, 0.3, 1.0)
        assert not pool.is_idle_time_safe(address, 0.2, 2.0)
        assert pool.is_idle_time_safe(address, 0.2, 1.0 + IDLE_LIMIT_LIFETIME_S)

    run_with_server(scenario)


def test_connection_idle_beyond_the_learned_limit_is_replaced() -> None:
    async def scenario(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        connection = await pool.acquire(address, 0.0, False)
        connection.idle_since = 1.0
        pool.add_idle(connection)
        taken = await pool.acquire(address, 1.5, False)
        assert taken is connection and taken.reused and taken.idle_time_s == 0.5
        pool.add_idle(connection)
        pool.record_dead_idle(address, 0.5, 2.0)
        assert await pool.acquire(address, 2.0, False) is not connection

    run_with_server(scenario)


# Guards against idle connections that commands may not use, and that targets count to their limit.
def test_idle_connections_beyond_a_count_are_closed_for_a_new_one() -> None:
    async def scenario(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        idle = [await pool.acquire(address, 0.0, True) for _ in range(3)]
        for connection in idle:
            connection.idle_since = 0.0
            pool.add_idle(connection)
        taken = await pool.acquire(address, 1.0, False, max_idle=0.2, max_idle_count=1)
        assert taken not in idle
        assert [connection.closed for connection in idle] == [True, True, False]
        assert await pool.acquire(address, 1.0, False) is idle[2]

    run_with_server(scenario)


# Guards against idle connections that hold places at a full target which other instances want.
def test_connections_idle_for_long_are_closed_and_open_ones_are_counted() -> None:
    async def scenario(address: tuple[str, int]) -> None:
        pool = ConnectionPool(10.0)
        idle = [await pool.acquire(address, 0.0, True) for _ in range(3)]
        for number, connection in enumerate(idle):
            connection.idle_since = 0.1 * number
            pool.add_idle(connection)
        later = idle[2].opened_at + 1.0
        assert pool.count_idle(address, later) == 3
        assert pool.count_idle(address, idle[0].opened_at) == 0
        pool.close_idle_longer(address, 0.2, 0.35)
        assert [connection.closed for connection in idle] == [True, True, False]
        assert pool.count_idle(address, later) == 1
        pool.close_idle_longer(("127.0.0.1", 1), 0.2, 0.35)

    run_with_server(scenario)
