"""Tracks which targets prompts were sent to last, by this instance or another.

Every instance computes the same home target for a prompt, but homes change: a target that crashes,
drains or is full has its prompts sent elsewhere, and a new target becomes the home of some prompts
that are cached on another. An instance that does not know where a prompt was sent meanwhile has it
processed again in full. That takes three times as long as fetching it, and longer still for all
other requests on that engine. So instances notify one another of prompts that were sent to a target
other than their home.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

# The number of prompts that are kept, at about 200 bytes each; the least recently used prompt is
# evicted first.
MAX_PROMPTS: Final = 4_096
# Engines evict the least recently used parts. A target that was not sent a prompt for this time is
# no more likely to have it cached than the prompt's home.
LOCATION_TTL_S: Final = 60.0
# Earlier targets are kept as well: when the latest one crashes, the one before may still have the
# prompt cached.
MAX_TARGETS_PER_PROMPT: Final = 3


class PromptLocation(msgspec.Struct, frozen=True, array_like=True):
    """A prompt's affinity key, the target that it was sent to, and how many seconds ago."""

    key: str
    target: str
    age: float

    def add_age(self, seconds: float) -> PromptLocation:
        """Return the location with its age increased, to be sent on some seconds later."""
        return PromptLocation(self.key, self.target, self.age + seconds)


class _SendRecord(msgspec.Struct, frozen=True):
    """The target that a prompt was sent to, and when."""

    target: str
    at: float


class PromptLocationTracker:
    """Tracks the latest targets of each prompt.

    Invariant: the records of a prompt have different targets and are sorted, newest first.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, list[_SendRecord]] = OrderedDict()
        # The latest location of each prompt that has not been sent to other instances yet.
        self._pending: dict[str, _SendRecord] = {}
        # Called when there is a location to send to other instances; set by the gateway.
        self.on_update: Callable[[], None] = lambda: None

    def list_targets(self, key: str, now: float) -> list[tuple[str, float]]:
        """Return the targets that a prompt was sent to and when, the latest first."""
        records = self._records.get(key, ())
        return [
            (record.target, record.at) for record in records if now - record.at < LOCATION_TTL_S
        ]

    def record_sent(self, key: str, target: str, is_unexpected: bool, now: float) -> None:
        """Record the target that this instance sent a prompt to.

        `is_unexpected` if other instances would not look for the prompt there and must be notified.
        """
        record = _SendRecord(target, now)
        self._insert(key, record)
        if is_unexpected:
            self._pending[key] = record
            self.on_update()

    def merge_locations(self, locations: Iterable[PromptLocation], now: float) -> None:
        """Record locations received from another instance."""
        for location in locations:
            self._insert(location.key, _SendRecord(location.target, now - location.age))

    def pop_updates(self, now: float) -> list[PromptLocation]:
        """Return the locations that have not been sent to other instances yet, and clear them."""
        pending = [
            PromptLocation(key, record.target, now - record.at)
            for key, record in self._pending.items()
        ]
        self._pending.clear()
        return pending

    def list_recent(self, now: float) -> list[PromptLocation]:
        """Return the latest locations that have not expired, for an instance that just joined."""
        latest = [(key, records[0]) for key, records in self._records.items()]
        return [
            PromptLocation(key, record.target, now - record.at)
            for key, record in latest
            if now - record.at < LOCATION_TTL_S
        ]

    def _insert(self, key: str, record: _SendRecord) -> None:
        records = self._records.setdefault(key, [])
        known = next((r for r in records if r.target == record.target), None)
        if known is not None:
            if known.at >= record.at:
                return
            records.remove(known)
        records.append(record)
        records.sort(key=lambda r: r.at, reverse=True)
        del records[MAX_TARGETS_PER_PROMPT:]
        self._records.move_to_end(key)
        if len(self._records) > MAX_PROMPTS:
            self._records.popitem(last=False)
