"""The HTTP server's planned stop."""

from __future__ import annotations

import asyncio
import socket

import pytest

from rhubarbbend.http import Exchange, HttpServer, _server

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
# Less than the event loop takes as a reason to make a writer wait.
LEFT = 40_000


async def respond(exchange: Exchange) -> None:
    """Write until the client's and the kernel's buffers are full and `LEFT` bytes remain here."""
    exchange.start(200, [])
    while exchange._writer.transport.get_write_buffer_size() < LEFT:
        exchange.write(b"x" * 10_000)
    exchange.finish()


async def connect(port: int) -> socket.socket:
    """Send a request over a connection that takes little and read none of the answer."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", port))
    await loop.sock_sendall(client, REQUEST)
    return client


def test_a_slow_client_gets_the_rest_of_its_answer() -> None:
    """The handler has written its answer; the client has read little of it when the server stops.

    The process ends when `finish` returns, and with it everything that is still in its buffers:
    the client would see its answer cut. So `finish` waits until the rest has gone out.
    """

    async def work() -> None:
        server = HttpServer(respond)
        client = await connect(await server.listen("127.0.0.1", 0))
        await asyncio.sleep(0.2)
        finishing = asyncio.create_task(server.finish())
        await asyncio.sleep(1.2)
        assert not finishing.done(), "ended with part of an answer in its buffers"
        received = b""
        while part := await asyncio.get_running_loop().sock_recv(client, 1_000_000):
            received = received[-10:] + part
        assert received.endswith(b"0\r\n\r\n")
        await asyncio.wait_for(finishing, 5.0)
        client.close()

    asyncio.run(work())


def test_a_client_that_is_gone_does_not_hold_up_the_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client takes nothing of its answer any more and closes nothing: its host has died.

    It is given up after a time without progress; waiting on, the process would never end.
    """

    async def work() -> None:
        monkeypatch.setattr(_server, "FLUSH_TIMEOUT", 1.0)
        server = HttpServer(respond)
        client = await connect(await server.listen("127.0.0.1", 0))
        await asyncio.sleep(0.2)
        await asyncio.wait_for(server.finish(), 5.0)
        client.close()

    asyncio.run(work())
