"""Confirms that a target is still the start that its registration describes.

A target may end and be back under its id and address with another version of its software. It
registers itself anew, but an instance that the store does not answer goes by the old registration.
Streams of two versions would be joined then. So while the store is out of reach, what depends on
the version of a target is confirmed by the target itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._coalesced_call import CoalescedCall
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.gateway._target_checker import TargetChecker

# An instance asks a target at most this often, and all instances together no more than that.
MIN_CHECK_INTERVAL_S: Final = 0.05
MAX_CHECKS_PER_S: Final = 100.0
# A caller that takes a stream up waits for so long at the most.
CONFIRM_TIMEOUT_S: Final = 1.0


class StartConfirmer:
    """Asks targets which start of them runs, once for all streams that need to know."""

    def __init__(self, state: State, checker: TargetChecker, clock: Clock) -> None:
        self._state = state
        self._checker = checker
        self._clock = clock
        # Whether the store answers this instance, as far as it knows; set by the instance.
        self.is_store_reachable: Callable[[], bool] = lambda: True
        self._calls: dict[str, CoalescedCall[bool]] = {}

    def is_needed(self, target: Target, connected_at: float) -> bool:
        """Return whether it is uncertain who is at the other end of a connection to a target.

        One that was open when the registration was last known to be current is proof in itself.
        """
        if self.is_store_reachable() or connected_at <= self._state.up_to_date_at:
            return False
        return self._checker.reports_boot(target)

    async def confirm_if_needed(self, target: Target, connected_at: float) -> bool:
        """Return whether the other end of a connection is the registered start, as far as known."""
        return not self.is_needed(target, connected_at) or await self.confirm(target)

    async def confirm(self, target: Target) -> bool:
        """Return whether a target states that it is the start that is registered."""
        call = self._calls.get(target.incarnation)
        if call is None:
            call = CoalescedCall(partial(self._checker.is_same_start, target), self._clock)
            self._calls[target.incarnation] = call
        instances = len(self._state.list_instance_ids())
        interval_s = max(MIN_CHECK_INTERVAL_S, instances / MAX_CHECKS_PER_S)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                is_same = await call.get(interval_s)
        except TimeoutError:
            is_same = False
        if not is_same:
            self._state.metrics.increment_counter(codes.STARTS_UNCONFIRMED)
            self._state.event_log.write("start_unconfirmed", self._clock(), target=target.id)
        return is_same

    def expire(self) -> None:
        """Forget the starts of targets that are not registered any more."""
        registered = {target.incarnation for target in self._state.registry.list_targets()}
        self._calls = {start: call for start, call in self._calls.items() if start in registered}
