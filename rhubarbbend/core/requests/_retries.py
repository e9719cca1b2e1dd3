"""The retry budget: retries are a share of fresh requests, so they cannot multiply an outage."""

from __future__ import annotations


class RetryBudget:
    """A bucket that fresh requests fill and retries empty.

    Invariant: over any span, retries are at most `reserve` plus `share` of the fresh requests.
    Without it each failing request would be tried `max_attempts` times, and a target pool that is
    short of capacity would get a multiple of its load just when it can bear less.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def add_request(self) -> None:
        """Count a fresh request."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Take the right to one retry; False if the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
