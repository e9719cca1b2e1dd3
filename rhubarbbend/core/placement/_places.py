"""Where prompts were sent last, by this instance or another.

Every instance computes the same home for a prompt, but homes come and go: a target that crashes,
drains or is full sends its prompts elsewhere, and one that joins becomes the home of some that lie
on another. Who does not know where a prompt went in between has it read again in full, which takes
three times as long as fetching it, and longer still for everyone else on that engine. So instances
tell one another of prompts that are not where their home says.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

# Prompts whose place is kept, at about 200 bytes each; the least recently used go first.
MAX_PLACES: Final = 4_096
# Engines drop the parts that were used longest ago. A place that was not used for so many seconds
# is no better than the home.
PLACE_LIFE: Final = 60.0
# Earlier places are kept as well: when the latest target crashes, the one before still holds.
MAX_STAYS: Final = 3


class Place(msgspec.Struct, frozen=True, array_like=True):
    """A prompt's affinity key, the target it was sent to, and how many seconds ago."""

    key: str
    target: str
    age: float

    def grow_older(self, seconds: float) -> Place:
        """Give the place as it has to be told some seconds later."""
        return Place(self.key, self.target, self.age + seconds)


class _Stay(msgspec.Struct, frozen=True):
    """A prompt was sent to a target at a time."""

    target: str
    at: float


class PlaceBook:
    """The places known. Invariant: the stays of a prompt are at different targets, newest first."""

    def __init__(self) -> None:
        self._stays: OrderedDict[str, list[_Stay]] = OrderedDict()
        self._news: dict[str, _Stay] = {}
        # Called when there is something to tell others; set by the instance.
        self.on_news: Callable[[], None] = lambda: None

    def list_targets(self, key: str, now: float) -> list[tuple[str, float]]:
        """List the targets that a prompt was sent to and when, first the latest."""
        stays = self._stays.get(key, ())
        return [(stay.target, stay.at) for stay in stays if now - stay.at < PLACE_LIFE]

    def note(self, key: str, target: str, is_news: bool, now: float) -> None:
        """Note where this instance sent a prompt; `is_news` if others would not expect it."""
        stay = _Stay(target, now)
        self._put(key, stay)
        if is_news:
            self._news[key] = stay
            self.on_news()

    def hear(self, places: Iterable[Place], now: float) -> None:
        """Take in what another instance tells."""
        for place in places:
            self._put(place.key, _Stay(place.target, now - place.age))

    def take_news(self, now: float) -> list[Place]:
        """Take what has not been told yet."""
        news = [Place(key, stay.target, now - stay.at) for key, stay in self._news.items()]
        self._news.clear()
        return news

    def list_recent(self, now: float) -> list[Place]:
        """List all latest places that still hold, for an instance that has just joined."""
        latest = [(key, stays[0]) for key, stays in self._stays.items()]
        return [
            Place(key, stay.target, now - stay.at)
            for key, stay in latest
            if now - stay.at < PLACE_LIFE
        ]

    def _put(self, key: str, stay: _Stay) -> None:
        stays = self._stays.setdefault(key, [])
        known = next((s for s in stays if s.target == stay.target), None)
        if known is not None:
            if known.at >= stay.at:
                return
            stays.remove(known)
        stays.append(stay)
        stays.sort(key=lambda s: s.at, reverse=True)
        del stays[MAX_STAYS:]
        self._stays.move_to_end(key)
        if len(self._stays) > MAX_PLACES:
            self._stays.popitem(last=False)
