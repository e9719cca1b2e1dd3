"""Collects the streams that an instance began lately, to be kept in the store.

They are kept only while a service has targets of several versions, or had them a short time ago:
otherwise the one version is known without them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final

import msgspec

from rhubarbbend.core.streams._ledger import USUAL_STREAM_AGE_S

# A stream that began later than the last write before all instances are lost is not known.
MIN_WRITE_INTERVAL_S: Final = 0.5
# All instances together write this often at the most; the store serves several hundred writes a
# second, and other writes must not wait for these.
MAX_WRITES_PER_S: Final = 100.0
# Likewise for reads of what the store holds of all streams; each of them takes three calls.
MIN_READ_INTERVAL_S: Final = 0.2
MAX_READS_PER_S: Final = 200.0
# A row of the store holds at most 64 KB; an entry takes 18 bytes and a third more in base64.
MAX_ENTRIES: Final = 2_000


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """A stream and its origin, both as hashes."""

    stream: int
    origin: int


class OriginBatch:
    """The origins of streams that began in the last `USUAL_STREAM_AGE_S`, oldest first."""

    def __init__(self) -> None:
        self._entries: deque[tuple[float, StreamOrigin]] = deque(maxlen=MAX_ENTRIES)
        # Whether there are entries that were not listed yet.
        self.has_new = False

    def record(self, entry: StreamOrigin, now: float) -> None:
        """Record a stream that has begun here."""
        self._entries.append((now, entry))
        self.has_new = True

    def forget(self, streams: Collection[int]) -> None:
        """Remove streams whose origins may be others than were recorded."""
        kept = [(at, entry) for at, entry in self._entries if entry.stream not in streams]
        self._entries = deque(kept, maxlen=MAX_ENTRIES)
        self.has_new = True

    def list_recent(self, now: float) -> list[StreamOrigin]:
        """Return the entries that callers may take up, which then are no longer new."""
        while self._entries and now - self._entries[0][0] > USUAL_STREAM_AGE_S:
            self._entries.popleft()
        self.has_new = False
        return [entry for _, entry in self._entries]


def compute_write_interval(instances: int) -> float:
    """Return how many seconds an instance waits between two writes."""
    return max(MIN_WRITE_INTERVAL_S, instances / MAX_WRITES_PER_S)


def compute_read_interval(instances: int) -> float:
    """Return how many seconds an instance waits between two reads of the origins of all."""
    return max(MIN_READ_INTERVAL_S, instances / MAX_READS_PER_S)


def have_several(versions_by_service: Iterable[Iterable[str]]) -> bool:
    """Return whether some service has several versions."""
    return any(len(set(versions)) > 1 for versions in versions_by_service)
