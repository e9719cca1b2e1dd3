"""Selects the instance that an instance without links to a destination asks for help.

A destination is a service, or one target. Whether another instance reaches it is learned from its
replies: it declines at once what it cannot send either. The destination may be down for everybody,
so the number of instances asked in vain is limited.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Mapping
from typing import Final

from rhubarbbend.core._rendezvous import rank_names

# For this long after a helper's answer, the destination is expected to need one.
IN_USE_S: Final = 2.0
# How long a helper is not asked again for a destination after it declined, doubled with each time.
MIN_DECLINE_BACKOFF_S: Final = 0.5
MAX_DECLINE_BACKOFF_S: Final = 4.0
# How long an instance that did not reply is not asked for anything.
LOST_BACKOFF_S: Final = 1.0
# Instances that are asked in vain for a destination within a second, at most. Where it is down for
# everybody, each request would otherwise be sent round the fleet.
MAX_DECLINES_PER_S: Final = 8
# If this fraction of the other instances is heard, one that is not heard is not asked.
MIN_HEARD_FRACTION: Final = 0.5


class _HelperRecord:
    """What is known of one helper for one destination."""

    __slots__ = ("answered_at", "backoff", "backoff_until")

    def __init__(self) -> None:
        self.answered_at = -math.inf
        self.backoff = 0.0
        self.backoff_until = -math.inf


class HelperSelector:
    """Selects helpers. Invariant: an instance never selects itself."""

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        self._records: dict[tuple[str, str], _HelperRecord] = {}
        self._lost_until: dict[str, float] = {}
        self._declined_at: dict[str, deque[float]] = {}
        self._in_flight: Counter[str] = Counter()
        self._answered_at: dict[str, float] = {}
        # The instances from which the order was computed.
        self._zones: Mapping[str, str] = {}
        self._order: list[str] = []

    def is_in_use(self, destination: str, now: float) -> bool:
        """Return whether a destination has been reached through a helper lately."""
        return now - self._answered_at.get(destination, -math.inf) < IN_USE_S

    def select(
        self,
        destination: str,
        zones: Mapping[str, str],
        heard: Collection[str],
        asked: Collection[str],
        now: float,
    ) -> str | None:
        """Return the instance to ask for a destination; None if none should be asked now.

        `zones` has the zone of each instance. `heard` are the instances that this one hears
        directly, `asked` those that have already declined. One of the own zone comes first, since
        bytes between zones are paid.
        """
        self._update_order(zones)
        others = max(1, len(self._order))
        hears_most = len(heard) >= MIN_HEARD_FRACTION * others
        may_try_others = self._count_declines(destination, now) < MAX_DECLINES_PER_S
        candidates = [
            name
            for name in self._order
            if name not in asked
            and (name in heard or not hears_most)
            and self._may_ask(destination, name, now)
            and (may_try_others or self._has_answered(destination, name, now))
        ]

        def compute_key(name: str) -> tuple[bool, bool, int]:
            is_elsewhere = zones[name] != self._zone
            return (
                is_elsewhere,
                not self._has_answered(destination, name, now),
                self._in_flight[name],
            )

        return min(candidates, key=compute_key, default=None)

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
        record = self._get_record(destination, helper)
        record.answered_at = now
        record.backoff = 0.0
        self._answered_at[destination] = now

    def record_declined(self, destination: str, helper: str, now: float) -> None:
        """Record that a helper could not reach a destination either."""
        record = self._get_record(destination, helper)
        record.answered_at = -math.inf
        record.backoff = min(
            MAX_DECLINE_BACKOFF_S, max(MIN_DECLINE_BACKOFF_S, 2.0 * record.backoff)
        )
        record.backoff_until = now + record.backoff
        self._declined_at.setdefault(destination, deque(maxlen=MAX_DECLINES_PER_S)).append(now)

    def record_lost(self, helper: str, now: float) -> None:
        """Record that an instance could not be reached or fell silent."""
        self._lost_until[helper] = now + LOST_BACKOFF_S

    def _update_order(self, zones: Mapping[str, str]) -> None:
        if zones == self._zones:
            return
        self._zones = dict(zones)
        others = [name for name in zones if name != self._instance]
        # Each instance has an order of its own, so that not all ask the same helper first.
        self._order = rank_names(self._instance, others)
        self._records = {k: record for k, record in self._records.items() if k[1] in zones}
        self._lost_until = {k: until for k, until in self._lost_until.items() if k in zones}

    def _may_ask(self, destination: str, helper: str, now: float) -> bool:
        record = self._records.get((destination, helper))
        if record is not None and now < record.backoff_until:
            return False
        return now >= self._lost_until.get(helper, -math.inf)

    def _has_answered(self, destination: str, helper: str, now: float) -> bool:
        record = self._records.get((destination, helper))
        return record is not None and now - record.answered_at < IN_USE_S

    def _count_declines(self, destination: str, now: float) -> int:
        declined_at = self._declined_at.get(destination, ())
        return sum(now - at < 1.0 for at in declined_at)

    def _get_record(self, destination: str, helper: str) -> _HelperRecord:
        return self._records.setdefault((destination, helper), _HelperRecord())
