"""Tests of the fault-injecting proxy."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest

from rhubarbbend.http import Connection, HttpFailure
from standins import _proxy
from standins._proxy import Proxy

HOST = "127.0.0.1"


async def call(port: int, name: str, value: Any) -> Any:
    connection = await Connection.open((HOST, port))
    body = json.dumps(value).encode()
    headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    connection.send_raw(b"POST", f"/admin/{name}".encode(), headers, body)
    reply = b""
    head = await connection.receive_head(2.0)
    async for part in connection.receive_body(2.0):
        reply += part
    connection.close()
    assert head.status == 200
    return json.loads(reply)


async def can_connect(port: int) -> bool:
    try:
        connection = await Connection.open((HOST, port), 0.3)
    except HttpFailure:
        return False
    connection.close()
    return True


# Guards against a call that sets faults and gets no answer: another process was given the port of
# the route while the route did not listen, and listening again failed.
@pytest.mark.parametrize("listening", ["closed", "silent"])
def test_no_other_process_gets_the_port_of_a_route_that_does_not_listen(listening: str) -> None:
    async def work() -> None:
        proxy = Proxy(HOST)
        admin_port = await proxy.listen(HOST, 0)
        port = (await call(admin_port, "routes", {"to": [HOST, admin_port]}))["port"]
        assert await can_connect(port)
        await call(admin_port, "faults", {"ports": [port], "listening": listening})
        assert not await can_connect(port)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((HOST, port))
        await call(admin_port, "faults", {"ports": [port], "listening": "open"})
        assert await can_connect(port)

    asyncio.run(work())


# Guards against a drain that looks broken: a path that was cut for longer than a sender's system
# keeps unacknowledged bytes delivered a request that its sender had given up.
@pytest.mark.parametrize("is_given_up", [True, False])
def test_held_bytes_of_a_sender_that_has_closed_are_dropped(
    monkeypatch: pytest.MonkeyPatch, is_given_up: bool
) -> None:
    monkeypatch.setattr(_proxy, "UNACKNOWLEDGED_TIMEOUT_S", 0.2 if is_given_up else 5.0)
    received: list[bytes] = []

    async def receive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
        writer.close()

    async def work() -> None:
        upstream = await asyncio.start_server(receive, HOST, 0)
        proxy = Proxy(HOST)
        admin_port = await proxy.listen(HOST, 0)
        to = upstream.sockets[0].getsockname()
        port = (await call(admin_port, "routes", {"to": to}))["port"]
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"first")
        await asyncio.sleep(0.1)
        await call(admin_port, "faults", {"ports": [port], "blackhole": True})
        writer.write(b"held")
        writer.close()
        await asyncio.sleep(0.5)
        await call(admin_port, "faults", {"ports": [port], "blackhole": False})
        await asyncio.sleep(0.3)
        assert received == ([b"first"] if is_given_up else [b"first", b"held"])
        upstream.close()

    asyncio.run(work())
