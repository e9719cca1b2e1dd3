"""Plays instances without links to targets that look for help: the decisions alone, virtual time.

Callers, the paths between instances and their messages are simulated; the selector of helpers and
the table of what instances reach are the real ones. Ways to find a helper are compared on the same
seeds.
"""

from __future__ import annotations

import abc
import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from functools import partial
from random import Random
from typing import Any, Final

import attrs

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.detours import HelperSelector, ReachNotice, ReachTable

SERVICE: Final = "llm"
# Instances that one request is sent to before it is refused.
MAX_ASKED: Final = 3
# The connect time-outs after which an instance has found that it reaches no target.
DISCOVERY_S: Final = (0.1, 0.3)
# A question to another instance and its reply.
REPLY_S: Final = (0.001, 0.01)
# From an instance's finding until another instance has been told, by way of the relays.
NOTICE_DELAY_S: Final = (0.005, 0.15)


@attrs.define(slots=True, frozen=True)
class Setup:
    """A cut of `zones_cut` whole zones, or of a random `share` of all instances if above 0.

    `rate` is in requests a second at each instance.
    """

    instances: int = 67
    zones: int = 4
    rate: float = 5.0
    zones_cut: int = 1
    share: float = 0.0
    duration: float = 10.0


@attrs.define(slots=True)
class Result:
    """First tries at cut-off instances in each second, and what the search cost."""

    sent: Counter[int] = attrs.Factory(Counter)
    served: Counter[int] = attrs.Factory(Counter)
    asks_in_vain: int = 0
    notices: int = 0

    def count_failed(self, since: int) -> tuple[int, int]:
        """Return how many tries failed from a second on, and how many there were."""
        sent = sum(count for second, count in self.sent.items() if second >= since)
        return sent - sum(n for second, n in self.served.items() if second >= since), sent


class Search(abc.ABC):
    """How one instance looks for another that reaches the targets."""

    def __init__(self, name: str, zone: str) -> None:
        self.reach = ReachTable(name)
        self._selector = HelperSelector(name, zone)

    def select(self, zones: dict[str, str], asked: Collection[str], now: float) -> str | None:
        """Return the instance to ask next."""
        unreached = self.reach.list_unreached_by(SERVICE, now)
        return self._selector.select(SERVICE, zones, (), asked, now, unreached)

    def record_answered(self, helper: str, now: float) -> None:
        """Record that a helper has served a request."""
        self._selector.record_answered(SERVICE, helper, now)

    def record_declined(self, helper: str, search: Search, now: float) -> None:
        """Record that a helper, with a search of its own, does not reach the targets either."""
        self._selector.record_declined(SERVICE, helper, now)

    @abc.abstractmethod
    def list_told(self, others: Collection[str]) -> Collection[str]:
        """Return the instances that are told once this one finds that it reaches no target."""


class ZonesInTurnSearch(Search):
    """Each instance searches by itself; after a decline, in another zone."""

    def list_told(self, others: Collection[str]) -> Collection[str]:
        return ()


class OwnZoneSearch(ZonesInTurnSearch):
    """Each instance searches by itself, in its own zone as long as any of it may be asked."""

    def __init__(self, name: str, zone: str) -> None:
        super().__init__(name, zone)
        self._name = name
        self._zone = zone

    def select(self, zones: dict[str, str], asked: Collection[str], now: float) -> str | None:
        # With the names of one zone only, the selector has no other to go to.
        for is_own in (True, False):
            part = {n: z for n, z in zones.items() if (z == self._zone) is is_own}
            helper = self._selector.select(SERVICE, part, (), asked, now)
            if helper is not None:
                return helper
        return None


class ReferralSearch(ZonesInTurnSearch):
    """A decline tells what the one that declines knows of the others."""

    def record_declined(self, helper: str, search: Search, now: float) -> None:
        super().record_declined(helper, search, now)
        self.reach.merge_notices([ReachNotice(helper, SERVICE, False)], now)
        self.reach.merge_notices(search.reach.list_notices(now), now)


class ToldSearch(Search):
    """Each instance tells all others once that it does not reach the targets."""

    def list_told(self, others: Collection[str]) -> Collection[str]:
        return others


