"""Answers that pass through a tunnel, and how their connections end."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from rhubarbbend.core.messages import Message, TunnelRequest
from rhubarbbend.http import Connection, HttpFailure, reset_connection
from rhubarbbend.peers import PeerListener, TunnelOpener, _tunnels, serve_tunnel

HOST: Final = "127.0.0.1"
SECRET: Final = b"a secret of the test"
TIMEOUT_S: Final = 5.0
HEAD: Final = b"HTTP/1.1 200 OK\r\n\r\n"


async def open_through_tunnel(by_reset: bool) -> Connection:
    """Return a tunnelled connection to a target that answers without a length and ends it."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"part")
        await asyncio.sleep(0.05)
        if by_reset:
            reset_connection(writer.transport)
        writer.close()

    target = await asyncio.start_server(answer, HOST, 0)
    address = (HOST, int(target.sockets[0].getsockname()[1]))

    async def serve(
        request: TunnelRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await serve_tunnel(address, reader, writer)

    def ignore(sender: str, message: Message) -> None:
        pass

    listener = PeerListener(SECRET, ignore, lambda: None, serve)
    helper = (HOST, await listener.listen(HOST, 0))
    opener = TunnelOpener("entry-1", SECRET)
    return await opener.open(helper, "target-1", address, TIMEOUT_S)


async def receive(by_reset: bool) -> bytes:
    connection = await open_through_tunnel(by_reset)
    connection.send_raw(b"GET", b"/", [(b"Host", b"x")], b"")
    await connection.receive_head(TIMEOUT_S)
    return b"".join([part async for part in connection.receive_body(TIMEOUT_S)])


def run(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 20.0))  # type: ignore[arg-type]


def test_answer_that_ends_in_order_is_whole() -> None:
    async def work() -> None:
        assert await receive(by_reset=False) == b"part"

    run(work)


# Guards against an answer that its target reset and that looks complete after the tunnel (ORDER).
def test_answer_that_is_reset_is_not_whole() -> None:
    async def work() -> None:
        with pytest.raises(HttpFailure):
            await receive(by_reset=True)

    run(work)


# Guards against giving up a tunnel whose reply was received before its time-out was handled.
def test_a_reply_received_before_its_time_out_is_handled_opens_the_tunnel() -> None:
    def run_helper(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            time.sleep(0.25)
            connection.sendall(_tunnels.ACCEPTED)
            time.sleep(0.5)

    async def work() -> None:
        with socket.create_server((HOST, 0)) as listener:
            helper = threading.Thread(target=run_helper, args=(listener,))
            helper.start()
            address = listener.getsockname()[:2]
            opener = TunnelOpener("entry-1", SECRET)
            opening = asyncio.ensure_future(opener.open(address, "target-1", address, 0.3))
            await asyncio.sleep(0.2)
            time.sleep(0.2)
            try:
                (await opening).close()
            finally:
                await asyncio.to_thread(helper.join)

    run(work)


# Guards against declining a tunnel to a target that accepted before the time-out was handled.
def test_a_target_that_accepted_before_its_time_out_is_handled_is_reached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_tunnels, "TARGET_CONNECT_TIMEOUT_S", 0.1)

    async def work() -> None:
        with socket.create_server((HOST, 0)) as target:

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                address = target.getsockname()[:2]
                asyncio.get_running_loop().call_soon(time.sleep, 0.2)
                await serve_tunnel(address, reader, writer)

            helper = await asyncio.start_server(serve, HOST, 0)
            reader, writer = await asyncio.open_connection(*helper.sockets[0].getsockname())
            assert await reader.read(1) == _tunnels.ACCEPTED
            writer.close()

    run(work)
