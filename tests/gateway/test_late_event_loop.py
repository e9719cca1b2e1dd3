"""Tests of instances whose event loop is late while other instances answer them."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from typing import Final

from rhubarbbend.core.readers import ReaderSelector
from rhubarbbend.gateway._peers import STREAMS_PATH, PeerClient
from rhubarbbend.http import ConnectionPool
from tests.gateway.harness import run
from tests.gateway.test_in_flight_protocol import make_protocol

HOST: Final = "127.0.0.1"
RESPONSE: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nreply"


# Guards against taking an instance for silent whose reply was received before its time-out was
# handled: a stream that it keeps the origin of may then not go on, a trial is held beside another.
def test_a_reply_received_before_its_time_out_is_handled_is_used() -> None:
    def run_instance(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(4096)
            time.sleep(0.35)
            connection.sendall(RESPONSE)
            time.sleep(0.5)

    async def work() -> None:
        state, _ = make_protocol()
        peers = PeerClient(state, ConnectionPool(1.0), ReaderSelector("front-0", "zone-0"))
        with socket.create_server((HOST, 0)) as listener:
            instance = threading.Thread(target=run_instance, args=(listener,))
            instance.start()
            asking = asyncio.ensure_future(
                peers.ask(listener.getsockname()[:2], STREAMS_PATH, b"query")
            )
            await asyncio.sleep(0.3)
            time.sleep(0.4)
            assert await asking == b"reply"
            await asyncio.to_thread(instance.join)

    run(work)
