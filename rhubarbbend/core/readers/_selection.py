"""Selects the reader at which an instance waits for changes of the store's tables."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names

# A zone with fewer instances has no readers of its own: below five, the calls saved are not worth
# the additional delay.
MIN_ZONE_INSTANCES: Final = 5
# Small zones together have readers if they have at least this many instances. Below that, their few
# calls cost less than the delay, because loads are relayed through the readers as well.
MIN_GROUP_INSTANCES: Final = 12
# Minimum number of readers of a group of small zones, so that the loss of one zone does not take
# all of them.
MIN_GROUP_READERS: Final = 2
# Instances that wait at one reader. Each sends 2.5 queries a second, and a query takes 0.7 ms of
# processor time at both ends together (measured over loopback): 3% of half a core at the reader.
INSTANCES_PER_READER: Final = 16
# The bandwidth in Mbit/s and the cores that a reader should have: 64 KB of configuration,
# compressed to 11 KB, are then sent to 16 instances within 40 ms. Weaker instances become readers
# only if no others are available.
READER_LINK_MBPS: Final = 40.0
READER_CORES: Final = 1.0
# An instance that listens on all addresses of its machine may send from any of them.
ANY_HOST: Final = ("0.0.0.0", "::")
# Backoff after a reader did not answer, doubled each time. It is long enough that few queries are
# sent in vain, and short compared with the seconds for which a stopped instance is down.
MIN_BACKOFF_S: Final = 2.0
MAX_BACKOFF_S: Final = 16.0


class InstanceRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """An instance's row in the store: the address at which it is reached, and its capacity.

    `link` is in Mbit/s, `cores` in processor seconds a second; 0 if unknown. `sends_from` is the
    instance's own address if the one at which it is reached is an intermediary's.
    """

    zone: str
    host: str
    port: int
    link: float = 0.0
    cores: float = 0.0
    sends_from: tuple[str, int] | None = None

    @property
    def reader_fitness(self) -> float:
        """The fraction, from 0 to 1, of the capacity that a reader should have."""
        return min(1.0, self.link / READER_LINK_MBPS, self.cores / READER_CORES)

    def may_send_from(self, host: str, port: int) -> bool:
        """Return whether a datagram from an address can come from this instance."""
        own_host, own_port = self.sends_from or (self.host, self.port)
        return port == own_port and own_host in (host, *ANY_HOST)


class _Backoff(msgspec.Struct):
    """The backoff of a reader that did not answer: it is not queried before `until`."""

    seconds: float
    until: float


class ReaderGroup(msgspec.Struct, frozen=True):
    """Zones that share readers: one large zone, or all small zones together.

    `order` lists their instances by preference as readers. `readers` is the number of readers, 0 if
    each instance reads the store for itself.
    """

    zones: frozenset[str]
    order: tuple[str, ...]
    readers: int

    def list_readers(self, excluded: Collection[str] = ()) -> list[str]:
        """Return the readers of the group, none of them among the excluded instances."""
        return [name for name in self.order if name not in excluded][: self.readers]


class ReaderSelector:
    """Selects the reader at which this instance waits.

    Invariant: an instance never waits at itself, and waits at no other if its zone has no readers.

    Instances that are gone stay on the list for a while, and lists differ between instances. So
    each instance skips readers that did not answer it. When readers are lost, all instances of
    their zone notice it within a second and select the same successors in the order, which find
    that they are readers now.
    """

    def __init__(self, instance: str, zone: str) -> None:
        self._instance = instance
        self._zone = zone
        self._backoffs: dict[str, _Backoff] = {}
        # The list from which the groups were computed; a changed list is a new object.
        self._instances: Mapping[str, InstanceRow] = {}
        self._groups: list[ReaderGroup] = []

    def select_reader(self, instances: Mapping[str, InstanceRow], now: float) -> str | None:
        """Return the reader to wait at; None if this instance has to read the store itself."""
        readers = self._list_own_readers(instances, now)
        if not readers or self._instance in readers:
            return None
        in_zone = [name for name in readers if instances[name].zone == self._zone]
        return rank_names(self._instance, in_zone or readers)[0]

    def is_reader(self, instances: Mapping[str, InstanceRow], now: float) -> bool:
        """Return whether others wait at this instance, according to its list of instances."""
        return self._instance in self._list_own_readers(instances, now)

    def list_relays(self, instances: Mapping[str, InstanceRow], now: float) -> list[str]:
        """Return the instances to notify of an update so that it reaches all reachable instances.

        Readers relay the update to the instances that wait at them.
        """
        silent = self._list_backed_off(now)
        relays: list[str] = []
        for group in self._find_groups(instances):
            relays += group.list_readers(silent) or group.order
        return [name for name in relays if name != self._instance]

    def record_answer(self, reader: str) -> None:
        """Record that a reader answered, which ends its backoff."""
        self._backoffs.pop(reader, None)

    def record_no_answer(self, reader: str, now: float) -> None:
        """Record that a reader did not answer or that its answer was too old, and back off."""
        previous = self._backoffs.get(reader)
        seconds = MIN_BACKOFF_S if previous is None else min(MAX_BACKOFF_S, 2.0 * previous.seconds)
        self._backoffs[reader] = _Backoff(seconds, now + seconds)

    def _list_own_readers(self, instances: Mapping[str, InstanceRow], now: float) -> list[str]:
        """Return the readers of this instance's zone.

        A silent reader of another zone makes its whole zone count as silent: the zone may be
        partitioned, and querying its instances one by one would take longer than most partitions.
        """
        group = next((g for g in self._find_groups(instances) if self._zone in g.zones), None)
        if group is None:
            return []
        silent = self._list_backed_off(now)
        silent_zones = {instances[name].zone for name in silent if name in instances} - {self._zone}
        if silent_zones:
            silent |= {name for name in group.order if instances[name].zone in silent_zones}
        return group.list_readers(silent)

    def _find_groups(self, instances: Mapping[str, InstanceRow]) -> list[ReaderGroup]:
        if instances is not self._instances:
            self._instances = instances
            self._groups = form_groups(instances)
        return self._groups

    def _list_backed_off(self, now: float) -> set[str]:
        return {name for name, backoff in self._backoffs.items() if now < backoff.until}


def form_groups(instances: Mapping[str, InstanceRow]) -> list[ReaderGroup]:
    """Return the groups of zones, the same at every instance that has the same list.

    Within a group, instances with the capacity that a reader should have come before weaker ones;
    among equals, the first of each zone comes before the second of any. Otherwise rendezvous order
    decides, so that an instance that joins or leaves changes the reader of few others.
    """
    sizes = Counter(row.zone for row in instances.values())
    large = [frozenset({zone}) for zone, size in sizes.items() if size >= MIN_ZONE_INSTANCES]
    small = frozenset(zone for zone, size in sizes.items() if size < MIN_ZONE_INSTANCES)
    groups: list[ReaderGroup] = []
    for zones in (*large, small):
        order = _rank_readers({n: row for n, row in instances.items() if row.zone in zones})
        count = -(-len(order) // INSTANCES_PER_READER)
        if zones is small:
            count = max(MIN_GROUP_READERS, count) if len(order) >= MIN_GROUP_INSTANCES else 0
        groups.append(ReaderGroup(zones, order, count))
    return groups


def _rank_readers(members: Mapping[str, InstanceRow]) -> tuple[str, ...]:
    ranked: list[str] = []
    for zone in sorted({row.zone for row in members.values()}):
        ranked += rank_names(zone, [name for name, row in members.items() if row.zone == zone])
    ranked.sort(key=lambda name: members[name].reader_fitness, reverse=True)
    ranked_in_zone: Counter[str] = Counter()
    sort_keys: dict[str, tuple[float, int]] = {}
    for name in ranked:
        row = members[name]
        sort_keys[name] = (-row.reader_fitness, ranked_in_zone[row.zone])
        ranked_in_zone[row.zone] += 1
    return tuple(sorted(ranked, key=sort_keys.__getitem__))


def list_zone_readers(
    instances: Mapping[str, InstanceRow], zone: str, excluded: Collection[str] = ()
) -> list[str]:
    """Return the readers of a zone, none of them among the excluded instances.

    The list is empty if each instance of the zone reads the store for itself.
    """
    group = next((group for group in form_groups(instances) if zone in group.zones), None)
    return [] if group is None else group.list_readers(excluded)
