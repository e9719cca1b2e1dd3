"""Tests of time-outs that expire while the event loop is late, with data already received.

An event loop that was busy finds the data and the expired time-out in the same iteration. A
time-out that wins loses a request that a client sent in time, or an answer that a target gave.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from rhubarbbend.http import (
    Connection,
    ConnectionEnd,
    ConnectionPool,
    Exchange,
    HttpServer,
    ServerLimits,
    fetch,
)

HOST = "127.0.0.1"
TIMEOUT_S = 0.3
# The loop is busy from shortly before the time-out until long after it.
STALL_BEGIN_S = 0.2
# The peer sends within the stall and before the time-out.
SEND_AT_S = 0.25
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
LONG = ServerLimits(idle_timeout=60.0)


async def respond(exchange: Exchange) -> None:
    exchange.respond(200, [], exchange.body)


async def stall(seconds: float) -> None:
    """Keep the event loop busy, as decoding a large configuration does on a slow processor."""
    await asyncio.sleep(STALL_BEGIN_S)
    time.sleep(seconds)


def send_in_parts(port: int, parts: list[bytes], received: list[bytes]) -> None:
    """Send each part `SEND_AT_S` after the one before, and record what comes back."""
    with socket.create_connection((HOST, port), timeout=5.0) as connection:
        for part in parts:
            time.sleep(SEND_AT_S)
            connection.sendall(part)
        try:
            received.append(connection.recv(4096))
        except ConnectionResetError:
            received.append(b"reset")


async def serve_late(
    limits: ServerLimits,
    parts: list[bytes],
    stall_s: float,
    prepare: Callable[[HttpServer], object] = lambda server: None,
) -> tuple[bytes, list[tuple[ConnectionEnd, int]]]:
    """Return what a client gets whose request arrives while the loop is late, and the ends."""
    server = HttpServer(respond, limits)
    ends: list[tuple[ConnectionEnd, int]] = []
    server.on_connection_end = lambda end, unanswered: ends.append((end, unanswered))
    port = await server.listen(HOST, 0)
    received: list[bytes] = []
    client = threading.Thread(target=send_in_parts, args=(port, parts, received))
    client.start()
    asyncio.get_running_loop().call_later(0.02, prepare, server)
    await stall(stall_s)
    await asyncio.to_thread(client.join)
    await server.close()
    return received[0], ends


# Guards against closing an idle connection whose next request was received before its time-out was
# handled: the client gets neither an answer nor a refusal.
@pytest.mark.parametrize("stall_s", [0.15, 0.4])
def test_a_request_received_before_the_idle_time_out_is_handled_is_answered(stall_s: float) -> None:
    limits = ServerLimits(idle_timeout=TIMEOUT_S)
    received, ends = asyncio.run(serve_late(limits, [REQUEST], stall_s))
    assert received.startswith(b"HTTP/1.1 200")
    assert [unanswered for _, unanswered in ends] == [0]


# Guards against a refusal (408) of a body that was received whole before its time-out was handled.
def test_a_body_received_before_its_time_out_is_handled_is_served() -> None:
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
    limits = msgspec.structs.replace(LONG, body_timeout=TIMEOUT_S)

    async def work() -> bytes:
        server = HttpServer(respond, limits)
        port = await server.listen(HOST, 0)
        received: list[bytes] = []
        with socket.create_connection((HOST, port)) as connection:
            connection.sendall(head)
            await asyncio.sleep(0.05)
            sender = threading.Timer(SEND_AT_S - 0.05, connection.sendall, (b"whole",))
            sender.start()
            await stall(0.3)
            connection.settimeout(5.0)
            received.append(await asyncio.to_thread(connection.recv, 4096))
        await server.close()
        return received[0]

    assert asyncio.run(work()).startswith(b"HTTP/1.1 200")


# Guards against closing an idle connection at a planned stop whose request was already received.
def test_a_request_received_before_a_stop_closes_its_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("rhubarbbend.http._server.IDLE_CLOSE_DELAY_S", TIMEOUT_S - 0.02)
    received, ends = asyncio.run(serve_late(LONG, [REQUEST], 0.3, HttpServer.stop_accepting))
    assert received.startswith(b"HTTP/1.1 200")
    assert [unanswered for _, unanswered in ends] == [0]


# Guards against closing a connection by an idle time-out that a configuration has lengthened: its
# client goes by the longer one.
def test_a_longer_idle_time_out_holds_for_connections_that_are_idle_already() -> None:
    limits = ServerLimits(idle_timeout=TIMEOUT_S / 2)
    received, _ = asyncio.run(
        serve_late(limits, [REQUEST], 0.0, lambda server: server.set_limits(LONG))
    )
    assert received.startswith(b"HTTP/1.1 200")


async def answer_late(
    parts: list[bytes], read: Callable[[Connection], Awaitable[bytes]], stall_s: float = 0.3
) -> bytes:
    """Return what is read from a target whose last part arrives while the loop is late."""
    with socket.create_server((HOST, 0)) as listener:

        def run_target() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(4096)
                for part in parts[:-1]:
                    connection.sendall(part)
                time.sleep(SEND_AT_S)
                connection.sendall(parts[-1])
                time.sleep(1.0)

        target = threading.Thread(target=run_target)
        target.start()
        connection = await Connection.open(listener.getsockname()[:2])
        await connection.send("GET", "/x", [], b"")
        reading = asyncio.ensure_future(read(connection))
        await stall(stall_s)
        try:
            return await reading
        finally:
            connection.close()
            await asyncio.to_thread(target.join)


async def read_head(connection: Connection) -> bytes:
    await connection.receive_head(TIMEOUT_S)
    return await read_body(connection)


async def read_body(connection: Connection) -> bytes:
    return b"".join([part async for part in connection.receive_body(TIMEOUT_S)])


async def read_long_head(connection: Connection) -> bytes:
    await connection.receive_head(5.0)
    return await read_body(connection)


# Guards against taking a target for silent whose answer was received before the time-out for it was
# handled: a command that has run is answered 502, and a read is sent a second time.
@pytest.mark.parametrize(
    ("parts", "read"),
    [([RESPONSE], read_head), ([RESPONSE[:-5], RESPONSE[-5:]], read_long_head)],
    ids=["head", "body"],
)
def test_an_answer_received_before_its_time_out_is_handled_is_returned(
    parts: list[bytes], read: Callable[[Connection], Awaitable[bytes]]
) -> None:
    assert asyncio.run(answer_late(parts, read)) == b"whole"


# Guards against failing calls to the store or to instances whose response was received in time.
def test_a_response_to_a_call_received_before_its_time_out_is_handled_is_returned() -> None:
    async def work() -> bytes:
        with socket.create_server((HOST, 0)) as listener:

            def run_target() -> None:
                connection, _ = listener.accept()
                with connection:
                    connection.recv(4096)
                    time.sleep(SEND_AT_S)
                    connection.sendall(RESPONSE)
                    time.sleep(1.0)

            target = threading.Thread(target=run_target)
            target.start()
            address = listener.getsockname()[:2]
            now = asyncio.get_running_loop().time()
            pool = ConnectionPool(1.0)
            call = asyncio.ensure_future(fetch(pool, address, "GET", "/x", now, timeout=TIMEOUT_S))
            await stall(0.3)
            try:
                return (await call)[1]
            finally:
                pool.close_all_idle()
                await asyncio.to_thread(target.join)

    assert asyncio.run(work()) == b"whole"


# Guards against closing a connection with a request that was received while the loop was busy in
# one of the iterations in which the time-out lets input be processed.
@pytest.mark.parametrize("iterations", range(6))
@pytest.mark.parametrize("end", [ConnectionEnd.IDLE, ConnectionEnd.STOPPING])
def test_no_received_request_is_left_when_an_idle_connection_ends(
    iterations: int, end: ConnectionEnd
) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(respond, ServerLimits(idle_timeout=0.3))
        ends: list[tuple[ConnectionEnd, int]] = []
        server.on_connection_end = lambda end, unanswered: ends.append((end, unanswered))
        port = await server.listen(HOST, 0)
        with socket.create_connection((HOST, port)) as client:
            await asyncio.sleep(0.05)

            def stall_after(iterations: int) -> None:
                if iterations:
                    loop.call_soon(stall_after, iterations - 1)
                    return
                threading.Timer(0.02, client.sendall, (REQUEST,)).start()
                time.sleep(0.1)

            if end is ConnectionEnd.STOPPING:
                server.stop_accepting()
                server._close_idle()
                loop.call_soon(stall_after, iterations)
            else:
                handle = next(iter(server._idle_timeouts))._handle
                assert isinstance(handle, asyncio.TimerHandle)
                loop.call_at(handle.when(), stall_after, iterations)
            await asyncio.sleep(0.6)
            await server.close()
            assert [unanswered for _, unanswered in ends] == [0]

    asyncio.run(work())
