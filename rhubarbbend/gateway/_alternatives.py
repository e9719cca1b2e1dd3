"""Finds out whether a request that may have run can go on at another target.

A sound target may fall silent for a second or so and go on. A request is therefore taken from a
silent target only if another one can take it at that moment, and the retry that this needs is
reserved with it: of several requests that leave a target together, each has its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from rhubarbbend.core.detours import needs_detour
from rhubarbbend.core.placement import Rejection
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State

# How often a request that no target can take now looks for one again.
ALTERNATIVE_CHECK_S: Final = 0.05


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
        request.has_reserved_retry = self.acquire_retry(request)
        return request.has_reserved_retry

    def _has_helper(
        self, request: OpenRequest, rejections: Mapping[Rejection, int], now: float
    ) -> bool:
        """Return whether another instance may reach targets that this one does not."""
        if request.is_detour or not needs_detour(rejections, 0):
            return False
        return bool(self._state.loads.peer_counts.list_senders(now))
