"""Selects the instance that an instance without links to a destination asks for help.

A destination is a service, or one target. Which instances do not reach it is known from what they
say of themselves (`ReachTable`). One that has not noticed yet that it does not declines at once.
The destination may be down for everybody, so the number of instances asked in vain is limited.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from itertools import chain
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names

# For this long after a helper's answer, the destination is expected to need one, and this helper is
# preferred to one that was not asked.
ANSWER_TTL_S: Final = 2.0
# How long a helper is not asked again for a destination after it declined, doubled with each time.
MIN_DECLINE_BACKOFF_S: Final = 0.5
MAX_DECLINE_BACKOFF_S: Final = 4.0
# For how long a helper that had no room for a destination is asked after all others.
BUSY_S: Final = 0.2
# How long an instance that did not reply is not asked for anything.
LOST_BACKOFF_S: Final = 1.0
# Instances that are asked in vain for a destination within a second, at most. Where it is down for
# everybody, each request would otherwise be sent round the fleet.
MAX_DECLINES_PER_S: Final = 8
# The own zone comes first while at least this fraction of it can be asked. The few that are left
# would otherwise get the requests of the whole zone.
MIN_OWN_ZONE_FRACTION: Final = 0.5
# If this fraction of the other instances is heard, one that is not heard is not asked.
MIN_HEARD_FRACTION: Final = 0.5


# Helpers are compared by whether they had no room, how many of their zone have declined, whether
# they are in another zone than is preferred, and the requests that they have from here.
Rank = tuple[bool, int, bool, int]
BEST_RANK: Final[Rank] = (False, 0, False, 0)


class _Backoff:
    """How long a helper that declined is not asked again for a destination."""

    __slots__ = ("seconds", "until")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.until = -math.inf


class HelperCounts(msgspec.Struct, frozen=True):
    """Why no other instance is asked for a destination: how many are passed over, by reason.

    `available` are those that could be asked if fewer had just been asked in vain.
    """

    not_heard: int
    unreached: int
    lost: int
    declined: int
    available: int


class HelperSelector:
    """Selects helpers. Invariant: an instance never selects itself."""

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        self._backoffs: dict[tuple[str, str], _Backoff] = {}
        self._busy_until: dict[tuple[str, str], float] = {}
        self._lost_until: dict[str, float] = {}
        self._declined_at: dict[str, deque[float]] = {}
        self._in_flight: Counter[str] = Counter()
        # By destination, when each helper reached it last.
        self._answered_by: dict[str, dict[str, float]] = {}
        # The instances from which the order was computed.
        self._zones: Mapping[str, str] = {}
        self._order: list[str] = []
        self._own_zone_first: list[str] = []

    def select(
        self,
        destination: str,
        zones: Mapping[str, str],
        heard: Collection[str],
        asked: Collection[str],
        now: float,
        unreached_by: Collection[str] = (),
    ) -> str | None:
        """Return the instance to ask for a destination; None if none should be asked now.

        `zones` has the zone of each instance. `heard` are the instances that this one hears
        directly, `asked` those that have already declined. `unreached_by` are those that have said
        that they do not reach the destination.

        One of the own zone comes first, since bytes between zones are paid, unless most of that
        zone do not reach the destination. After one of a zone has declined, those of other zones
        come first: a fault mostly takes the links of a whole zone.
        """
        self._update_order(zones)
        is_heard = self._make_hearing_filter(heard)
        answering = self._list_answering(destination, now)
        may_try_others = self._count_declines(destination, now) < MAX_DECLINES_PER_S
        asked_by_zone = Counter(zones[name] for name in asked if name in zones)
        prefers_own_zone = self._can_use_own_zone(unreached_by)

        def rank(name: str) -> Rank:
            return (
                now < self._busy_until.get((destination, name), -math.inf),
                asked_by_zone[zones[name]],
                prefers_own_zone and zones[name] != self._zone,
                self._in_flight[name],
            )

        order = self._own_zone_first if prefers_own_zone else self._order
        candidates = (
            name
            for name in chain(answering, order if may_try_others else ())
            if name not in asked
            and name not in unreached_by
            and is_heard(name)
            and self._may_ask(destination, name, now)
        )
        return _find_first_best(candidates, rank)

    def _can_use_own_zone(self, unreached_by: Collection[str]) -> bool:
        """Return whether most of the own zone can be asked, as far as they have said."""
        if not unreached_by:
            return True
        in_zone = [name for name in self._order if self._zones[name] == self._zone]
        usable = sum(name not in unreached_by for name in in_zone)
        return usable >= MIN_OWN_ZONE_FRACTION * len(in_zone)

    def is_in_use(self, destination: str, now: float) -> bool:
        """Return whether a destination has been reached through a helper lately."""
        return bool(self._list_answering(destination, now))

    def has_other(
        self, zones: Mapping[str, str], unreached_by: Collection[str], now: float
    ) -> bool:
        """Return whether an instance is known that may reach what this one does not."""
        self._update_order(zones)
        return any(
            name not in unreached_by and now >= self._lost_until.get(name, -math.inf)
            for name in self._order
        )

    def count(
        self,
        destination: str,
        zones: Mapping[str, str],
        heard: Collection[str],
        now: float,
        unreached_by: Collection[str] = (),
    ) -> HelperCounts:
        """Count the other instances by the reason for which they are passed over now."""
        self._update_order(zones)
        is_heard = self._make_hearing_filter(heard)
        counts: Counter[str] = Counter()
        for name in self._order:
            if not is_heard(name):
                counts["not_heard"] += 1
            elif name in unreached_by:
                counts["unreached"] += 1
            elif now < self._lost_until.get(name, -math.inf):
                counts["lost"] += 1
            elif not self._may_ask(destination, name, now):
                counts["declined"] += 1
            else:
                counts["available"] += 1
        return HelperCounts(*(counts[name] for name in HelperCounts.__struct_fields__))

    def _make_hearing_filter(self, heard: Collection[str]) -> Callable[[str], bool]:
        """Return a filter of instances: those that are heard, if most of the others are."""
        if len(heard) < MIN_HEARD_FRACTION * max(1, len(self._order)):
            return lambda name: True
        return frozenset(heard).__contains__

    def _list_answering(self, destination: str, now: float) -> list[str]:
        """Return the instances through which the destination was reached lately."""
        answered_at = self._answered_by.get(destination, {})
        return [name for name, at in answered_at.items() if now - at < ANSWER_TTL_S]

    def record_sent(self, helper: str) -> None:
        """Record that a request was handed to a helper."""
        self._in_flight[helper] += 1

    def record_ended(self, helper: str) -> None:
        """Record that a request at a helper has ended, whatever came of it."""
        self._in_flight[helper] -= 1
        if not self._in_flight[helper]:
            del self._in_flight[helper]

    def record_answered(self, destination: str, helper: str, now: float) -> None:
        """Record that the destination was reached through a helper."""
        self._backoffs.pop((destination, helper), None)
        self._answered_by.setdefault(destination, {})[helper] = now

    def record_declined(self, destination: str, helper: str, now: float) -> None:
        """Record that a helper could not reach a destination either."""
        backoff = self._get_backoff(destination, helper)
        self._answered_by.get(destination, {}).pop(helper, None)
        backoff.seconds = min(
            MAX_DECLINE_BACKOFF_S, max(MIN_DECLINE_BACKOFF_S, 2.0 * backoff.seconds)
        )
        backoff.until = now + backoff.seconds
        self._declined_at.setdefault(destination, deque(maxlen=MAX_DECLINES_PER_S)).append(now)

    def record_busy(self, destination: str, helper: str, now: float) -> None:
        """Record that a helper has no room for requests to a destination now."""
        self._busy_until[destination, helper] = now + BUSY_S

    def record_lost(self, helper: str, now: float) -> None:
        """Record that an instance could not be reached or fell silent."""
        self._lost_until[helper] = now + LOST_BACKOFF_S

    def _update_order(self, zones: Mapping[str, str]) -> None:
        if zones is self._zones or zones == self._zones:
            return
        self._zones = zones
        # Each instance has an order of its own, so that not all ask the same helper first.
        self._order = rank_names(self._instance, [name for name in zones if name != self._instance])
        self._own_zone_first = sorted(self._order, key=lambda name: zones[name] != self._zone)
        self._backoffs = {k: backoff for k, backoff in self._backoffs.items() if k[1] in zones}
        self._busy_until = {k: until for k, until in self._busy_until.items() if k[1] in zones}
        self._lost_until = {k: until for k, until in self._lost_until.items() if k in zones}
        self._answered_by = {
            destination: {name: at for name, at in answered.items() if name in zones}
            for destination, answered in self._answered_by.items()
        }

    def _may_ask(self, destination: str, helper: str, now: float) -> bool:
        backoff = self._backoffs.get((destination, helper))
        if backoff is not None and now < backoff.until:
            return False
        return now >= self._lost_until.get(helper, -math.inf)

    def _count_declines(self, destination: str, now: float) -> int:
        declined_at = self._declined_at.get(destination, ())
        return sum(now - at < 1.0 for at in declined_at)

    def _get_backoff(self, destination: str, helper: str) -> _Backoff:
        return self._backoffs.setdefault((destination, helper), _Backoff())


def _find_first_best(names: Iterable[str], rank: Callable[[str], Rank]) -> str | None:
    """Return the first name with the lowest rank; none after one of the best rank is looked at."""
    best: str | None = None
    best_rank = BEST_RANK
    for name in names:
        name_rank = rank(name)
        if name_rank == BEST_RANK:
            return name
        if best is None or name_rank < best_rank:
            best, best_rank = name, name_rank
    return best
