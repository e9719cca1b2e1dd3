"""Holds out targets at whose addresses other targets answer: stale registrations.

The registration of a target that has ended may stay, while a later start of it, under another id,
or another target listens at its address. That one accepts connections, so a connection shows
nothing: only who answers does. Such a target looks idle and would attract requests, each of which
comes back unrun and uses up a retry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.directory import Target, get_target_id
from rhubarbbend.gateway._peer_updates import DisplacedTarget, PeerUpdate
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Clock, State

# Targets found within this time are told to the other instances together. After a return of all,
# each instance finds many within a second, and separate messages slow down those that start.
BATCH_DELAY_S: Final = 0.25
# Time until a displaced target is asked for its identity, doubled each time. The registration of a
# target that has ended mostly expires sooner, so that it is never asked.
INITIAL_CHECK_DELAY_S: Final = 10.0
MAX_CHECK_DELAY_S: Final = 80.0


class DisplacedTargets:
    """Finds displaced targets, and tells the other instances of those that this one has met.

    Invariant: a target is held out only for the start and the address at which another answered.
    """

    def __init__(
        self,
        state: State,
        peers: PeerClient,
        is_met: Callable[[Target], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._state = state
        self._peers = peers
        # Returns whether a target itself answers at its address.
        self._is_met = is_met
        self._clock = clock
        self._tasks = BackgroundTasks(state.report_internal_error)
        # In the order in which they were found.
        self._unsent: list[DisplacedTarget] = []

    def record(self, target: Target, address: Address) -> None:
        """Hold a target out, since another one has answered a request at an address of it.

        The target may have registered another address since the request was sent.
        """
        notice = DisplacedTarget(target.incarnation, address)
        if not self._hold_out(notice, self._state.settings.instance):
            return
        if not self._unsent:
            self._tasks.spawn(self._broadcast_soon())
        self._unsent.append(notice)

    def merge_notices(self, update: PeerUpdate) -> None:
        """Hold out the targets that another instance has found to be displaced."""
        for notice in update.displaced:
            self._hold_out(notice, update.sender)

    def _hold_out(self, notice: DisplacedTarget, found_by: str) -> bool:
        """Hold a target out; return False if it is already, or is not registered there any more."""
        health = self._state.health
        target = self._find(notice)
        if target is None or health.is_displaced(target.id):
            return False
        health.record_displaced(target.id, self._clock())
        self._state.metrics.increment_counter(codes.TARGETS_DISPLACED)
        self._log("target_displaced", target, found_by=found_by)
        self._tasks.spawn(self._check_until_met(notice))
        return True

    def _find(self, notice: DisplacedTarget) -> Target | None:
        """Return the target of a notice; None once it has another start or address, or is gone."""
        target = self._state.registry.find(get_target_id(notice.target))
        if target is None or target.incarnation != notice.target:
            return None
        return target if target.address == notice.address else None

    async def _check_until_met(self, notice: DisplacedTarget) -> None:
        delay = INITIAL_CHECK_DELAY_S
        while True:
            await asyncio.sleep(delay)
            target = self._find(notice)
            if target is None or not self._state.health.is_displaced(target.id):
                return
            if await self._is_met(target):
                self._state.health.record_met(target.id)
                self._log("target_met_again", target)
                return
            delay = min(MAX_CHECK_DELAY_S, 2.0 * delay)

    async def _broadcast_soon(self) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        notices, self._unsent = self._unsent, []
        sender = self._state.settings.instance
        await self._peers.broadcast(PeerUpdate(displaced=notices, sender=sender))

    def _log(self, event: str, target: Target, **fields: str) -> None:
        self._state.event_log.write(event, self._clock(), target=target.id, **fields)
