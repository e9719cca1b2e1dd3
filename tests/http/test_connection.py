"""Tests of establishing client connections."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from rhubarbbend.http import Connection, HttpFailure, SendStage


async def read_until_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


def test_connection_established_while_the_process_was_suspended_is_used() -> None:
    # The process is suspended for longer than the time-out just after it started to connect. When
    # it continues, the connection is established and the time-out has expired; reporting a failure
    # would mark a healthy target as down.
    async def scenario() -> None:
        server = await asyncio.start_server(read_until_closed, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        opening = asyncio.ensure_future(Connection.open(address, 0.05))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(0.2)
        connection = await opening
        connection.close()
        server.close()

    asyncio.run(scenario())


def test_connecting_to_a_full_listen_queue_times_out() -> None:
    # The listen queue is full, so the kernel drops the SYN packet and connecting never completes.
    async def scenario() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            started_at = time.monotonic()
            with pytest.raises(HttpFailure) as failure:
                await Connection.open(listener.getsockname(), 0.1)
            assert failure.value.stage is SendStage.CONNECT
            assert time.monotonic() - started_at < 0.5
            for filler in fillers:
                filler.close()

    asyncio.run(scenario())


# Guards against a request that is written to a connection which its target is about to reset.
@pytest.mark.parametrize(("delay", "is_closed"), [(0.0, True), (0.01, True), (5.0, False)])
def test_a_connection_that_the_peer_closes_at_once_is_noticed(
    delay: float, is_closed: bool
) -> None:
    async def close_soon(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay)
        writer.transport.abort()

    async def scenario() -> None:
        server = await asyncio.start_server(close_soon, "127.0.0.1", 0)
        connection = await Connection.open(server.sockets[0].getsockname())
        assert await connection.closes_within(0.2) is is_closed
        assert not connection.has_received
        connection.close()
        server.close()

    asyncio.run(scenario())
