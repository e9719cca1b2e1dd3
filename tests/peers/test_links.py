"""Connections between instances: opened anew after a failure, whatever is sent meanwhile."""

from __future__ import annotations

import asyncio

from loadtool._processes import pick_port
from rhubarbbend.core.messages import Heartbeat, Message
from rhubarbbend.peers import PeerLinks, PeerListener

HOST = "127.0.0.1"
SECRET = b"a secret of the tests"


def test_reaches_a_restarted_peer_under_steady_sending() -> None:
    """A peer is away for a second while a message a 50th of a second goes to it, then is back.

    Each failed try puts the next one off for a while. When frames sent in that while put it off
    once more, the peer was never reached again; it must be within two seconds.
    """

    async def work() -> None:
        heard: list[Message] = []
        port = pick_port()
        links = PeerLinks("a", SECRET, lambda peer: None)

        async def send_steadily() -> None:
            while True:
                links.send("b", (HOST, port), Heartbeat(instance="a"))
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(send_steadily())
        await asyncio.sleep(1.0)
        listener = PeerListener(SECRET, lambda sender, message: heard.append(message), lambda: None)
        await listener.listen(HOST, port)
        async with asyncio.timeout(2.0):
            while not heard:
                await asyncio.sleep(0.02)
        sending.cancel()
        await links.close()
        await listener.close()

    asyncio.run(work())
