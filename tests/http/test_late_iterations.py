"""Tests of an idle time-out that expires while each iteration of the event loop takes long."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

from rhubarbbend.http import ConnectionEnd, Exchange, HttpServer, ServerLimits

HOST = "127.0.0.1"
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
IDLE_TIMEOUT_S = 0.4
# As a process has it that gets a part of a processor only.
ITERATION_S = 0.03
CLIENT_COUNT = 60
# The clients send one after the other from shortly before the time-out on.
FIRST_SENT_S = 0.35
LAST_SENT_S = 0.65


async def respond(exchange: Exchange) -> None:
    exchange.respond(200, [], b"")


async def slow_down() -> None:
    """Make each iteration of the event loop take `ITERATION_S`."""
    while True:
        time.sleep(ITERATION_S)
        await asyncio.sleep(0)


def send_at(port: int, delay_s: float) -> None:
    with socket.create_connection((HOST, port), timeout=5.0) as connection:
        time.sleep(delay_s)
        try:
            connection.sendall(REQUEST)
            connection.recv(4096)
        except ConnectionError:
            # The server closed the connection before it could read the request.
            pass


# Guards against closing a connection whose request was received between the expiry of its idle
# time-out and the close: iterations of the event loop lie between the two.
def test_a_request_received_before_its_connection_is_closed_is_answered() -> None:
    async def serve() -> list[int]:
        server = HttpServer(respond, ServerLimits(idle_timeout=IDLE_TIMEOUT_S))
        ends: list[int] = []

        def handle_end(end: ConnectionEnd, unanswered_bytes: int) -> None:
            ends.append(unanswered_bytes)

        server.on_connection_end = handle_end
        port = await server.listen(HOST, 0)
        step_s = (LAST_SENT_S - FIRST_SENT_S) / CLIENT_COUNT
        clients = [
            threading.Thread(target=send_at, args=(port, FIRST_SENT_S + n * step_s))
            for n in range(CLIENT_COUNT)
        ]
        for client in clients:
            client.start()
        await asyncio.sleep(FIRST_SENT_S / 2)
        slow_task = asyncio.create_task(slow_down())
        while any(client.is_alive() for client in clients):
            await asyncio.sleep(0)
        slow_task.cancel()
        await server.close()
        return ends

    ends = asyncio.run(serve())
    assert len(ends) == CLIENT_COUNT
    assert sum(unanswered > 0 for unanswered in ends) == 0
