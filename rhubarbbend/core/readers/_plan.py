"""Decides whom an instance waits at for changes of the store's tables."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names

# A zone with fewer instances has no readers: each reads the store itself. A reader calls it twice
# as often as one that reads for itself alone; below five the calls saved are not worth waiting.
LEAST_ZONE: Final = 5
# Instances that wait at one reader. Each asks 2.5 times a second, and an ask takes 0.7 ms of
# processor time at both ends together (measured over loopback): 3% of half a core at the reader.
ZONE_PART: Final = 16
# What a reader should have, in Mbit/s and cores: 64 KB of configuration are compressed to 11 KB and
# goes out to 16 instances within 40 ms. Weaker ones read only if there are no others.
NEEDED_LINK: Final = 40.0
NEEDED_CORES: Final = 1.0
# A reader that gave no answer is left alone for so long in seconds, doubled each time: long enough
# to be seldom asked in vain, short against the seconds for which an instance is stopped.
FIRST_REST: Final = 2.0
LONGEST_REST: Final = 16.0


class InstanceRow(msgspec.Struct, frozen=True):
    """What an instance tells of itself in the store: where it is reached and what it can bear.

    `link` is in Mbit/s, `cores` in processor seconds a second; 0 if not told.
    """

    zone: str
    host: str
    port: int
    link: float = 0.0
    cores: float = 0.0

    @property
    def strength(self) -> float:
        """What the instance has of what a reader should have, from 0 to 1."""
        return min(1.0, self.link / NEEDED_LINK, self.cores / NEEDED_CORES)


class _Rest(msgspec.Struct):
    """A reader that gave no answer is not asked before `until`."""

    length: float
    until: float


class ReaderPlan:
    """Whom this instance waits at. Invariant: never at itself, and at nobody in a small zone.

    Instances that are gone stay on the list for a while, and lists differ. So every instance passes
    over those that gave it no answer: when readers go, all of their zone find that out within a
    second and come to the same next ones in the order, which find that they are readers now.
    """

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        self._rests: dict[str, _Rest] = {}

    def choose(self, instances: Mapping[str, InstanceRow], now: float) -> str | None:
        """Choose the instance to wait at; None if this one has to read the store itself."""
        readers = list_zone_readers(instances, self._zone, self._list_resting(now))
        if not readers or self._instance in readers:
            return None
        return rank_names(self._instance, readers)[0]

    def is_reader(self, instances: Mapping[str, InstanceRow], now: float) -> bool:
        """Whether others wait at this instance, as far as it can tell."""
        return self._instance in list_zone_readers(instances, self._zone, self._list_resting(now))

    def list_relays(self, instances: Mapping[str, InstanceRow], now: float) -> list[str]:
        """List the instances to tell of something, so that it reaches all that can be reached.

        In a large zone its readers pass on to those that wait there.
        """
        resting = self._list_resting(now)
        relays: list[str] = []
        for zone in {row.zone for row in instances.values()}:
            members = [name for name, row in instances.items() if row.zone == zone]
            relays += list_zone_readers(instances, zone, resting) or members
        return [name for name in relays if name != self._instance]

    def note_answer(self, reader: str) -> None:
        """Note that a reader answered."""
        self._rests.pop(reader, None)

    def note_silence(self, reader: str, now: float) -> None:
        """Note that a reader gave no answer, or one too old to be of use."""
        known = self._rests.get(reader)
        length = FIRST_REST if known is None else min(LONGEST_REST, 2.0 * known.length)
        self._rests[reader] = _Rest(length, now + length)

    def _list_resting(self, now: float) -> set[str]:
        return {name for name, rest in self._rests.items() if now < rest.until}


def list_zone_readers(
    instances: Mapping[str, InstanceRow], zone: str, without: set[str] | None = None
) -> list[str]:
    """List the readers of a zone, the same at every instance that has the same list.

    Those that have what a reader needs come before those that have less, and otherwise
    rendezvous order decides, so that an instance that joins or leaves moves few. Empty for a
    small zone, in which each instance reads for itself.
    """
    members = {name: row for name, row in instances.items() if row.zone == zone}
    if len(members) < LEAST_ZONE:
        return []
    count = -(-len(members) // ZONE_PART)
    ranked = rank_names(zone, members)
    ranked.sort(key=lambda name: members[name].strength, reverse=True)
    return [name for name in ranked if name not in (without or ())][:count]
