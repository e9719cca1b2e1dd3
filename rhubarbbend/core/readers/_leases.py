"""Decides which rows in the list of instances belong to instances that are gone for good.

One that stops as planned takes its row off the list. One that is lost leaves it behind; kept for
ever, such rows would make everybody's part of the bounds smaller from failure to failure, and
readers would be looked for among the lost. So each instance writes its row anew now and then, and
a row that stays as it is for long has lapsed, as a lease does.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from rhubarbbend.core.mirror import MirroredRow

# Seconds between two writes of an instance's row. At 400 instances 1.3 writes a second, of the
# several hundred that a platform gives.
RENEW_INTERVAL: Final = 300.0
# A row that has not been written for so many seconds has lapsed: four writes in a row were missed.
# A lost instance's part of the bounds is unused for that long, which one of hundreds is worth.
ROW_LIFE: Final = 1_200.0
# With a longer pause between two readings of the list time is counted anew: the store was away, for
# this instance or for all, so those that live could not write, or it was not seen that they did.
MAX_GAP: Final = 60.0


class _Sight(msgspec.Struct, frozen=True):
    """A row's version, and since when it has been that."""

    version: int
    since: float


class InstanceLeases:
    """Watches the list as this instance reads it. Invariant: only time in which it read counts.

    Time is this instance's own, so clocks that differ or jump do no harm. A wrong judgement does
    none either: the row is dropped only if it still has the version that was judged, and an
    instance that finds itself off the list writes its row again.
    """

    def __init__(self) -> None:
        self._sights: dict[str, _Sight] = {}
        self._read_at = -math.inf

    def observe(self, rows: Iterable[MirroredRow], now: float) -> list[MirroredRow]:
        """Take in the list as just read; give the rows that have lapsed."""
        known = self._sights if now - self._read_at <= MAX_GAP else {}
        self._read_at = now
        self._sights = {}
        lapsed: list[MirroredRow] = []
        for row in rows:
            sight = known.get(row.key)
            if sight is None or sight.version != row.version:
                sight = _Sight(row.version, now)
            self._sights[row.key] = sight
            if now - sight.since >= ROW_LIFE:
                lapsed.append(row)
        return lapsed
