"""Divides scarce room among client accounts, and keeps a minimum share for each kind of request.

Load: one account at many times its usual load, callers that retry at once, and routes or large
requests that would otherwise never be served.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import Final

from rhubarbbend.core.admission._demand import DecayedSum

# Time constants of an account's recent requests and of its usual load.
RECENT_S: Final = 3.0
USUAL_S: Final = 20.0
# Each account's weight is its usual load plus this part of the mean of all accounts, so that new
# accounts have a share as well.
EQUAL_WEIGHT: Final = 0.5
# An account asks for clearly more than its part if its requests exceed it by this many standard
# deviations of a random number of requests, and by this many requests more.
OVER_DEVIATIONS: Final = 1.5
OVER_SLACK: Final = 0.5
SHARES_INTERVAL_S: Final = 0.25
MAX_ACCOUNTS: Final = 256

# Of each kind, at least this fraction of the share that is admitted of all others.
MIN_SHARE: Final = 0.25
# The share that is admitted of all others is averaged over this time.
ADMITTED_S: Final = 5.0
MAX_KINDS: Final = 512


class _Account:
    """An account's requests; `excess` adds up the parts of them that are beyond its share."""

    __slots__ = ("offered", "admitted", "usual", "excess")

    def __init__(self) -> None:
        self.offered = DecayedSum(RECENT_S)
        self.admitted = DecayedSum(RECENT_S)
        self.usual = DecayedSum(USUAL_S)
        self.excess = 0.0


