"""Tests that the errors of broken connections hold no request until the garbage collector runs."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from collections.abc import Iterator

import h11
import pytest

from rhubarbbend.core.limits import MemoryLedger
from rhubarbbend.http import Connection, Exchange, HttpFailure, HttpServer

HOST = "127.0.0.1"
RESETTING_LINGER = struct.pack("ii", 1, 0)
ATTEMPTS = 5


@pytest.fixture(autouse=True)
def _without_garbage_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_objects(kind: type) -> int:
    return sum(isinstance(item, kind) for item in gc.get_objects())


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
    writer.transport.abort()


async def reset_soon(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection by a reset while much of its request waits to be written."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(0.02)
    reset(writer)


def test_requests_whose_targets_reset_the_connection_are_freed() -> None:
    """Guards against uploads that stay in memory after their targets have reset them."""

    async def fail(port: int) -> None:
        connection = await Connection.open((HOST, port))
        body = bytes(2_000_000)
        headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
        connection.send_raw(b"POST", b"/", headers, body)
        with pytest.raises(HttpFailure):
            await connection.receive_head(2.0)
        connection.close()

    async def scenario() -> int:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        listener.bind((HOST, 0))
        server = await asyncio.start_server(reset_soon, sock=listener)
        for _ in range(ATTEMPTS):
            await fail(listener.getsockname()[1])
        await asyncio.sleep(0.1)
        server.close()
        return count_objects(Connection)

    assert asyncio.run(scenario()) == 0


@pytest.mark.parametrize("limit", [1.0, float("inf")])
def test_requests_whose_clients_reset_the_connection_are_freed(limit: float) -> None:
    """Guards against heads that stay in memory after their clients have left, refused or not."""

    async def respond(exchange: Exchange) -> None:
        exchange.respond(503 if exchange.memory_refusal else 200, [], b"x")

    async def scenario() -> int:
        server = HttpServer(respond, ledger=MemoryLedger(limit), answers_refusals=True)
        port = await server.listen(HOST, 0)
        fields = b"a: b\r\n" * 3_000
        head = b"POST / HTTP/1.1\r\nHost: x\r\n" + fields + b"Content-Length: 20000\r\n\r\nx"
        writers = [(await asyncio.open_connection(HOST, port))[1] for _ in range(ATTEMPTS)]
        for writer in writers:
            writer.write(head)
        for writer in writers:
            reset(writer)
        await asyncio.sleep(0.3)
        count = count_objects(h11.Request)
        await server.close()
        return count

    assert asyncio.run(scenario()) == 0
