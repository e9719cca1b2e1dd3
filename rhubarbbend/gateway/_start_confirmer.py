"""Confirms that a target is still the start that its registration describes.

A target may end and be back under its id and address with another version of its software. It
registers itself anew, but an instance that the store does not answer goes by the old registration.
Streams of two versions would be joined then. So while the store is out of reach, what depends on
the version of a target is confirmed by the target itself.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.directory import Target
from rhubarbbend.core.streams import USUAL_STREAM_AGE_S
from rhubarbbend.gateway._coalesced_call import CoalescedCall
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.gateway._target_checker import TargetChecker

# An instance asks a target at most this often, and all instances together no more than that.
MIN_CHECK_INTERVAL_S: Final = 0.05
MAX_CHECKS_PER_S: Final = 100.0
# A caller that takes a stream up waits for so long at the most.
CONFIRM_TIMEOUT_S: Final = 1.0
# A target does not end, start again and serve within this time.
MIN_RESTART_S: Final = 0.5


class StartConfirmer:
    """Asks targets which start of them runs, once for all streams that need to know."""

    def __init__(self, state: State, checker: TargetChecker, clock: Clock) -> None:
        self._state = state
        self._checker = checker
        self._clock = clock
        # Whether the store answers this instance, as far as it knows; set by the instance.
        self.is_store_reachable: Callable[[], bool] = lambda: True
        # Whether data has arrived from a target since a time, on a connection that was opened
        # before another time; set by the instance.
        self.has_contact: Callable[[str, float, float], bool] = lambda target, before, since: False
        self._calls: dict[str, CoalescedCall[bool]] = {}
        # When each start was last known to run, if later than the registrations were current.
        self._confirmed_at: dict[str, float] = {}

    def is_needed(self, target: Target, connected_at: float) -> bool:
        """Return whether it is uncertain who is at the other end of a connection to a target.

        A connection that was open when the start was known to run is proof in itself, and as long
        as data arrives on it, also for those that were opened since.
        """
        if self.is_store_reachable() or not self._may_have_changed(target):
            return False
        start = target.incarnation
        known_at = max(self._state.up_to_date_at, self._confirmed_at.get(start, -math.inf))
        if connected_at <= known_at:
            return False
        alive_at = self._clock() - MIN_RESTART_S
        if self.has_contact(target.id, known_at, alive_at):
            self._confirmed_at[start] = max(known_at, alive_at)
            return False
        return self._checker.reports_boot(target)

    def _may_have_changed(self, target: Target) -> bool:
        """Return whether a target may be back with another version since the store went away.

        Versions change while several serve; else a target was away for a moment at least.
        """
        registry, now = self._state.registry, self._clock()
        versions = registry.list_versions_since(target.service, USUAL_STREAM_AGE_S, now)
        return len(versions) > 1 or self._state.health.was_unreachable_since(
            target.id, self._state.up_to_date_at
        )

    async def confirm_if_needed(self, target: Target, connected_at: float) -> bool:
        """Return whether the other end of a connection is the registered start, as far as known."""
        return not self.is_needed(target, connected_at) or await self.confirm(target)

    async def confirm(self, target: Target) -> bool:
        """Return whether a target states that it is the start that is registered."""
        call = self._calls.get(target.incarnation)
        if call is None:
            call = CoalescedCall(partial(self._checker.is_same_start, target), self._clock)
            self._calls[target.incarnation] = call
        asked_at = self._clock()
        instances = len(self._state.list_instance_ids())
        interval_s = max(MIN_CHECK_INTERVAL_S, instances / MAX_CHECKS_PER_S)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                is_same = await call.get(interval_s)
        except TimeoutError:
            is_same = False
        if is_same:
            self._confirmed_at[target.incarnation] = asked_at
        else:
            self._state.metrics.increment_counter(codes.STARTS_UNCONFIRMED)
            self._state.event_log.write("start_unconfirmed", self._clock(), target=target.id)
        return is_same

    def expire(self) -> None:
        """Forget the starts of targets that are not registered any more."""
        registered = {target.incarnation for target in self._state.registry.list_targets()}
        self._calls = {start: call for start, call in self._calls.items() if start in registered}
        self._confirmed_at = {s: at for s, at in self._confirmed_at.items() if s in registered}
