"""What instances tell one another beside the store's tables, passed on by readers."""

from __future__ import annotations

from collections import deque
from typing import Final, Generic, TypeVar

import msgspec

T = TypeVar("T")
# Items that a reader keeps for those that wait at it. At the busiest, chats that move with a zone,
# some hundred come in a second, and a listener asks again within one.
MAX_KEPT: Final = 1_000


class NewsPage(msgspec.Struct, Generic[T], array_like=True):
    """Items after a reader's position, and the position after them."""

    items: list[T]
    position: int


class NewsLog(Generic[T]):
    """The newest items, by number. Invariant: the last item has the number `position`.

    Items are hints: one that is lost costs a prompt that is read again. So a listener that comes
    from another log, or is too far behind, gets what is kept or nothing, and no item is confirmed.
    """

    def __init__(self) -> None:
        self.position = 0
        self._items: deque[T] = deque(maxlen=MAX_KEPT)

    def add(self, item: T) -> None:
        """Add an item."""
        self._items.append(item)
        self.position += 1

    def list_after(self, position: int | None) -> NewsPage[T]:
        """Give what came after a position; nothing for a listener that has none yet."""
        if position is None or position > self.position:
            return NewsPage([], self.position)
        count = min(self.position - position, len(self._items))
        items = list(self._items)[len(self._items) - count :]
        return NewsPage(items, self.position)
