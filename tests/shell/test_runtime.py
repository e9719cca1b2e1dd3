"""The runtime of an instance: errors of the core and late stop signals."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path
from typing import Any

import eliot
import pytest

from loadtool._processes import pick_port
from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core.messages import Message, SlotReply, SlotRequest
from rhubarbbend.peers import PeerLinks, PeerListener
from rhubarbbend.settings import load_settings
from rhubarbbend.shell import Runtime
from rhubarbbend.stop_signals import STOP_SIGNALS

SETTINGS = """
[instance]
id = "e1"
zone = "a"
host = "127.0.0.1"
http_port = {0}
peer_port = {1}
operator_port = {2}
[platform]
address = "127.0.0.1:{3}"
[secret]
file = "{4}"
"""


def _make_runtime(folder: Path) -> Runtime:
    secret = folder / "secret"
    secret.write_text("a secret of the tests of the runtime", "utf-8")
    path = folder / "settings.toml"
    path.write_text(SETTINGS.format(*(pick_port() for _ in range(4)), secret), "utf-8")
    return Runtime(*load_settings(path))


def test_an_error_in_one_decision_does_not_affect_others(tmp_path: Path) -> None:
    """The core raises an error for one event; then one of its timers is due.

    The error used to propagate to the peer's connection, which closed, and left the timer unset.
    It must be counted and logged, and the next event handled normally.
    """

    async def scenario() -> None:
        runtime = _make_runtime(tmp_path)
        handled: list[events.Event] = []

        def handle(event: events.Event, now: float) -> list[actions.Action]:
            if isinstance(event, events.PeerLost):
                raise LookupError("a fault")
            handled.append(event)
            return []

        runtime._handle_in_core = handle
        runtime.core.context.set_timer(asyncio.get_running_loop().time() + 0.05, lambda now: None)
        runtime.submit_event(events.PeerLost("e2"))
        assert runtime.metrics.totals[codes.INTERNAL_ERRORS] == 1
        async with asyncio.timeout(5.0):
            while not any(isinstance(event, events.TimerDue) for event in handled):
                await asyncio.sleep(0.01)

    logged: list[object] = []
    eliot.add_destinations(logged.append)
    try:
        asyncio.run(scenario())
    finally:
        eliot.remove_destination(logged.append)
    assert any("a fault" in str(message) for message in logged)


# Guards against judging peers as silent whose messages were received while the event loop was late:
# a slot that was granted in time is asked for again, and a target that answered counts as lost.
def test_messages_that_have_arrived_are_handled_before_a_late_timer(tmp_path: Path) -> None:
    handled: list[events.Event] = []

    def handle(event: events.Event, now: float) -> list[actions.Action]:
        handled.append(event)
        return []

    def count_messages() -> int:
        return sum(isinstance(event, events.PeerSaid) for event in handled)

    async def scenario() -> None:
        runtime = _make_runtime(tmp_path)
        runtime._handle_in_core = handle
        own = runtime.settings.instance
        await runtime._peer_listener.listen(own.host, own.peer_port)
        links = PeerLinks("e2", runtime._identity.secret, lambda peer: None)
        links.send("e1", (own.host, own.peer_port), SlotReply(attempt="1"))
        while not count_messages():
            await asyncio.sleep(0.01)
        runtime.core.context.set_timer(asyncio.get_running_loop().time() + 0.1, lambda now: None)
        runtime.submit_event(events.PeerLost("e3"))
        links.send("e1", (own.host, own.peer_port), SlotReply(attempt="2"))
        time.sleep(0.4)
        while not any(isinstance(event, events.TimerDue) for event in handled):
            await asyncio.sleep(0)
        assert count_messages() == 2
        await links.close()
        await runtime._peer_listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_stop_signals_after_the_end_do_not_kill_the_process(tmp_path: Path) -> None:
    # A supervisor may repeat the stop signal. If a signal that arrives while the event loop closes
    # killed the process, a planned stop would look like a crash.
    async def scenario() -> None:
        runtime = _make_runtime(tmp_path)
        running = asyncio.ensure_future(runtime.run())
        await asyncio.sleep(0.2)
        runtime._exit_requested.set()
        await running
        assert all(signal.getsignal(number) is signal.SIG_IGN for number in STOP_SIGNALS)

    handlers: dict[int, Any] = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    mask = signal.pthread_sigmask(signal.SIG_BLOCK, [])
    try:
        asyncio.run(scenario())
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)


# Guards against an instance that ends since an address is taken for a moment as it starts.
@pytest.mark.parametrize("use", ["http_port", "peer_port", "operator_port"])
def test_instance_waits_for_an_address_that_is_taken_as_it_starts(tmp_path: Path, use: str) -> None:
    async def scenario() -> None:
        runtime = _make_runtime(tmp_path)
        address = ("127.0.0.1", getattr(runtime.settings.instance, use))
        with socket.create_server(address):
            running = asyncio.create_task(runtime.run())
            await asyncio.sleep(0.5)
            assert not running.done()
        await asyncio.sleep(0.5)
        _, writer = await asyncio.open_connection(*address)
        writer.close()
        running.cancel()

    asyncio.run(scenario())


# Guards against the loss of what is sent to an instance that has just come back: a handover, say.
def test_an_instance_that_is_heard_is_reached_although_its_link_has_failed(tmp_path: Path) -> None:
    async def scenario() -> None:
        runtime = _make_runtime(tmp_path)
        received: list[Message] = []
        listener = PeerListener(
            b"a secret of the tests of the runtime",
            lambda sender, message: received.append(message),
            lambda: None,
        )
        port = pick_port()

        def send(attempt: str) -> None:
            message = SlotRequest(attempt=attempt)
            runtime._send_peer(actions.SendPeer("e2", "127.0.0.1", port, message))

        send("1")
        async with asyncio.timeout(5.0):
            while not runtime._peer_links.dropped:
                await asyncio.sleep(0.01)
            await listener.listen("127.0.0.1", port)
            runtime._handle_peer_message("e2", SlotReply(attempt="0"))
            send("2")
            while not received:
                await asyncio.sleep(0.01)
        assert received == [SlotRequest(attempt="2")]
        assert runtime._peer_links.dropped == 1
        await runtime._peer_links.close()
        await listener.close()

    asyncio.run(scenario())
