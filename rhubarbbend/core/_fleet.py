"""The local view of the fleet: known instances and targets, target owners, and load sums.

Views are built from the platform's list, which lags, and from heartbeats, which are sent only
within a zone. The views of two instances may therefore differ for seconds, and then the two may
also disagree on the owner of a target; the owner component tolerates this.
"""

from __future__ import annotations

from typing import Final

import attrs
import xxhash

from rhubarbbend.core.configuration import Configuration, Service

KIND_INSTANCE: Final = "instance"
KIND_TARGET: Final = "target"
STATE_LEAVING: Final = "leaving"


def compute_rendezvous_weight(key: str, candidate: str) -> int:
    """Return the rendezvous hashing weight of a candidate for a key; the highest weight wins."""
    return xxhash.xxh64_intdigest(f"{key}|{candidate}".encode())


@attrs.define(slots=True)
class InstanceView:
    """What this instance knows about an instance (itself included); times are local times."""

    id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int = 0
    # Whether the instance is leaving, according to the platform's list and according to its own
    # messages; one of the two is sufficient.
    listed_leaving: bool = False
    reported_leaving: bool = False
    listed: bool = False
    first_seen: float = 0.0
    last_message_at: float = -1.0
    # Local time since which messages to an instance of another zone have failed; negative while
    # they are delivered.
    unreachable_since: float = -1.0
    config_version: int = 0
    # Local time at which `config_version` was last received, in a heartbeat or in a reply to a
    # query.
    version_received_at: float = -1.0

    @property
    def leaving(self) -> bool:
        """Whether the instance is leaving the fleet, so that others must take over its targets."""
        return self.listed_leaving or self.reported_leaving


@attrs.define(slots=True)
class TargetView:
    """What this instance knows about a target.

    The load comes from the owner of the target and may be a second old.
    """

    id: str
    service_name: str
    zone: str
    host: str
    port: int
    leaving: bool = False
    # Whether the last list that was read marks the target as leaving; `leaving` is also set by
    # messages of peers.
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
    """Total load and number of targets of one service."""

    load: int = 0
    targets: int = 0


@attrs.define(slots=True)
class ZoneSums:
    """Load sums of another zone by service, and the local time at which they were received."""

    heard_at: float
    sums: dict[str, LoadSum]


