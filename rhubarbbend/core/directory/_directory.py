"""Tracks the registrations of targets and the zones that operators have taken out of service.

A registration can arrive late, be forged or unreadable, or expire during an outage of the store.
Its content is applied only where it cannot send requests to a target that must not receive any.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

import msgspec

from rhubarbbend.core.directory._targets import Target, TargetRecord, TargetState

# A registration that expired during an outage of the store is written again within two seconds of
# the store's recovery if the target is alive; one that is missing for longer counts as removed.
REREGISTRATION_WINDOW_S: Final = 2.2
# How long the last state of a removed target is kept, so that a late write of its registration
# does not make it ready again after it has started to drain.
REMOVED_TARGET_TTL_S: Final = 600.0


class DirectoryOptions(msgspec.Struct, frozen=True):
    """Durations in seconds for which an uncertain state of a target is assumed.

    A target that has really left may receive requests for at most `missing_registration_grace_s`
    after its registration went missing. The targets of a zone may have become cold while it was out
    of service; their registrations report that within `assumed_cold_time_s`, and until then they
    are treated as cold.
    """

    missing_registration_grace_s: float = 1.7
    assumed_cold_time_s: float = 2.0


class TargetRegistry:
    """All known targets. Invariant: a target that has started to drain is never ready again."""

    def __init__(self, options: DirectoryOptions | None = None) -> None:
        self._options = options or DirectoryOptions()
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._versions: dict[str, Counter[str]] = {}
        # When the last target of each version that a service had was removed.
        self._versions_left_at: dict[str, dict[str, float]] = {}
        # Since when no change of the registrations was missed, as far as is known.
        self._followed_since = math.inf
        # The boot and state of each removed target, and when it was removed.
        self._removed: dict[str, tuple[int, TargetState, float]] = {}
        # When operators took each zone out of service; zones in service are left out.
        self._out_of_service_since: dict[str, float] = {}
        # When the store last answered again after an outage.
        self.store_recovered_at = -math.inf
        self._is_first_read = True

    def set_options(self, options: DirectoryOptions) -> None:
        """Replace the options."""
        self._options = options

    def find_out_of_service_since(self, zone: str) -> float | None:
        """Return when a zone was taken out of service; None if it is in service."""
        return self._out_of_service_since.get(zone)

    def find(self, target: str) -> Target | None:
        """Return the target with an id; None if it is unknown."""
        return self._targets.get(target)

    def count(self) -> int:
        """Return the number of known targets."""
        return len(self._targets)

    def list_targets(self) -> list[Target]:
        """Return all known targets."""
        return list(self._targets.values())

    def count_versions(self, service: str) -> Mapping[str, int]:
        """Return the number of registered targets of a service by version."""
        return self._versions.get(service, {})

    def list_versions(self) -> dict[str, list[str]]:
        """Return the versions of the registered targets by service."""
        return {service: list(versions) for service, versions in self._versions.items() if versions}

    def list_versions_since(self, service: str, period_s: float, now: float) -> set[str]:
        """Return the versions of a service that this instance knows of the last `period_s`."""
        left = self._versions_left_at.get(service, {})
        recent = (version for version, at in left.items() if now - at <= period_s)
        return {*self.count_versions(service), *recent}

    def has_followed(self, period_s: float, now: float) -> bool:
        """Return whether no change of the last `period_s` seconds was missed, as far as known."""
        return now - self._followed_since >= period_s

    def list_available(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that may receive requests, in no particular order."""
        return [
            target
            for target in self._by_service.get(service, ())
            if target.state is TargetState.READY
            and target.zone not in self._out_of_service_since
            and (target.expires_at is None or now < target.expires_at)
        ]

    def list_not_draining(self, service: str) -> list[Target]:
        """Return the targets of a service that do not drain, also in zones out of service."""
        targets = self._by_service.get(service, ())
        return [target for target in targets if target.state is TargetState.READY]

    def list_others_in_zone(self, target: Target) -> list[str]:
        """Return the ids of the other targets in a target's zone."""
        return [t.id for t in self._targets.values() if t.zone == target.zone and t is not target]

    def mark_initial_read_complete(self, now: float) -> None:
        """Record that all targets registered before this instance started are now known."""
        self._is_first_read = False
        self._followed_since = min(self._followed_since, now)

    def record_gap(self, now: float) -> None:
        """Record that changes until `now` may have been missed, as while the process was paused."""
        self._followed_since = now

    def record_store_recovery(self, now: float) -> None:
        """Record that the store answers again after an outage, since `now` or earlier.

        A target may have come and gone meanwhile, of which the changes since tell nothing.
        """
        self.store_recovered_at = max(self.store_recovered_at, now)
        self._followed_since = max(self._followed_since, self.store_recovered_at)

    def register(self, record: TargetRecord, now: float) -> Target:
        """Add or update a target from its record and return it; ignore records of old starts."""
        target = self._targets.get(record.id)
        if target is not None and record.boot < target.boot:
            # Written by an earlier start of the target and delivered late.
            return target
        if target is None or record.boot > target.boot:
            target = self._replace(record, now)
        else:
            self._update(target, record, now)
        target.expires_at = None
        return target

    def record_leaving(self, target: Target) -> bool:
        """Record that a target has said itself that it leaves; return False if that was known.

        It holds for this start of the target, also if its registration still says that it is ready,
        or expires and comes back.
        """
        current = self._targets.get(target.id)
        was_known = target.state is TargetState.DRAINING
        target.state = TargetState.DRAINING
        if current is not None and current.boot == target.boot:
            current.state = TargetState.DRAINING
        boot, _, removed_at = self._removed.get(target.id, (-1, TargetState.READY, 0.0))
        if boot == target.boot:
            self._removed[target.id] = (boot, TargetState.DRAINING, removed_at)
        return not was_known

    def unregister(self, target_id: str, now: float) -> None:
        """Handle a missing registration.

        The target is removed at once, unless it is ready and the store has just recovered from an
        outage: then its registration may have expired although the target is alive, and it stays
        until the registration has had time to come back.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        if (
            now - self.store_recovered_at < REREGISTRATION_WINDOW_S
            and target.state is TargetState.READY
        ):
            target.expires_at = min(
                self.store_recovered_at + REREGISTRATION_WINDOW_S,
                now + self._options.missing_registration_grace_s,
            )
            return
        self._remove(target, now)

    def record_unreadable(self, target_id: str, now: float) -> None:
        """Handle a registration that does not describe a target any more.

        Another writer may have replaced it. A target that is alive writes it again at its next
        heartbeat, so one that was ready is used for a moment longer, as it was known.
        """
        target = self._targets.get(target_id)
        if target is None:
            return
        if target.state is TargetState.DRAINING:
            self._remove(target, now)
        elif target.expires_at is None:
            target.expires_at = now + self._options.missing_registration_grace_s

    def expire_unregistered(self, now: float) -> list[Target]:
        """Remove the targets whose registrations did not come back in time, and return them."""
        expired = [
            t for t in self._targets.values() if t.expires_at is not None and now >= t.expires_at
        ]
        for target in expired:
            self._remove(target, now)
        for target_id in [
            t for t, (_, _, at) in self._removed.items() if now - at > REMOVED_TARGET_TTL_S
        ]:
            del self._removed[target_id]
        return expired

    def take_zone_out_of_service(self, zone: str, now: float) -> None:
        """Stop sending requests to the targets of a zone."""
        self._out_of_service_since.setdefault(zone, now)

    def return_zone_to_service(self, zone: str, now: float) -> None:
        """Send requests to a zone's targets again, treating them as cold at first."""
        if self._out_of_service_since.pop(zone, None) is None:
            return
        for target in self._targets.values():
            if target.zone == zone:
                target.cold_until = max(target.cold_until, now + self._options.assumed_cold_time_s)

    def _replace(self, record: TargetRecord, now: float) -> Target:
        old = self._targets.get(record.id)
        if old is not None:
            del self._targets[old.id]
            self._remove_from_indexes(old, now)
        known_since = -math.inf if self._is_first_read else now
        target = Target(record, known_since, now)
        boot, state, _ = self._removed.pop(record.id, (-1, TargetState.READY, 0.0))
        if boot == record.boot and state is TargetState.DRAINING:
            target.state = TargetState.DRAINING
        self._targets[target.id] = target
        self._add_to_indexes(target)
        return target

    def _update(self, target: Target, record: TargetRecord, now: float) -> None:
        if (record.service, record.version) != (target.service, target.version):
            self._remove_from_indexes(target, now)
            target.service = record.service
            target.version = record.version
            self._add_to_indexes(target)
        target.address = (record.host, record.port)
        target.zone = record.zone
        target.slots = record.slots
        if record.state is TargetState.DRAINING:
            target.state = TargetState.DRAINING
        target.cold_until = max(target.cold_until, now + record.cold_left)

    def _remove(self, target: Target, now: float) -> None:
        del self._targets[target.id]
        self._remove_from_indexes(target, now)
        self._removed[target.id] = (target.boot, target.state, now)

    def _add_to_indexes(self, target: Target) -> None:
        self._by_service.setdefault(target.service, []).append(target)
        self._versions.setdefault(target.service, Counter())[target.version] += 1

    def _remove_from_indexes(self, target: Target, now: float) -> None:
        self._by_service[target.service].remove(target)
        versions = self._versions[target.service]
        versions[target.version] -= 1
        if not versions[target.version]:
            del versions[target.version]
            self._versions_left_at.setdefault(target.service, {})[target.version] = now
