"""Tracks which targets are reached through a tunnel only."""

from __future__ import annotations

from typing import Final

import msgspec

# After this time the direct path is tried again, first after the shorter one, doubled each time.
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 4.0

Address = tuple[str, int]


class _Loss(msgspec.Struct):
    """The direct path to an address is not tried before `until`."""

    backoff: float
    until: float


class PathTracker:
    """Tracks lost direct paths. Invariant: a path is lost only after a tunnel replaced it."""

    def __init__(self) -> None:
        self._losses: dict[Address, _Loss] = {}

    def is_lost(self, address: Address, now: float) -> bool:
        """Return whether the direct path to an address should not be tried now."""
        loss = self._losses.get(address)
        return loss is not None and now < loss.until

    def record_tunnelled(self, address: Address, now: float) -> None:
        """Record that a target was reached through a tunnel and not directly."""
        loss = self._losses.get(address)
        backoff = MIN_RETRY_S if loss is None else min(MAX_RETRY_S, 2.0 * loss.backoff)
        self._losses[address] = _Loss(backoff, now + backoff)

    def record_direct(self, address: Address) -> None:
        """Record that a target was reached directly."""
        self._losses.pop(address, None)
