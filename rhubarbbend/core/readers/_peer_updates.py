"""A log of updates between instances that are not stored in tables; readers relay them."""

from __future__ import annotations

from collections import deque
from typing import Final, Generic, TypeVar

import msgspec

T = TypeVar("T")
# Items that a reader keeps for the instances that wait at it. At the peak, when a zone's chats move
# elsewhere, some hundred items arrive a second, and a listener asks again within one second.
MAX_ITEMS: Final = 1_000


class PeerUpdatePage(msgspec.Struct, Generic[T], array_like=True):
    """Items after a listener's position, and the position after the last of them."""

    items: list[T]
    position: int


class PeerUpdateLog(Generic[T]):
    """A bounded log of numbered items. Invariant: the last item has the number `position`.

    Items are hints: losing one only costs another prefill of a prompt. So no item is acknowledged,
    a listener that is too far behind gets only the items still kept, and one whose position is of
    another instance's log may get none.
    """

    def __init__(self) -> None:
        self.position = 0
        self._items: deque[T] = deque(maxlen=MAX_ITEMS)

    def add(self, item: T) -> None:
        """Append an item."""
        self._items.append(item)
        self.position += 1

    def list_after(self, position: int | None) -> PeerUpdatePage[T]:
        """Return the items after a position.

        The page is empty for a listener without a position yet, and for one whose position lies
        beyond this log.
        """
        if position is None or position > self.position:
            return PeerUpdatePage([], self.position)
        count = min(self.position - position, len(self._items))
        items = list(self._items)[len(self._items) - count :]
        return PeerUpdatePage(items, self.position)
