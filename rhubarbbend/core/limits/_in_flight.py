"""How many requests an account may have open at this instance at once."""

from __future__ import annotations

from collections import Counter

from rhubarbbend.core.configuration import Account
from rhubarbbend.core.limits._base import LIMITS, AccountLimit


@LIMITS.register("in_flight")
class InFlightLimit(AccountLimit):
    """At most `max_in_flight` of the account's declaration. Invariant: no count of zero is kept."""

    def __init__(self) -> None:
        self._open: Counter[str] = Counter()

    def open(self, account: Account, now: float) -> bool:
        """Count a request; False if the account is over its limit with it."""
        self._open[account.name] += 1
        return self._open[account.name] <= account.max_in_flight

    def close(self, account: Account) -> None:
        """Count the end of a request."""
        self._open[account.name] -= 1
        if self._open[account.name] <= 0:
            del self._open[account.name]
