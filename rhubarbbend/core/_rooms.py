"""Loads of other zones' targets, packed into a few bytes each for the answers between zones.

Names would make an answer several times as long; at 950 targets in five zones that is the larger
part of what an instance may spend on control. A hash of the name stands for it. Two names with one
hash would exchange their loads, which are hints: it costs a question to a full target.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import Final

import attrs
import xxhash

from rhubarbbend.core._fleet import TargetView

ENTRY: Final = struct.Struct(">IBB")
HIGHEST: Final = 255


@attrs.define(slots=True, frozen=True)
class Room:
    """Load and limit of a target of another zone."""

    load: int
    limit: int


@attrs.define(slots=True, frozen=True)
class _ZoneRooms:
    heard_at: float
    rooms: dict[int, Room]


class Rooms:
    """What each other zone last said of its targets. Hints only: they are seconds old."""

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._zones: dict[str, _ZoneRooms] = {}

    def take(self, zone: str, data: bytes, now: float) -> None:
        """Take a zone's answer in place of its last one."""
        self._zones[zone] = _ZoneRooms(now, dict(unpack_rooms(data)))

    def find(self, zone: str, target: str, now: float) -> Room | None:
        """Find a target's load if its zone has told it lately."""
        heard = self._zones.get(zone)
        if heard is None or now - heard.heard_at > self._max_age:
            return None
        return heard.rooms.get(hash_name(target))


def hash_name(target: str) -> int:
    """Hash a target's name to the four bytes that stand for it."""
    return xxhash.xxh32_intdigest(target.encode())


def pack_rooms(views: Iterable[TargetView]) -> bytes:
    """Pack the loads of targets."""
    return b"".join(
        ENTRY.pack(hash_name(view.id), min(view.load, HIGHEST), min(view.limit, HIGHEST))
        for view in views
    )


def unpack_rooms(data: bytes) -> Iterator[tuple[int, Room]]:
    """Unpack loads by hashed name; a cut entry at the end is ignored."""
    whole = len(data) - len(data) % ENTRY.size
    for name, load, limit in ENTRY.iter_unpack(data[:whole]):
        yield name, Room(load, limit)
