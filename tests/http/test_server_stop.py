"""Tests of a planned stop of the HTTP server."""

from __future__ import annotations

import asyncio
import socket

import pytest

from rhubarbbend.http import Exchange, HttpServer, _answer_buffer, _server

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
# Below the high-water mark above which the event loop makes writers wait.
UNSENT_BYTES = 40_000


async def write_unsent_response(exchange: Exchange) -> None:
    """Fill the socket buffers of client and server and leave `UNSENT_BYTES` in the write buffer."""
    exchange.start(200, [])
    while exchange._writer.transport.get_write_buffer_size() < UNSENT_BYTES:
        exchange.write(b"x" * 10_000)
    exchange.finish()


async def send_request(port: int) -> socket.socket:
    """Send a request over a connection with a small receive buffer; read none of the response."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", port))
    await loop.sock_sendall(client, REQUEST)
    return client


def test_slow_client_receives_the_rest_of_its_response() -> None:
    """The server stops when the response is written but the client has read little of it.

    The process exits when `finish` returns and loses what is still in its buffers, which would
    truncate the response. `finish` therefore has to wait until the rest is sent.
    """

    async def scenario() -> None:
        server = HttpServer(write_unsent_response)
        client = await send_request(await server.listen("127.0.0.1", 0))
        await asyncio.sleep(0.2)
        finish_task = asyncio.create_task(server.finish())
        await asyncio.sleep(1.2)
        assert not finish_task.done(), "finish() returned although part of a response was unsent"
        received = b""
        while part := await asyncio.get_running_loop().sock_recv(client, 1_000_000):
            received = received[-10:] + part
        assert received.endswith(b"0\r\n\r\n")
        await asyncio.wait_for(finish_task, 5.0)
        client.close()

    asyncio.run(scenario())


def test_dead_client_does_not_block_the_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client receives nothing more and does not close its connection, as when its host died.

    The server has to abort the connection after a time without progress; otherwise the process
    would never exit.
    """

    async def scenario() -> None:
        monkeypatch.setattr(_answer_buffer, "FLUSH_TIMEOUT_S", 1.0)
        server = HttpServer(write_unsent_response)
        client = await send_request(await server.listen("127.0.0.1", 0))
        await asyncio.sleep(0.2)
        await asyncio.wait_for(server.finish(), 5.0)
        client.close()

    asyncio.run(scenario())


def test_a_client_that_reads_nothing_does_not_delay_the_end_of_its_connection() -> None:
    """Guards against a planned stop that ends by a kill.

    At its end the connections are cancelled; each of them waited once more, for ten seconds, for
    its client to read the rest.
    """

    async def scenario() -> None:
        server = HttpServer(write_unsent_response)
        client = await send_request(await server.listen("127.0.0.1", 0))
        await asyncio.sleep(0.2)
        await asyncio.wait_for(server.close(), 1.0)
        client.close()

    asyncio.run(scenario())


# Guards against a process that doesn't end: its connections are cancelled, one of them between the
# end of a handler and the end of the task that watches the client.
def test_a_connection_that_is_cancelled_as_its_handler_ends_is_closed() -> None:
    async def scenario() -> None:
        async def respond(exchange: Exchange) -> None:
            connection = next(iter(server._tasks))
            exchange.respond(200, [], b"done")
            asyncio.get_running_loop().call_soon(connection.cancel)

        server = HttpServer(respond)
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(2.0):
            await reader.read()
        writer.close()

    asyncio.run(scenario())


async def respond_before_stop(exchange: Exchange) -> None:
    """Begin an answer at once, and end it after the stop of the tests below has begun."""
    exchange.start(200, [("Content-Length", "4")])
    exchange.write(b"do")
    await asyncio.sleep(0.7)
    exchange.write(b"ne")
    exchange.finish()


# Guards against a request that is read long after the stop began, on a connection whose last answer
# did not say that it would be closed; and against one that has arrived and is lost.
@pytest.mark.parametrize("is_pipelined", [False, True])
def test_a_used_connection_ends_with_its_answer_during_a_stop(is_pipelined: bool) -> None:
    async def scenario() -> None:
        server = HttpServer(respond_before_stop)
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(request * (2 if is_pipelined else 1))
        await asyncio.sleep(0.1)
        server.stop_accepting()
        async with asyncio.timeout(2.0):
            received = await reader.readuntil(b"done")
            if is_pipelined:
                received += await reader.readuntil(b"done")
            ended_at = asyncio.get_running_loop().time()
            received += await reader.read()
        assert received.count(b"done") == (2 if is_pipelined else 1)
        assert asyncio.get_running_loop().time() - ended_at < _server.IDLE_CLOSE_DELAY_S / 2
        writer.close()

    asyncio.run(scenario())


# Guards against a kept connection that goes on to take requests after the listening socket closed.
def test_idle_connections_end_at_a_stop_and_new_ones_are_kept_for_a_request() -> None:
    async def scenario() -> None:
        server = HttpServer(respond_before_stop)
        port = await server.listen("127.0.0.1", 0)
        used, used_writer = await asyncio.open_connection("127.0.0.1", port)
        new, new_writer = await asyncio.open_connection("127.0.0.1", port)
        used_writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(2.0):
            await used.readuntil(b"done")
            server.stop_accepting()
            async with asyncio.timeout(0.2):
                assert await used.read() == b""
            new_writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await new.read()).endswith(b"done")
        used_writer.close()
        new_writer.close()

    asyncio.run(scenario())
