"""Remembers the origin of streams: the service and version whose target brought the first event.

Streams and origins are kept as hashes, so that an entry and a message about it have a fixed size,
whatever ids callers choose.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import msgspec
import xxhash

# Callers take most streams up again within the deadline of their first attempt, which is shorter.
USUAL_STREAM_AGE_S: Final = 20.0
# An entry outlives the streams, since clocks of instances differ in speed.
MEMORY_S: Final = 1.5 * USUAL_STREAM_AGE_S
# Bounds the memory; at 7,100 streams a second over 400 instances there are 1,600 entries.
MAX_STREAMS: Final = 20_000
SEPARATOR: Final = "\0"


class _Entry(msgspec.Struct, frozen=True):
    origin: int
    recorded_at: float


def make_stream_key(account: str, attempt: str) -> int:
    """Return the hash that names a stream: of the client account and the attempt that began it."""
    return xxhash.xxh64_intdigest(f"{account}{SEPARATOR}{attempt}".encode())


def compute_origin(service: str, version: str) -> int:
    """Return the hash of a service and a version of its targets."""
    return xxhash.xxh64_intdigest(f"{service}{SEPARATOR}{version}".encode())


class StreamLedger:
    """The origins of streams.

    Invariant: the first origin recorded for a stream stays until it expires, since a stream begins
    only once; the oldest entries go first if there are too many.
    """

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        # In the order of their recording.
        self._entries: OrderedDict[int, _Entry] = OrderedDict()

    def count(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def record(self, key: int, origin: int, now: float) -> None:
        """Record the origin of a stream; one that is known is kept and counts as new."""
        known = self.find(key, now)
        self._entries.pop(key, None)
        self._entries[key] = _Entry(origin if known is None else known, now)
        self._expire(now)

    def find(self, key: int, now: float) -> int | None:
        """Return the origin of a stream, None if it is not known."""
        entry = self._entries.get(key)
        if entry is None or now - entry.recorded_at > MEMORY_S:
            return None
        return entry.origin

    def forget(self, key: int) -> None:
        """Forget a stream whose origin may be another one than was recorded."""
        self._entries.pop(key, None)

    def _expire(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            is_old = now - oldest.recorded_at > MEMORY_S
            if not is_old and len(self._entries) <= self._max_streams:
                return
            self._entries.popitem(last=False)
