"""Decides which rows of the instance list belong to instances that are permanently gone.

An instance that stops in an orderly way deletes its row; one that crashes leaves it behind. If such
rows were kept, every instance's share of the fleet's limits would shrink with each failure, and
instances would try to use readers that no longer exist. So each instance rewrites its row at
intervals, and a row that stays unchanged for too long expires, like a lease.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from rhubarbbend.core.mirror import MirroredRow

# Seconds between two writes of an instance's row. 400 instances make 1.3 writes a second, out of
# the several hundred that a platform allows.
RENEW_INTERVAL_S: Final = 300.0
# Seconds after which a row that was not rewritten has expired: four successive writes were missed.
# A crashed instance's share of the limits stays unused that long, which is acceptable for one
# instance of hundreds.
ROW_LIFETIME_S: Final = 1_200.0
# After a longer gap between two reads of the list, the age of every row restarts at zero: the store
# was unreachable, so live instances could not write or this instance could not see their writes.
MAX_READ_GAP_S: Final = 60.0


class _SeenVersion(msgspec.Struct, frozen=True):
    """A row's version, and the time at which this instance first read it."""

    version: int
    since: float


class InstanceLeaseTracker:
    """Tracks how long each row has been unchanged. Invariant: periods without reads do not count.

    Times come from this instance's own clock, so clocks that differ or jump do no harm. Expiring a
    live instance's row does none either: the row is deleted only if it still has the version that
    expired, and an instance that finds its row missing writes it again.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _SeenVersion] = {}
        self._read_at = -math.inf

    def observe(self, rows: Iterable[MirroredRow], now: float) -> list[MirroredRow]:
        """Record the list as just read, and return the rows that have expired."""
        previous = self._seen if now - self._read_at <= MAX_READ_GAP_S else {}
        self._read_at = now
        self._seen = {}
        expired: list[MirroredRow] = []
        for row in rows:
            seen = previous.get(row.key)
            if seen is None or seen.version != row.version:
                seen = _SeenVersion(row.version, now)
            self._seen[row.key] = seen
            if now - seen.since >= ROW_LIFETIME_S:
                expired.append(row)
        return expired
