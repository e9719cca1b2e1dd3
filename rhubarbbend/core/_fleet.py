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
    leaving: bool = False
    listed: bool = False
    first_seen: float = 0.0
    last_heard: float = -1.0
    silent_until: float = 0.0
    config_version: int = 0
    # When `config_version` was last told, by heartbeat or in answer to a question.
    version_heard: float = -1.0


@attrs.define(slots=True)
class TargetView:
    """A target as seen from here; load figures are its owner's and may be a second old."""

    id: str
    service_name: str
    zone: str
    host: str
    port: int
    leaving: bool = False
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


class Fleet:
    """All views. Invariant: `_owners` is only valid for the live set it was computed from."""

    def __init__(self, own_id: str, own_zone: str, silence: float) -> None:
        self.own_id = own_id
        self.own_zone = own_zone
        self.instances: dict[str, InstanceView] = {}
        self.targets: dict[str, TargetView] = {}
        self.zone_sums: dict[str, dict[str, tuple[int, int]]] = {}
        self._silence = silence
        self._by_service: dict[str, list[TargetView]] = {}
        self._owners: dict[str, str] = {}
        self._live: dict[str, tuple[str, ...]] = {}

    def is_live(self, view: InstanceView, now: float) -> bool:
        """Whether an instance may be given work as far as this one can tell."""
        if view.id == self.own_id:
            return True
        if view.silent_until > now:
            return False
        if view.zone != self.own_zone:
            return view.listed
        if view.last_heard >= 0:
            return now - view.last_heard <= self._silence
        return view.listed and now - view.first_seen <= self._silence

    def refresh_live(self, now: float) -> bool:
        """Recompute who is live; True if the set changed, which forgets computed owners."""
        live: dict[str, list[str]] = {}
        for view in self.instances.values():
            if not view.leaving and self.is_live(view, now):
                live.setdefault(view.zone, []).append(view.id)
        fresh = {zone: tuple(sorted(ids)) for zone, ids in live.items()}
        if fresh == self._live:
            return False
        self._live = fresh
        self._owners.clear()
        return True

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
        if view is not None:
            self._by_service[view.service_name].remove(view)

    def compute_sums(self) -> dict[str, tuple[int, int]]:
        """Sum load and count of the ready targets of the own zone, by service."""
        sums: dict[str, tuple[int, int]] = {}
        for view in self.targets.values():
            if view.zone == self.own_zone and view.ready and not view.leaving:
                load, count = sums.get(view.service_name, (0, 0))
                sums[view.service_name] = (load + view.load, count + 1)
        return sums

    def compute_mean(self, service: Service, configuration: Configuration) -> tuple[int, int]:
        """Give the load and number of the service's ready targets over every zone in service."""
        load = 0
        count = 0
        for view in self.list_targets(service.name):
            counted = view.zone == self.own_zone and view.ready and not view.leaving
            if counted and configuration.is_target_in_service(view.id, view.zone):
                load += view.load
                count += 1
        for zone, sums in self.zone_sums.items():
            if zone != self.own_zone and configuration.is_zone_in_service(zone):
                more, targets = sums.get(service.name, (0, 0))
                load += more
                count += targets
        return load, count

    def _compute_owner(self, target: TargetView) -> str:
        zones = self.list_zones()
        if not zones:
            return self.own_id
        zone = target.zone
        if zone not in self._live:
            later = [name for name in zones if name > zone]
            zone = later[0] if later else zones[0]
        return max(self._live[zone], key=lambda instance: rank(target.id, instance))
