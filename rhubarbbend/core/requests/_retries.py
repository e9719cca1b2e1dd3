"""The retry budget, which limits retries to a fraction of the fresh requests.

This keeps retries from multiplying the load during an outage.
"""

from __future__ import annotations


class RetryBudget:
    """A token bucket that fresh requests refill and retries drain.

    Invariant: over any period, retries are at most `reserve` plus `refill_ratio` times the number
    of fresh requests. Without the budget each failing request would be tried `max_attempts` times,
    and targets that are short of capacity would get a multiple of their load just when they can
    serve less.
    """

    def __init__(self, refill_ratio: float, reserve: float) -> None:
        self._refill_ratio = refill_ratio
        self._reserve = reserve
        self._tokens = reserve

    def record_request(self) -> None:
        """Refill the budget for a fresh request."""
        self._tokens = min(self._reserve, self._tokens + self._refill_ratio)

    def try_acquire(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