class AccountShares:
    """Weighted max-min shares of client accounts in what is admitted at one service.

    The weight of an account is its usual load: the one that it has while there is room for all.
    Each try of a caller counts as a request, so that retrying at once uses up the account's share.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._excess_fractions: dict[str, float] = {}
        self._computed_at = -math.inf

    def record_arrival(self, account: str, has_room: bool, now: float) -> None:
        """Record a request; `has_room` is whether there was room for all at the time."""
        known = self._find(account, now)
        known.offered.add(1.0, now)
        if has_room:
            known.usual.add(1.0, now)

    def record_admitted(self, account: str, now: float) -> None:
        """Record that a request was admitted."""
        self._find(account, now).admitted.add(1.0, now)

    def read_use(self, account: str, now: float) -> float:
        """Return what was admitted of an account lately in proportion to its usual load."""
        known = self._accounts.get(account)
        return 0.0 if known is None else known.admitted.read(now) / (1.0 + known.usual.read(now))

    def judge_arrival(self, account: str, now: float) -> bool:
        """Return whether a request that has just arrived is beyond its account's share.

        Of an account that asks for twice its share, this holds for every second request. Call it
        once a request, since it adds to the account's excess.
        """
        known = self._accounts.get(account)
        fraction = self._compute_excess(now).get(account, 0.0)
        if known is None or fraction <= 0.0:
            return False
        known.excess += fraction
        if known.excess < 1.0:
            return False
        known.excess -= 1.0
        return True

    def _find(self, account: str, now: float) -> _Account:
        known = self._accounts.get(account)
        if known is None:
            if len(self._accounts) >= MAX_ACCOUNTS:
                least = min(self._accounts, key=lambda a: self._accounts[a].offered.read(now))
                del self._accounts[least]
            known = self._accounts[account] = _Account()
        return known

    def _compute_excess(self, now: float) -> dict[str, float]:
        """Return the fraction of the requests of each account that is beyond its share."""
        if 0.0 <= now - self._computed_at < SHARES_INTERVAL_S:
            return self._excess_fractions
        accounts = self._accounts.items()
        usual = {name: account.usual.read(now) for name, account in accounts}
        equal = EQUAL_WEIGHT * sum(usual.values()) / max(1, len(usual)) or 1.0
        demands = [
            (name, account.offered.read(now), usual[name] + equal) for name, account in accounts
        ]
        capacity = sum(account.admitted.read(now) for _, account in accounts)
        self._excess_fractions = compute_excess_fractions(capacity, demands)
        self._computed_at = now
        return self._excess_fractions


def compute_excess_fractions(
    capacity: float, demands: Sequence[tuple[str, float, float]]
) -> dict[str, float]:
    """Return the fraction of their requests that is beyond their share, for accounts with excess.

    Each demand is (name, demand, weight). Only accounts that ask for clearly more than their part
    of all requests are considered, and their shares are compared with those of the others: if all
    accounts ask for more than there is, none is beyond its share.
    """
    offered = sum(demand for _, demand, _ in demands)
    weights = sum(weight for _, _, weight in demands)
    flooding: dict[str, float] = {}
    for name, demand, weight in demands:
        part = offered * weight / weights
        if demand > part + OVER_DEVIATIONS * math.sqrt(part) + OVER_SLACK:
            flooding[name] = demand
    if not flooding:
        return {}
    shares = divide_max_min(capacity, demands)
    rest = [(demand, shares[name]) for name, demand, _ in demands if name not in flooding]
    rest_offered = sum(demand for demand, _ in rest)
    if rest_offered <= 0.0:
        return {}
    served = sum(min(demand, share) for demand, share in rest) / rest_offered
    fractions = {
        name: 1.0 - shares[name] / (demand * served) if served > 0.0 else 0.0
        for name, demand in flooding.items()
    }
    return {name: fraction for name, fraction in fractions.items() if fraction > 0.0}


def divide_max_min(
    capacity: float, demands: Sequence[tuple[str, float, float]]
) -> dict[str, float]:
    """Divide a capacity by weighted max-min fairness; each demand is (name, demand, weight).

    A demand that is less than its part is met, and the rest is divided among the others in
    proportion to their weights.
    """
    shares: dict[str, float] = {}
    weights = sum(weight for _, _, weight in demands)
    for name, demand, weight in sorted(demands, key=lambda item: item[1] / item[2]):
        part = max(0.0, capacity) * weight / weights if weights > 0.0 else 0.0
        shares[name] = part
        capacity -= min(demand, part)
        weights -= weight
    return shares


class _Kind:
    """A kind of requests; `deficit` is how many more of them should have been admitted."""

    __slots__ = ("offered", "admitted", "deficit")

    def __init__(self, deficit: float) -> None:
        self.offered = DecayedSum(ADMITTED_S)
        self.admitted = DecayedSum(ADMITTED_S)
        self.deficit = deficit


class MinimumShares:
    """Finds kinds of requests that are admitted less than a quarter as often as the others.

    A kind is a route, a client account, or the largest requests of a route. With each request of a
    kind its deficit grows by its minimum share, and an admitted one lowers it by one. An instance
    may see few requests of a kind, so deficits begin at a random part of one: of many instances,
    each with a few requests, the right number then prefers one.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._all = _Kind(0.0)
        self._kinds: dict[str, _Kind] = {}

    def record_arrival(self, kinds: Sequence[str], has_room: bool, now: float) -> None:
        """Record a request that belongs to some kinds; `has_room`: there is room for all."""
        self._all.offered.add(1.0, now)
        for kind in kinds:
            known = self._find(kind)
            known.offered.add(1.0, now)
            if has_room:
                known.deficit = self._random.random()
            else:
                known.deficit = min(
                    2.0, known.deficit + MIN_SHARE * self._compute_others(known, now)
                )

    def record_admitted(self, kinds: Sequence[str], now: float) -> None:
        """Record that a request was admitted."""
        self._all.admitted.add(1.0, now)
        for kind in kinds:
            known = self._find(kind)
            known.admitted.add(1.0, now)
            known.deficit = max(-1.0, known.deficit - 1.0)

    def find_starved(self, kinds: Sequence[str]) -> str | None:
        """Return one of the kinds of which a request is due; None if there is none."""
        for kind in kinds:
            known = self._kinds.get(kind)
            if known is not None and known.deficit >= 1.0:
                return kind
        return None

    def _find(self, kind: str) -> _Kind:
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= MAX_KINDS:
                self._kinds.clear()
            known = self._kinds[kind] = _Kind(self._random.random())
        return known

    def _compute_others(self, kind: _Kind, now: float) -> float:
        """Return the share that is admitted of the requests that are not of a kind."""
        offered = self._all.offered.read(now) - kind.offered.read(now)
        if offered < 1.0:
            return 0.0
        admitted = self._all.admitted.read(now) - kind.admitted.read(now)
        return min(1.0, max(0.0, admitted) / offered)


class LargestTracker:
    """Tells the largest tenth of a route's requests, by prompt tokens."""

    FRACTION: Final = 0.1
    # The limit moves by this part of the mean size with each request.
    STEP: Final = 0.05

    __slots__ = ("_mean", "_limit")

    def __init__(self) -> None:
        self._mean = 0.0
        self._limit = 0.0

    def record(self, tokens: int) -> bool:
        """Record a request; return whether it belongs to the largest."""
        self._mean += self.STEP * (tokens - self._mean) if self._mean else tokens
        is_largest = tokens > self._limit
        step = self.STEP * self._mean
        self._limit += (1.0 - self.FRACTION) * step if is_largest else -self.FRACTION * step
        return is_largest
