"""What an instance believes about the other instances and the targets, and who owns what.

Views come from the platform's list, which lags, and from heartbeats, which do not cross zones.
Two instances may therefore hold different views for seconds; ownership is only as agreed as they
are, which the owner duty allows for.
"""

from __future__ import annotations

from typing import Final

import attrs
import xxhash

from rhubarbbend.core.configuration import Configuration, Service

KIND_INSTANCE: Final = "instance"
KIND_TARGET: Final = "target"
STATE_LEAVING: Final = "leaving"


def rank(key: str, candidate: str) -> int:
    """Give the rendezvous weight of a candidate for a key; the highest comes first."""
    return xxhash.xxh64_intdigest(f"{key}|{candidate}".encode())


@attrs.define(slots=True)
class InstanceView:
    """Another instance (or this one) as seen from here. Times are of the local clock."""

    id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int = 0
    # The list and the instance itself each say whether it leaves; either word is enough.
    listed_leaving: bool = False
    said_leaving: bool = False
    listed: bool = False
    first_seen: float = 0.0
    last_heard: float = -1.0
    # Since when messages to an instance of another zone have failed; negative: they do not.
    lost_since: float = -1.0
    config_version: int = 0
    # When `config_version` was last told, by heartbeat or in answer to a question.
    version_heard: float = -1.0

    @property
    def leaving(self) -> bool:
        """Whether it gives up its duties."""
        return self.listed_leaving or self.said_leaving


@attrs.define(slots=True)
class TargetView:
    """A target as seen from here; load figures are its owner's and may be a second old."""

    id: str
    service_name: str
    zone: str
    host: str
    port: int
    leaving: bool = False
    # What the last list read here said; `leaving` is also set by a peer's word.
    listed_leaving: bool = False
    listed: bool = True
    boot_id: str = ""
    load: int = 0
    limit: int = 0
    ready: bool = False
    cold: bool = True
    models: list[str] = attrs.Factory(list)
    updated: float = -1.0
    down_until: float = 0.0
    index: int = 0


@attrs.define(slots=True)
class LoadSum:
    """Load and number of some targets of a service."""

    load: int = 0
    targets: int = 0


@attrs.define(slots=True)
class ZoneSums:
    """What another zone said of its load, by service, and when."""

    heard_at: float
    sums: dict[str, LoadSum]


