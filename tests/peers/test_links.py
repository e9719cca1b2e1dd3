"""Connections between instances: failure, backoff, reconnection and idle timeout."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable

import pytest

from loadtool._processes import pick_port
from rhubarbbend.core.messages import Heartbeat, Message, SlotRequest
from rhubarbbend.peers import PeerLinks, PeerListener, _links

HOST = "127.0.0.1"
SECRET = b"a secret of the test"


class Receiver:
    """A listener that records the attempts of the slot requests it receives."""

    def __init__(self) -> None:
        self.attempts: list[str] = []
        self.bad = 0
        self.listener = PeerListener(SECRET, self._record, self._count_bad)

    def _record(self, sender: str, message: Message) -> None:
        assert isinstance(message, SlotRequest)
        self.attempts.append(message.attempt)

    def _count_bad(self) -> None:
        self.bad += 1


async def wait_for(check: Callable[[], bool], timeout: float = 8.0) -> None:
    started = time.monotonic()
    while not check():
        assert time.monotonic() - started < timeout, "condition not met before the timeout"
        await asyncio.sleep(0.02)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20.0):
            await scenario()

    asyncio.run(limited())


async def make_failed_link() -> tuple[PeerLinks, list[str], int]:
    """Return links of which one has just failed, the peers reported as lost, and its port."""
    receiver = Receiver()
    port = await receiver.listener.listen(HOST, 0)
    await receiver.listener.close()
    lost: list[str] = []
    links = PeerLinks("entry-a1", SECRET, lost.append)
    links.send("entry-a2", (HOST, port), SlotRequest(attempt="1"))
    await wait_for(lambda: len(lost) == 1)
    return links, lost, port


def test_steady_traffic_does_not_keep_a_link_closed() -> None:
    """A peer is down while messages are sent to it every 50 ms, and then restarts.

    After a failure the link backs off for a short time. If each message sent during the backoff
    restarted it, the link would stay closed for as long as there is traffic.
    """

    async def scenario() -> None:
        receiver = Receiver()
        port = await receiver.listener.listen(HOST, 0)
        await receiver.listener.close()
        lost: list[str] = []
        links = PeerLinks("entry-a1", SECRET, lost.append)

        async def keep_sending() -> None:
            number = 0
            while True:
                links.send("entry-a2", (HOST, port), SlotRequest(attempt=str(number)))
                number += 1
                await asyncio.sleep(0.05)

        sending = asyncio.create_task(keep_sending())
        await wait_for(lambda: len(lost) > 5)
        back = Receiver()
        await back.listener.listen(HOST, port)
        await wait_for(lambda: len(back.attempts) > 5)
        sending.cancel()
        await links.close()
        await back.listener.close()

    run(scenario)


def test_messages_to_an_unreachable_peer_are_dropped_and_reported_at_once() -> None:
    async def scenario() -> None:
        links, lost, port = await make_failed_link()
        links.send("entry-a2", (HOST, port), SlotRequest(attempt="2"))
        await wait_for(lambda: len(lost) == 2, timeout=0.3)
        assert links.dropped == 2
        await links.close()

    run(scenario)


# Guards against a handover that is lost because its receiver, which was suspended, has just come
# back: the link to it had failed, and what is sent during the backoff is dropped.
def test_a_peer_that_was_heard_is_reached_during_the_backoff() -> None:
    async def scenario() -> None:
        links, _, port = await make_failed_link()
        back = Receiver()
        await back.listener.listen(HOST, port)
        links.record_heard("entry-a2")
        links.send("entry-a2", (HOST, port), SlotRequest(attempt="2"))
        await wait_for(lambda: bool(back.attempts), timeout=_links.RECONNECT_BACKOFF_S / 2)
        assert back.attempts == ["2"] and links.dropped == 1
        await links.close()
        await back.listener.close()

    run(scenario)


def test_an_instance_of_another_fleet_is_rejected() -> None:
    async def scenario() -> None:
        receiver = Receiver()
        port = await receiver.listener.listen(HOST, 0)
        lost: list[str] = []
        links = PeerLinks("stranger", b"another secret here", lost.append)
        links.send("entry-a2", (HOST, port), SlotRequest(attempt="1"))
        await wait_for(lambda: receiver.bad == 1 and len(lost) == 1)
        assert not receiver.attempts
        await links.close()
        await receiver.listener.close()

    run(scenario)


def test_a_restarted_peer_is_reached_under_steady_sending() -> None:
    """A peer is down for a second while a message is sent to it every 50th of a second.

    Each failed attempt to connect delays the next one. When frames sent during the delay extended
    it, the restarted peer was never reached again. It must be reached within two seconds.
    """

    async def scenario() -> None:
        received: list[Message] = []
        port = pick_port()
        links = PeerLinks("a", SECRET, lambda peer: None)

        async def send_steadily() -> None:
            while True:
                links.send("b", (HOST, port), Heartbeat(instance="a"))
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(send_steadily())
        await asyncio.sleep(1.0)
        listener = PeerListener(
            SECRET, lambda sender, message: received.append(message), lambda: None
        )
        await listener.listen(HOST, port)
        async with asyncio.timeout(2.0):
            while not received:
                await asyncio.sleep(0.02)
        sending.cancel()
        await links.close()
        await listener.close()

    asyncio.run(scenario())


def test_closing_an_idle_connection_is_not_reported_as_a_lost_peer() -> None:
    """No message is sent to a peer for longer than the idle timeout; then one is sent again.

    In a large fleet, pings on idle connections would cost more than all messages. Closing an idle
    connection must not look like the loss of the peer, and the next message must arrive.
    """

    async def scenario() -> None:
        receiver = Receiver()
        port = await receiver.listener.listen(HOST, 0)
        lost: list[str] = []
        links = PeerLinks("entry-a1", SECRET, lost.append, idle_timeout=0.3)
        links.send("entry-b1", (HOST, port), SlotRequest(attempt="1"))
        await wait_for(lambda: receiver.attempts == ["1"])
        await wait_for(lambda: receiver.listener.count_connections() == 0)
        assert lost == [] and links.dropped == 0
        links.send("entry-b1", (HOST, port), SlotRequest(attempt="2"))
        await wait_for(lambda: receiver.attempts == ["1", "2"])
        assert lost == []
        await links.close()
        await receiver.listener.close()

    run(scenario)


# Guards against taking a peer for lost whose pong was received before its time-out was handled:
# the messages that wait on the connection are lost.
def test_a_pong_received_before_its_time_out_is_handled_keeps_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_links, "PONG_TIMEOUT_S", 0.3)
    lost: list[str] = []

    def run_peer(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(4096)
            time.sleep(0.25)
            connection.sendall(_links.PONG)
            time.sleep(0.7)

    async def scenario() -> None:
        with socket.create_server((HOST, 0)) as listener:
            peer = threading.Thread(target=run_peer, args=(listener,))
            peer.start()
            links = PeerLinks("entry-a1", SECRET, lost.append)
            links.send("entry-a2", listener.getsockname()[:2], SlotRequest(attempt="1"))
            await asyncio.sleep(0.2)
            time.sleep(0.4)
            await asyncio.sleep(0.1)
            await links.close()
            await asyncio.to_thread(peer.join)

    run(scenario)
    assert not lost


# Guards against the same for a connection that was made before its time-out was handled.
def test_a_connection_made_before_its_time_out_is_handled_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_links, "CONNECT_TIMEOUT_S", 0.2)
    lost: list[str] = []

    async def scenario() -> None:
        receiver = Receiver()
        port = await receiver.listener.listen(HOST, 0)
        links = PeerLinks("entry-a1", SECRET, lost.append)
        links.send("entry-a2", (HOST, port), SlotRequest(attempt="1"))
        await asyncio.sleep(0)
        time.sleep(0.4)
        await wait_for(lambda: bool(receiver.attempts or lost))
        assert receiver.attempts == ["1"]
        await links.close()
        await receiver.listener.close()

    run(scenario)
    assert not lost
