"""Follows the registrations of targets and the zones that operators have taken out.

A registration can be late, forged, unreadable or lapse while the store is away; what it says is
taken in only where it cannot send work to a target that must not get any.
"""

from __future__ import annotations

import math
from typing import Final

import msgspec

from rhubarbbend.core.directory._targets import Target, TargetRecord, TargetState

# A registration that lapsed while the store was away is back within two seconds of its return if
# the target lives; one that is still missing then is taken for gone.
LAPSE_WINDOW: Final = 2.2
# How long the end of a target is remembered, so that a late write of its registration does not
# bring it back as ready after it has said that it leaves.
MEMORY: Final = 60.0


class DirectoryOptions(msgspec.Struct, frozen=True):
    """For how many seconds what is uncertain about a target holds.

    A target that has really left may not get work for longer than `lapse_grace` after its
    registration went. The targets of a zone may have turned cold while it was out; their
    registrations say so within `return_caution`, and until then they are taken for cold.
    """

    lapse_grace: float = 1.7
    return_caution: float = 2.0


class Directory:
    """Every target known. Invariant: a target that has begun to leave is never ready again."""

    def __init__(self, options: DirectoryOptions | None = None) -> None:
        self._options = options or DirectoryOptions()
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._ended: dict[str, tuple[int, TargetState, float]] = {}
        # Zones that operators have taken out, and since when.
        self._zones_out: dict[str, float] = {}
        # When the store was last seen to answer again after an outage.
        self.store_returned_at = -math.inf
        self._first_read = True

    def set_options(self, options: DirectoryOptions) -> None:
        """Go by other options from now on."""
        self._options = options

    def find_exit(self, zone: str) -> float | None:
        """Give the time since which a zone is out; None if it is in service."""
        return self._zones_out.get(zone)

    def find(self, target: str) -> Target | None:
        """Find a target by its id."""
        return self._targets.get(target)

    def count(self) -> int:
        """Count the targets known."""
        return len(self._targets)

    def list_service(self, service: str, now: float) -> list[Target]:
        """List the targets of a service that may get work, in no order that means anything."""
        return [
            target
            for target in self._by_service.get(service, ())
            if target.state is TargetState.READY
            and target.zone not in self._zones_out
            and (target.gone_at is None or now < target.gone_at)
        ]

    def list_staying(self, service: str) -> list[Target]:
        """List the targets of a service that do not leave, those of zones that are out included."""
        found = self._by_service.get(service, ())
        return [target for target in found if target.state is TargetState.READY]

    def list_neighbours(self, target: Target) -> list[str]:
        """List the ids of the other targets of a target's zone."""
        return [t.id for t in self._targets.values() if t.zone == target.zone and t is not target]

    def finish_first_read(self) -> None:
        """Note that every target is known that was there before this instance."""
        self._first_read = False

    def note_store_returned(self, now: float) -> None:
        """Note that the store answers again after an outage, since `now` or an earlier time."""
        self.store_returned_at = max(self.store_returned_at, now)

    def register(self, record: TargetRecord, now: float) -> Target:
        """Take in what a target says of itself."""
        target = self._targets.get(record.id)
        if target is not None and record.boot < target.boot:
            # Written by a start that has ended, and delivered late.
            return target
        if target is None or record.boot > target.boot:
            target = self._replace(record, now)
        else:
            self._update(target, record, now)
        target.gone_at = None
        return target

    def unregister(self, target_id: str, now: float) -> None:
        """Take in that a registration is missing."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if now - self.store_returned_at < LAPSE_WINDOW and target.state is TargetState.READY:
            target.gone_at = min(
                self.store_returned_at + LAPSE_WINDOW, now + self._options.lapse_grace
            )
            return
        self._forget(target, now)

    def drop_gone(self, now: float) -> list[Target]:
        """Forget targets whose registrations did not come back; give them."""
        gone = [t for t in self._targets.values() if t.gone_at is not None and now >= t.gone_at]
        for target in gone:
            self._forget(target, now)
        for target_id in [t for t, (_, _, at) in self._ended.items() if now - at > MEMORY]:
            del self._ended[target_id]
        return gone

    def take_zone_out(self, zone: str, now: float) -> None:
        """Give the targets of a zone no work from now on."""
        self._zones_out.setdefault(zone, now)

    def take_zone_in(self, zone: str, now: float) -> None:
        """Give a zone's targets work again, at first as if they were cold."""
        if self._zones_out.pop(zone, None) is None:
            return
        for target in self._targets.values():
            if target.zone == zone:
                target.cold_until = max(target.cold_until, now + self._options.return_caution)

    def _replace(self, record: TargetRecord, now: float) -> Target:
        old = self._targets.get(record.id)
        if old is not None:
            self._remove(old)
        known_since = -math.inf if self._first_read else now
        target = Target(record, known_since, now)
        boot, state, _ = self._ended.pop(record.id, (-1, TargetState.READY, 0.0))
        if boot == record.boot and state is TargetState.DRAINING:
            target.state = TargetState.DRAINING
        self._targets[target.id] = target
        self._by_service.setdefault(target.service, []).append(target)
        return target

    def _update(self, target: Target, record: TargetRecord, now: float) -> None:
        if record.service != target.service:
            self._by_service[target.service].remove(target)
            self._by_service.setdefault(record.service, []).append(target)
            target.service = record.service
        target.address = (record.host, record.port)
        target.zone = record.zone
        target.slots = record.slots
        if record.state is TargetState.DRAINING:
            target.state = TargetState.DRAINING
        target.cold_until = max(target.cold_until, now + record.cold_left)

    def _forget(self, target: Target, now: float) -> None:
        self._remove(target)
        self._ended[target.id] = (target.boot, target.state, now)

    def _remove(self, target: Target) -> None:
        del self._targets[target.id]
        self._by_service[target.service].remove(target)
