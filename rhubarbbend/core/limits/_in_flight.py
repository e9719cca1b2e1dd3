"""Limits the number of requests that an account may have in flight at this instance."""

from __future__ import annotations

from collections import Counter

from rhubarbbend.core.configuration import Account
from rhubarbbend.core.limits._base import LIMITS, AccountLimit


@LIMITS.register("in_flight")
class InFlightLimit(AccountLimit):
    """Limits an account to the `max_in_flight` requests that its declaration allows.

    Invariant: no counts of zero are kept.
    """

    def __init__(self) -> None:
        self._in_flight: Counter[str] = Counter()

    def record_opened(self, account: Account, now: float) -> bool:
        """Count a request and return False if it puts the account over its limit."""
        self._in_flight[account.name] += 1
        return self._in_flight[account.name] <= account.max_in_flight

    def record_closed(self, account: Account) -> None:
        """Stop counting a request that has ended."""
        self._in_flight[account.name] -= 1
        if self._in_flight[account.name] <= 0:
            del self._in_flight[account.name]
