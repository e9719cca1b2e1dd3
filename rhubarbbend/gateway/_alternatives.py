"""Finds out whether a request that may have run can go on at another target, and waits for one.

A sound target may fall silent for a second or so and go on. A request is therefore taken from a
silent target only if another one can take it at that moment, and the retry that this needs is
reserved with it: of several requests that leave a target together, each has its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from rhubarbbend.core.detours import needs_detour
from rhubarbbend.core.placement import Rejection
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State

# How often a request that no target can take now looks for one again.
ALTERNATIVE_CHECK_S: Final = 0.05
# For this long a request waits for a target after it has left a silent one. Callers leave a stream
# after a gap of two seconds.
MAX_TARGET_WAIT_S: Final = 2.0
# A request of which its caller has nothing waits for this fraction of its remaining time at most,
# so that the caller can still repeat it.
MAX_TARGET_WAIT_FRACTION: Final = 0.5


class Alternatives:
    """Reserves retries. Invariant: a request holds at most one retry that it has not used."""

    def __init__(self, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    def acquire_retry(self, request: OpenRequest) -> bool:
        """Use the retry that a request has reserved, or take one; return whether there was one."""
        if request.has_reserved_retry:
            request.has_reserved_retry = False
            return True
        share = self._state.get_retry_budget_share(request.service.name)
        return share.try_acquire(len(self._state.list_instance_ids()), self._clock())

    def reserve(self, request: OpenRequest) -> bool:
        """Reserve a retry if another target can take a request; return whether the request may go.

        An instance that has lost its links has no target for it, but may have a helper.
        """
        now = self._clock()
        instances = self._state.list_instance_ids()
        share = self._state.get_retry_budget_share(request.service.name)
        if not request.has_reserved_retry and share.compute_remaining(len(instances), now) < 1.0:
            return False
        candidates = self._state.placement.find_alternatives(
            request.service, request.excluded, instances, now, request.admits
        )
        if not candidates.eligible and not self._has_helper(request, candidates.rejections, now):
            return False
        return self._reserve_retry(request)

    def _reserve_retry(self, request: OpenRequest) -> bool:
        request.has_reserved_retry = self.acquire_retry(request)
        return request.has_reserved_retry

    def _has_helper(
        self, request: OpenRequest, rejections: Mapping[Rejection, int], now: float
    ) -> bool:
        """Return whether another instance may reach targets that this one does not."""
        if request.is_detour or not needs_detour(rejections, 0):
            return False
        return bool(self._state.loads.peer_counts.list_senders(now))

    async def wait(self, request: OpenRequest) -> bool:
        """Wait until a target can take a request that was sent; return False if none can in time.

        Any target will do, also one that the request has left. Only a request that may be repeated
        waits, and only if its caller has a part of the answer or it has left a silent target.
        """
        progress = request.progress
        can_repeat = request.route.idempotent and progress.targets < request.route.max_attempts
        if not can_repeat or not (progress.started or request.has_left_silent_target):
            return False
        if request.wait_ends_at is None:
            request.wait_ends_at = self._clock() + self._compute_max_wait(request)
        while self._clock() < request.wait_ends_at:
            await asyncio.sleep(ALTERNATIVE_CHECK_S)
            request.excluded.clear()
            if self._has_target(request) and self._reserve_retry(request):
                return True
        return False

    def _compute_max_wait(self, request: OpenRequest) -> float:
        if request.progress.started:
            return MAX_TARGET_WAIT_S
        time_left = request.compute_time_left(self._clock())
        return min(MAX_TARGET_WAIT_S, MAX_TARGET_WAIT_FRACTION * time_left)

    def _has_target(self, request: OpenRequest) -> bool:
        candidates = self._state.placement.find_alternatives(
            request.service,
            request.excluded,
            self._state.list_instance_ids(),
            self._clock(),
            request.admits,
            avoids_unreachable=False,
        )
        return bool(candidates.eligible)