class Fleet:
    """All views of instances and targets, with target ownership and load sums derived from them.

    Invariants: `_owners` caches owners computed from the current live set; `_sums` is the sum over
    `_summed_targets`, which `update_load_sums` updates whenever the view of a target changes.
    """

    def __init__(self, own_id: str, own_zone: str, silence_timeout_s: float) -> None:
        self.own_id = own_id
        self.own_zone = own_zone
        self.instances: dict[str, InstanceView] = {}
        self.targets: dict[str, TargetView] = {}
        self.zone_sums: dict[str, ZoneSums] = {}
        self._silence_timeout_s = silence_timeout_s
        self._targets_by_service: dict[str, list[TargetView]] = {}
        self._owners: dict[str, str] = {}
        self._live_by_zone: dict[str, tuple[str, ...]] = {}
        self._sums: dict[str, LoadSum] = {}
        self._summed_targets: dict[str, tuple[str, int]] = {}
        self._summed_config_version = -1

    def is_live(self, view: InstanceView, now: float) -> bool:
        """Return whether an instance is believed to be alive, so that it may be given work.

        An instance of the own zone is alive if its last message arrived within the silence
        timeout. Before its first message it is alive while it is listed, for that time after it
        was first seen. An instance of another zone is alive while it is listed, unless messages to
        it have failed for longer than the timeout.
        """
        if view.id == self.own_id:
            return True
        if view.zone != self.own_zone:
            is_lost = (
                view.unreachable_since >= 0
                and now - view.unreachable_since > self._silence_timeout_s
            )
            return view.listed and not is_lost
        if view.last_message_at >= 0:
            return now - view.last_message_at <= self._silence_timeout_s
        return view.listed and now - view.first_seen <= self._silence_timeout_s

    def is_reachable(self, instance: str) -> bool:
        """Return whether an instance is known and the last message to it was delivered."""
        view = self.instances.get(instance)
        return view is not None and view.unreachable_since < 0

    def refresh_live(self, now: float) -> bool:
        """Recompute the live instances and update cached owners; return whether the set changed."""
        live: dict[str, list[str]] = {}
        for view in self.instances.values():
            if not view.leaving and self.is_live(view, now):
                live.setdefault(view.zone, []).append(view.id)
        current = {zone: tuple(sorted(ids)) for zone, ids in live.items()}
        if current == self._live_by_zone:
            return False
        previous, self._live_by_zone = self._live_by_zone, current
        if previous.keys() != current.keys():
            # The targets of a zone without instances are owned from another zone, so the owners
            # of any zone may change.
            self._owners.clear()
            return True
        for zone, ids in current.items():
            if ids != previous[zone]:
                self._update_zone_owners(zone, set(previous[zone]), set(ids))
        return True

    def _update_zone_owners(self, zone: str, previous: set[str], current: set[str]) -> None:
        """Update only those cached owners that a change of the zone's instances affects."""
        joined = sorted(current - previous)
        for target, owner in list(self._owners.items()):
            if owner not in current and owner in previous:
                del self._owners[target]
            elif owner in current:
                best = max(
                    [owner, *joined],
                    key=lambda instance: compute_rendezvous_weight(target, instance),
                )
                self._owners[target] = best

    def find_owner(self, target: TargetView) -> str:
        """Return the id of the target's owner.

        The owner is chosen by rendezvous hashing among the live instances of the target's zone. If
        that zone has none, it is chosen from the next zone in name order (wrapping around), so that
        the targets of a zone outlive its instances.
        """
        owner = self._owners.get(target.id)
        if owner is None:
            owner = self._compute_owner(target)
            self._owners[target.id] = owner
        return owner

    def list_live(self, zone: str) -> tuple[str, ...]:
        """Return the ids of the live instances of a zone that are not leaving, sorted."""
        return self._live_by_zone.get(zone, ())

    def list_zones(self) -> list[str]:
        """Return the names of the zones that have live instances, sorted."""
        return sorted(self._live_by_zone)

    def list_targets(self, service_name: str) -> list[TargetView]:
        """Return the known targets of a service."""
        return self._targets_by_service.get(service_name, [])

    def add_target(self, view: TargetView) -> None:
        """Add a target seen for the first time."""
        self.targets[view.id] = view
        self._targets_by_service.setdefault(view.service_name, []).append(view)

    def remove_target(self, target: str) -> None:
        """Remove a target that has left the platform's list."""
        view = self.targets.pop(target, None)
        self._owners.pop(target, None)
        self._remove_from_sums(target)
        if view is not None:
            self._targets_by_service[view.service_name].remove(view)

    def update_load_sums(self, view: TargetView, configuration: Configuration) -> None:
        """Update the load sums after the view of a target has changed.

        The mean load is needed for each slot that is granted. Summing over every target of the
        service each time would cost more than the rest of the decision.
        """
        self._remove_from_sums(view.id)
        is_available = view.updated >= 0 and view.ready and not view.leaving
        if is_available and configuration.is_target_in_service(view.id, view.zone):
            entry = self._sums.setdefault(view.service_name, LoadSum())
            entry.load += view.load
            entry.targets += 1
            self._summed_targets[view.id] = (view.service_name, view.load)

    def is_in_load_sums(self, target: str) -> bool:
        """Return whether the load of a target is included in the sums."""
        return target in self._summed_targets

    def compute_own_zone_sums(self, configuration: Configuration) -> dict[str, LoadSum]:
        """Return load and number of the ready targets owned by the own zone, by service."""
        self._recompute_sums_on_config_change(configuration)
        return {name: entry for name, entry in self._sums.items() if entry.targets}

    def compute_total_load(self, service: Service, configuration: Configuration) -> tuple[int, int]:
        """Return the total load and number of the service's ready targets in all zones in service.

        The mean load is their quotient.
        """
        self._recompute_sums_on_config_change(configuration)
        own = self._sums.get(service.name)
        load, count = (own.load, own.targets) if own is not None else (0, 0)
        for zone, received in self.zone_sums.items():
            entry = received.sums.get(service.name)
            if entry is not None and configuration.is_zone_in_service(zone):
                load += entry.load
                count += entry.targets
        return load, count

    def expire_loads(self, configuration: Configuration, oldest: float) -> None:
        """Discard loads that were last received before the local time `oldest`.

        The sums of a partitioned zone, and the load of a target that no longer has an owner, would
        otherwise distort the mean for ever.
        """
        for zone in [
            name for name, received in self.zone_sums.items() if received.heard_at < oldest
        ]:
            del self.zone_sums[zone]
        for view in self.targets.values():
            if 0 <= view.updated < oldest:
                view.updated = -1.0
                view.ready = False
                self.update_load_sums(view, configuration)

    def _recompute_sums_on_config_change(self, configuration: Configuration) -> None:
        """Recompute the sums if the configuration changed: targets may be out of service now."""
        if configuration.version == self._summed_config_version:
            return
        self._summed_config_version = configuration.version
        for view in self.targets.values():
            self.update_load_sums(view, configuration)

    def _remove_from_sums(self, target: str) -> None:
        counted = self._summed_targets.pop(target, None)
        if counted is not None:
            entry = self._sums[counted[0]]
            entry.load -= counted[1]
            entry.targets -= 1

    def _compute_owner(self, target: TargetView) -> str:
        zones = self.list_zones()
        if not zones:
            return self.own_id
        zone = target.zone
        if zone not in self._live_by_zone:
            later = [name for name in zones if name > zone]
            zone = later[0] if later else zones[0]
        return max(
            self._live_by_zone[zone],
            key=lambda instance: compute_rendezvous_weight(target.id, instance),
        )
