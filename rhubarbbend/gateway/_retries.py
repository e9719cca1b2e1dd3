"""Takes the retries of requests from this instance's share of the retry budget of their service."""

from __future__ import annotations

from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import State


def try_acquire_retry(state: State, request: OpenRequest, now: float) -> bool:
    """Take a retry for a request that is sent again now; return whether there was one.

    The one that is reserved for the request, if any, is used first.
    """
    if request.has_reserved_retry:
        request.has_reserved_retry = False
        return True
    share = state.get_retry_budget_share(request.service.name)
    return share.try_acquire(len(state.list_instance_ids()), now)


def try_reserve_retry(state: State, request: OpenRequest, now: float) -> bool:
    """Reserve a retry for a request to be given up at its target; return whether there was one.

    Without one it would fail, though its answer may be on its way. Several requests may be given
    up at once, so it is not enough that a retry is left.
    """
    request.has_reserved_retry = try_acquire_retry(state, request, now)
    return request.has_reserved_retry
