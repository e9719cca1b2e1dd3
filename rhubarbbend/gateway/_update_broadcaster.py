"""Tells the other instances, in batches, of what this one has learned by its own requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend.gateway._peer_updates import PeerUpdate
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._state import State, read_clock

# Updates of prompt locations are sent in batches after this delay, which is short enough: the next
# request of a chat comes seconds later.
LOCATION_BATCH_DELAY_S: Final = 0.05
# Outcomes of requests to targets are sent in batches after this delay.
OUTCOME_BATCH_DELAY_S: Final = 0.1
# What is found out about the reach of services is sent at most once in this time, also while links
# come and go. The first finding is sent at once.
REACH_INTERVAL_S: Final = 0.5
# How often it is sent in a row while a relay does not reply, which has probably ended.
MAX_REACH_TRIES: Final = 10


class UpdateBroadcaster:
    """Broadcasts updates. Invariant: what is reported while a batch is sent goes with the next."""

    def __init__(self, state: State, peers: PeerClient) -> None:
        self._state = state
        self._peers = peers
        self._name = state.settings.instance
        self._has_location_updates = asyncio.Event()
        state.placement.prompt_locations.on_update = self._has_location_updates.set
        self._has_unsent_outcomes = asyncio.Event()
        state.health.on_unsent = self._has_unsent_outcomes.set
        self._has_unsent_notices = asyncio.Event()
        state.brittle.on_unsent = self._has_unsent_notices.set
        self._has_unsent_full = asyncio.Event()
        state.connection_limits.on_unsent = self._has_unsent_full.set
        self._has_unsent_reach = asyncio.Event()
        state.reach.on_unsent = self._has_unsent_reach.set

    def list_loops(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the loops that send updates for as long as the instance runs."""
        return [
            self._broadcast_prompt_locations,
            self._broadcast_outcomes,
            self._broadcast_brittle,
            self._broadcast_full,
            self._broadcast_reach,
        ]

    async def _broadcast_prompt_locations(self) -> None:
        """Notify the other instances of prompts sent to targets where they would not look."""
        while True:
            await self._has_location_updates.wait()
            await asyncio.sleep(LOCATION_BATCH_DELAY_S)
            self._has_location_updates.clear()
            locations = self._state.placement.prompt_locations.pop_updates(read_clock())
            await self._peers.broadcast(PeerUpdate(locations))

    async def _broadcast_outcomes(self) -> None:
        """Tell the other instances what came of requests to plain targets, after a failure."""
        while True:
            await self._has_unsent_outcomes.wait()
            await asyncio.sleep(OUTCOME_BATCH_DELAY_S)
            self._has_unsent_outcomes.clear()
            outcomes = self._state.health.pop_unsent()
            await self._peers.broadcast(PeerUpdate(outcomes=outcomes, sender=self._name))

    async def _broadcast_brittle(self) -> None:
        """Tell the other instances at once which targets are brittle and have no room."""
        while True:
            await self._has_unsent_notices.wait()
            self._has_unsent_notices.clear()
            notices = self._state.brittle.pop_unsent()
            await self._peers.broadcast(PeerUpdate(brittle=notices, sender=self._name))

    async def _broadcast_full(self) -> None:
        """Tell the other instances at once which targets reset new connections."""
        while True:
            await self._has_unsent_full.wait()
            self._has_unsent_full.clear()
            notices = self._state.connection_limits.pop_unsent(read_clock())
            await self._peers.broadcast(PeerUpdate(full=notices, sender=self._name))

    async def _broadcast_reach(self) -> None:
        """Tell the other instances which services this one does not reach, or reaches again."""
        missed: set[str] = set()
        tries = 0
        while True:
            await self._has_unsent_reach.wait()
            self._has_unsent_reach.clear()
            notices = self._state.reach.pop_unsent()
            update = PeerUpdate(sender=self._name, reach=notices)
            missed = await self._peers.deliver(update, missed)
            tries = tries + 1 if missed else 0
            if 0 < tries < MAX_REACH_TRIES:
                self._state.reach.put_back(notices)
            else:
                missed, tries = set(), 0
            await asyncio.sleep(REACH_INTERVAL_S)