WAYS: Final[dict[str, type[Search]]] = {
    "own zone": OwnZoneSearch,
    "in turn": ZonesInTurnSearch,
    "referral": ReferralSearch,
    "told": ToldSearch,
}


class HelperSimulation:
    """One play. Invariant: time does not go back; the same seed gives the same play."""

    def __init__(self, way: str, setup: Setup, seed: int) -> None:
        self._setup = setup
        self._random = Random(f"helpers {seed}")
        names = [f"i-{number}" for number in range(setup.instances)]
        self._zones = {n: f"zone-{i % setup.zones}" for i, n in enumerate(names)}
        self._searches = {n: WAYS[way](n, zone) for n, zone in self._zones.items()}
        self._cut_off = self._choose_cut_off(names, seed)
        self._aware: set[str] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()

    def _choose_cut_off(self, names: list[str], seed: int) -> set[str]:
        setup = self._setup
        if setup.share > 0.0:
            count = min(len(names) - 1, round(setup.share * len(names)))
            return set(rank_names(f"cut {seed}", names)[:count])
        return {n for n, z in self._zones.items() if int(z[5:]) < setup.zones_cut}

    def run(self) -> Result:
        """Play to the end and return what came of the requests."""
        for name in sorted(self._cut_off):
            self._add(self._random.expovariate(self._setup.rate), self._make_arrival(name))
        while self._events:
            now, _, handle = heapq.heappop(self._events)
            handle(now)
        return self.result

    def _add(self, at: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle))

    def _make_arrival(self, name: str) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            if now >= self._setup.duration:
                return
            self.result.sent[int(now)] += 1
            self._add(now + self._discover(name, now), lambda at: self._ask(name, [], now, at))
            self._add(now + self._random.expovariate(self._setup.rate), arrive)

        return arrive

    def _discover(self, name: str, now: float) -> float:
        """Return how long an instance takes to find that it reaches no target."""
        if name in self._aware:
            return 0.0
        delay = self._random.uniform(*DISCOVERY_S)
        self._add(now + delay, lambda at: self._become_aware(name, at))
        return delay

    def _become_aware(self, name: str, now: float) -> None:
        if name in self._aware:
            return
        self._aware.add(name)
        search = self._searches[name]
        search.reach.record_unreached(SERVICE, now)
        notices = search.reach.pop_unsent()
        for other in sorted(search.list_told(self._zones.keys() - {name})):
            self.result.notices += 1
            reach = self._searches[other].reach
            at = now + self._random.uniform(*NOTICE_DELAY_S)
            self._add(at, partial(reach.merge_notices, notices))

    def _ask(self, name: str, asked: list[str], arrived_at: float, now: float) -> None:
        search = self._searches[name]
        helper = search.select(self._zones, asked, now) if len(asked) < MAX_ASKED else None
        if helper is None:
            return
        reply_at = now + self._random.uniform(*REPLY_S)
        if helper not in self._cut_off:
            search.record_answered(helper, reply_at)
            self.result.served[int(arrived_at)] += 1
            return
        self.result.asks_in_vain += 1

        def decline(at: float) -> None:
            search.record_declined(helper, self._searches[helper], at)
            self._ask(name, [*asked, helper], arrived_at, at)

        self._add(reply_at + self._discover(helper, now), decline)


def main(instances: int, zones: int, seeds: int) -> int:
    """Play each cut and rate with each way, and print a line for each."""
    cuts: dict[str, Mapping[str, Any]] = {
        "a zone": {"zones_cut": 1},
        "all zones but one": {"zones_cut": zones - 1},
    }
    for share in (0.5, 0.9, 0.95):
        cuts[f"{share:.0%} at random"] = {"share": share}
    for label, changes in cuts.items():
        for rate in (0.2, 5.0):
            for way in WAYS:
                setup = Setup(instances, zones, rate, **changes)
                plays = [HelperSimulation(way, setup, seed).run() for seed in range(seeds)]
                failed = [sum(n) for n in zip(*(p.count_failed(3) for p in plays), strict=True)]
                print(
                    f"{label:<18} {rate:4.1f}/s {way:<9} failed from 3 s on {failed[0]:6} of "
                    f"{failed[1]:6}  asks in vain {sum(p.asks_in_vain for p in plays):6}  "
                    f"notices received {sum(p.notices for p in plays):7}",
                    flush=True,
                )
    return 0
