"""The slots and the pace of the stand-in for workers."""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import math

import attrs

from standins._worker_types import Faults

LOWEST_PRIORITY = 9
# The slots that a worker reports that runs any number of requests.
REPORTED_SLOTS = 6


@attrs.define(slots=True, order=True)
class SlotRequest:
    """A request that has a slot or waits for one; `granted` is set once it runs."""

    priority: int
    number: int
    granted: asyncio.Event = attrs.field(factory=asyncio.Event, order=False)


class SlotTable:
    """Grants slots to requests by priority, lower numbers first, and then by arrival."""

    def __init__(self) -> None:
        self.running = 0
        self.most_running = 0
        self._waiting: list[SlotRequest] = []
        self._last_number = 0

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def is_full(self, faults: Faults) -> bool:
        """Return whether one more request would find neither a slot nor room in the queue."""
        if faults.slots <= 0 or self.running < faults.slots:
            return False
        return self.waiting >= faults.queue

    def add(self, priority: int, faults: Faults) -> SlotRequest:
        """Add a request, which runs at once if there is a slot for it."""
        self._last_number += 1
        request = SlotRequest(priority, self._last_number)
        heapq.heappush(self._waiting, request)
        self._grant(faults)
        return request

    def remove(self, request: SlotRequest, faults: Faults) -> None:
        """Remove a request that has ended or is no longer waited for."""
        if request.granted.is_set():
            self.running -= 1
        else:
            self._waiting.remove(request)
            heapq.heapify(self._waiting)
        self._grant(faults)

    def _grant(self, faults: Faults) -> None:
        while self._waiting and (faults.slots <= 0 or self.running < faults.slots):
            heapq.heappop(self._waiting).granted.set()
            self.running += 1
            self.most_running = max(self.most_running, self.running)


def parse_priority(value: str) -> int:
    """Return the priority in `Request-Priority`; the lowest one if there is none."""
    return min(int(value), LOWEST_PRIORITY) if value.isdecimal() else LOWEST_PRIORITY


def compute_pace(faults: Faults, name: str, now: float) -> float:
    """Return how long work takes at a time in seconds, 1.0 = as usual.

    Workers of different names are slow at different times.
    """
    if faults.slow_factor == 1.0 or faults.slow_interval_s <= 0.0:
        return faults.slow_factor
    interval = math.floor(now / faults.slow_interval_s)
    digest = hashlib.blake2b(f"{name} {interval}".encode(), digest_size=4).digest()
    latest_start = max(0.0, faults.slow_interval_s - faults.slow_s)
    starts_at = int.from_bytes(digest, "big") / 2**32 * latest_start
    since_start = now - interval * faults.slow_interval_s - starts_at
    return faults.slow_factor if 0.0 <= since_start < faults.slow_s else 1.0


def format_load(table: SlotTable, faults: Faults, pace: float) -> str:
    """Return the value of `Server-Load`: RUNNING,WAITING,SLOTS and, if it is reported, PACE."""
    load = f"{table.running},{table.waiting},{faults.slots or REPORTED_SLOTS}"
    return f"{load},{round(100 * pace)}" if faults.reports_pace else load
