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

# Prompts whose place is kept: chats of the known deployments by the hundred, about 200 bytes each.
MAX_PLACES: Final = 4_096
# Engines drop the parts that were used longest ago. A place that was not used for so many seconds
# is no better than the home.
PLACE_LIFE: Final = 60.0


class Place(msgspec.Struct, frozen=True, array_like=True):
    """A prompt's affinity key, the target it was sent to, and how many seconds ago."""

    key: str
    target: str
    age: float


class PlaceBook:
    """The places known. Invariant: of two words on a prompt the newer one holds."""

    def __init__(self) -> None:
        self._places: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._news: dict[str, tuple[str, float]] = {}
        # Called when there is something to tell others; set by the instance.
        self.on_news: Callable[[], None] = lambda: None

    def find(self, key: str, now: float) -> str | None:
        """Find the target that a prompt was sent to last."""
        target, at = self._places.get(key, ("", -PLACE_LIFE))
        return target if target and now - at < PLACE_LIFE else None

    def note(self, key: str, target: str, is_news: bool, now: float) -> None:
        """Note where this instance sent a prompt; `is_news` if others would not expect it."""
        self._put(key, target, now)
        if is_news:
            self._news[key] = (target, now)
            self.on_news()

    def hear(self, places: Iterable[Place], now: float) -> None:
        """Take in what another instance tells."""
        for place in places:
            at = now - place.age
            _, known_at = self._places.get(place.key, ("", at - 1.0))
            if at > known_at:
                self._put(place.key, place.target, at)

    def take_news(self, now: float) -> list[Place]:
        """Take what has not been told yet."""
        news = [Place(key, target, now - at) for key, (target, at) in self._news.items()]
        self._news.clear()
        return news

    def list_recent(self, now: float) -> list[Place]:
        """List all that is known and still holds, for an instance that has just joined."""
        return [
            Place(key, target, now - at)
            for key, (target, at) in self._places.items()
            if now - at < PLACE_LIFE
        ]

    def _put(self, key: str, target: str, at: float) -> None:
        self._places[key] = (target, at)
        self._places.move_to_end(key)
        if len(self._places) > MAX_PLACES:
            self._places.popitem(last=False)
