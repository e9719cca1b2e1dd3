"""Opening a connection, on machines that stop the process now and then."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from rhubarbbend.http import Connection, HttpFailure, SendStage


async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


def test_a_connection_that_opened_while_the_process_stood_still_is_taken() -> None:
    # The process is stopped for longer than the time-out right after it began to connect. When it
    # goes on, both the connection and the time-out are there.
    async def work() -> None:
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        opening = asyncio.ensure_future(Connection.open(address, 0.05))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        time.sleep(0.2)
        connection = await opening
        connection.close()
        server.close()

    asyncio.run(work())


def test_a_connection_that_nobody_takes_fails_in_time() -> None:
    # The queue of new connections is full, so the opening packet gets no answer.
    async def work() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            began = time.monotonic()
            with pytest.raises(HttpFailure) as failure:
                await Connection.open(listener.getsockname(), 0.1)
            assert failure.value.stage is SendStage.CONNECT
            assert time.monotonic() - began < 0.5
            for filler in fillers:
                filler.close()

    asyncio.run(work())
