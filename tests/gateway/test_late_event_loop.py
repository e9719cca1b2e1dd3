"""Tests of instances whose event loop is late while other instances answer them."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from types import SimpleNamespace
from typing import Any, Final

import pytest

from rhubarbbend.core.placement import CountScope, InFlightUpdate
from rhubarbbend.core.readers import ReaderSelector
from rhubarbbend.gateway._detours import DetourClient
from rhubarbbend.gateway._peers import STREAMS_PATH, PeerClient
from rhubarbbend.http import REASON_TIMEOUT, ConnectionPool, HttpFailure, SendStage
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


class SilentHelper:
    """A helper's connection that is silent; each wait takes longer, and may hear the helper."""

    closed = False

    def __init__(self, hears: Any, wait_s: float, answers_after: int) -> None:
        self.now = 0.0
        self.waits = 0
        self._hears = hears
        self._wait_s = wait_s
        self._answers_after = answers_after

    async def receive_head(self, timeout: float) -> str:
        """Answer after so many waits, in the second of which the helper's counts are read."""
        self.waits += 1
        if self.waits == 2:
            self._hears(self.now)
        if self.waits > self._answers_after:
            return "answer"
        self.now += self._wait_s
        raise HttpFailure(SendStage.RESPONSE, REASON_TIMEOUT)


# Guards against an error for a read whose helper has sent its counts while this process stalled
# (1 s, after counts that were 0.3 s old), and against waiting for one that is lost.
@pytest.mark.parametrize(("is_lost", "waits"), [(False, 2), (True, 2)])
def test_a_helper_is_lost_only_if_it_is_not_heard_after_a_stall(is_lost: bool, waits: int) -> None:
    async def work() -> None:
        state, _ = make_protocol()

        def hear(now: float) -> None:
            update = InFlightUpdate("front-1", CountScope.SENDER_GROUP, 1, True, {}, int(now) + 1)
            if not (is_lost and now):
                state.loads.record_peer_update(update, now)

        hear(0.0)
        helper: Any = SilentHelper(hear, 1.3, 2 if is_lost else 1)
        unused: Any = None
        client = DetourClient(state, unused, unused, unused, unused, lambda: helper.now)
        request: Any = SimpleNamespace(
            route=SimpleNamespace(idempotent=True), compute_backstop_timeout=lambda now: 9.0
        )
        receiving = client._receive_head(request, "front-1", helper)
        if is_lost:
            with pytest.raises(HttpFailure):
                await receiving
        else:
            assert await receiving == "answer"  # type: ignore[comparison-overlap]
        assert helper.waits == waits

    run(work)
