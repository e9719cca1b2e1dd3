"""Asks other instances for the crashes of which this one may have missed the updates."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Final

from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import State

MAX_PEERS_ASKED: Final = 3
# After the start an instance hears of crashes as it joins, which takes a write to the store. If
# that takes longer than this, it asks on its own, at first as often as requests wait for it.
JOIN_WAIT_S: Final = 0.2
FIRST_QUERIES: Final = 3
QUERY_INTERVAL_S: Final = 2.0


class CrashQueries:
    """Asks some of the instances that this one knows, or the seeds if it knows none."""

    def __init__(self, state: State, peers: PeerClient) -> None:
        self._state = state
        self._peers = peers

    async def fetch(self, peer: Address | None = None) -> None:
        """Ask one instance, or some one after the other until one replies."""
        peers = self._choose_peers() if peer is None else [peer]
        for address in peers:
            if await self._peers.fetch_crashes(address):
                return

    async def learn_at_start(self) -> None:
        """Ask some instances at once until one replies, unless this instance has joined by then.

        The store may take no write for a while, and requests that crash targets are sent meanwhile.
        """
        learned = self._state.crashes_learned
        first = itertools.repeat(JOIN_WAIT_S, FIRST_QUERIES)
        for interval in itertools.chain(first, itertools.repeat(QUERY_INTERVAL_S)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await learned.wait()
            if learned.is_set():
                return
            if any(await asyncio.gather(*map(self._peers.fetch_crashes, self._choose_peers()))):
                learned.set()

    def _choose_peers(self) -> list[Address]:
        peers = self._state.list_peer_addresses()
        self._state.random.shuffle(peers)
        return peers[:MAX_PEERS_ASKED]