class Fleet:
    """All views.

    Invariants: `_owners` holds owners computed from the present live set; `_sums` is the sum over
    `_counted`, which `note_target` keeps in step with the views of the targets.
    """

    def __init__(self, own_id: str, own_zone: str, silence: float) -> None:
        self.own_id = own_id
        self.own_zone = own_zone
        self.instances: dict[str, InstanceView] = {}
        self.targets: dict[str, TargetView] = {}
        self.zone_sums: dict[str, ZoneSums] = {}
        self._silence = silence
        self._by_service: dict[str, list[TargetView]] = {}
        self._owners: dict[str, str] = {}
        self._live: dict[str, tuple[str, ...]] = {}
        self._sums: dict[str, LoadSum] = {}
        self._counted: dict[str, tuple[str, int]] = {}
        self._counted_version = -1

    def is_live(self, view: InstanceView, now: float) -> bool:
        """Whether an instance may be given work as far as this one can tell."""
        if view.id == self.own_id:
            return True
        if view.zone != self.own_zone:
            lost = view.lost_since >= 0 and now - view.lost_since > self._silence
            return view.listed and not lost
        if view.last_heard >= 0:
            return now - view.last_heard <= self._silence
        return view.listed and now - view.first_seen <= self._silence

    def is_reachable(self, instance: str) -> bool:
        """Whether the last message to an instance was not lost."""
        view = self.instances.get(instance)
        return view is not None and view.lost_since < 0

    def refresh_live(self, now: float) -> bool:
        """Recompute who is live; True if the set changed, which forgets the owners it concerns."""
        live: dict[str, list[str]] = {}
        for view in self.instances.values():
            if not view.leaving and self.is_live(view, now):
                live.setdefault(view.zone, []).append(view.id)
        fresh = {zone: tuple(sorted(ids)) for zone, ids in live.items()}
        if fresh == self._live:
            return False
        former, self._live = self._live, fresh
        if former.keys() != fresh.keys():
            # A zone without instances is owned from another, so any zone may be concerned.
            self._owners.clear()
            return True
        for zone, ids in fresh.items():
            if ids != former[zone]:
                self._move_owners(zone, set(former[zone]), set(ids))
        return True

    def _move_owners(self, zone: str, former: set[str], fresh: set[str]) -> None:
        """Recompute the owners that a change of a zone's instances concerns, and no others."""
        joined = sorted(fresh - former)
        for target, owner in list(self._owners.items()):
            if owner not in fresh and owner in former:
                del self._owners[target]
            elif owner in fresh:
                best = max([owner, *joined], key=lambda instance: rank(target, instance))
                self._owners[target] = best

    def find_owner(self, target: TargetView) -> str:
        """Find the owner of a target: the first in rendezvous order of its zone's instances.

        A zone whose instances are all gone but whose targets live is owned from the next zone in
        name order, so that its targets are not lost with its instances.
        """
        owner = self._owners.get(target.id)
        if owner is None:
            owner = self._compute_owner(target)
            self._owners[target.id] = owner
        return owner

    def list_live(self, zone: str) -> tuple[str, ...]:
        """List the live instances of a zone that are not leaving."""
        return self._live.get(zone, ())

    def list_zones(self) -> list[str]:
        """List the zones that have live instances."""
        return sorted(self._live)

    def list_targets(self, service_name: str) -> list[TargetView]:
        """List the known targets of a service."""
        return self._by_service.get(service_name, [])

    def add_target(self, view: TargetView) -> None:
        """Add a target seen for the first time."""
        self.targets[view.id] = view
        self._by_service.setdefault(view.service_name, []).append(view)

    def remove_target(self, target: str) -> None:
        """Forget a target that has left the list."""
        view = self.targets.pop(target, None)
        self._owners.pop(target, None)
        self._uncount(target)
        if view is not None:
            self._by_service[view.service_name].remove(view)

    def note_target(self, view: TargetView, configuration: Configuration) -> None:
        """Bring the sums in line with a view that has changed.

        The mean is needed for each slot that is granted; summing every target of the service each
        time would cost more than all the rest of the decision.
        """
        self._uncount(view.id)
        heard = view.updated >= 0 and view.ready and not view.leaving
        if heard and configuration.is_target_in_service(view.id, view.zone):
            entry = self._sums.setdefault(view.service_name, LoadSum())
            entry.load += view.load
            entry.targets += 1
            self._counted[view.id] = (view.service_name, view.load)

    def is_counted(self, target: str) -> bool:
        """Whether a target's load is part of the sums."""
        return target in self._counted

    def compute_sums(self, configuration: Configuration) -> dict[str, LoadSum]:
        """Sum load and count of the ready targets that the own zone's instances own."""
        self._follow_configuration(configuration)
        return {name: entry for name, entry in self._sums.items() if entry.targets}

    def compute_mean(self, service: Service, configuration: Configuration) -> tuple[int, int]:
        """Give the load and number of the service's ready targets over every zone in service."""
        self._follow_configuration(configuration)
        own = self._sums.get(service.name)
        load, count = (own.load, own.targets) if own is not None else (0, 0)
        for zone, heard in self.zone_sums.items():
            entry = heard.sums.get(service.name)
            if entry is not None and configuration.is_zone_in_service(zone):
                load += entry.load
                count += entry.targets
        return load, count

    def drop_stale(self, configuration: Configuration, oldest: float) -> None:
        """Forget loads that were last heard before `oldest`.

        The sums of a zone that is cut off, and the load of a target that nobody owns any more,
        would otherwise weigh on the mean for ever.
        """
        for zone in [name for name, heard in self.zone_sums.items() if heard.heard_at < oldest]:
            del self.zone_sums[zone]
        for view in self.targets.values():
            if 0 <= view.updated < oldest:
                view.updated = -1.0
                view.ready = False
                self.note_target(view, configuration)

    def _follow_configuration(self, configuration: Configuration) -> None:
        """Sum afresh when another version is in force: other zones or targets may be out."""
        if configuration.version == self._counted_version:
            return
        self._counted_version = configuration.version
        for view in self.targets.values():
            self.note_target(view, configuration)

    def _uncount(self, target: str) -> None:
        counted = self._counted.pop(target, None)
        if counted is not None:
            entry = self._sums[counted[0]]
            entry.load -= counted[1]
            entry.targets -= 1

    def _compute_owner(self, target: TargetView) -> str:
        zones = self.list_zones()
        if not zones:
            return self.own_id
        zone = target.zone
        if zone not in self._live:
            later = [name for name in zones if name > zone]
            zone = later[0] if later else zones[0]
        return max(self._live[zone], key=lambda instance: rank(target.id, instance))
