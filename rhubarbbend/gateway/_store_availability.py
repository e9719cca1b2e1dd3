"""Whether the store answers this instance."""

from __future__ import annotations

import asyncio


class StoreAvailabilityTracker:
    """Tracks whether the store answers this instance. Invariant: `lost_at` is None while it does.

    `has_answered` is True once the store has answered for the first time.
    """

    def __init__(self) -> None:
        self.lost_at: float | None = None
        self.has_answered = False
        self._recovered = asyncio.Event()

    def record_answer(self, now: float) -> float | None:
        """Record an answer, and return the outage in seconds if it ended one, otherwise None."""
        self.has_answered = True
        self._recovered.set()
        lost_at, self.lost_at = self.lost_at, None
        return None if lost_at is None else now - lost_at

    def record_failure(self, now: float) -> bool:
        """Record a failed call, and return whether it is the first of an outage."""
        if self.lost_at is not None:
            return False
        self.lost_at = now
        self._recovered.clear()
        return True

    async def wait_until_recovered(self) -> None:
        """Wait until the store answers again."""
        if self.lost_at is not None:
            await self._recovered.wait()
