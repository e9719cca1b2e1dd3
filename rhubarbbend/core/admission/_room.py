"""Measures what the targets of a service hold, against the slots that they have.

Load: more requests than slots, with some of the targets out of use. The slots of targets that
cannot be used do not count, so the room shrinks at once when a part of them is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from rhubarbbend.core._pauses import PauseTracker
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.placement import HealthTracker, LoadTracker

# A target cannot have more slots than connections. Without a limit, more slots than this are an
# invalid figure.
MAX_SLOTS: Final = 4_096
# A target's load counts up to this many times its slots: one wrong report of a load must not make
# a whole service look full.
MAX_LOAD_FACTOR: Final = 4.0
# If the slots of fewer than this fraction of the usable targets are known, all requests are
# admitted.
MIN_KNOWN_FRACTION: Final = 0.5
# Requests are refused for want of room only if the counts of this fraction of the other instances
# are known.
MIN_KNOWN_PEERS_FRACTION: Final = 0.5

# Returns the slots of a target, None if they are unknown.
SlotCounter = Callable[[Service, Target, float], int | None]


def count_known_slots(service: Service, target: Target, now: float) -> int | None:
    """Return the slots of a target by the configuration of its service, or its registration."""
    return target.slots if service.engine is None else service.engine.slots


class RoomView:
    """The slots of a service's usable targets and the requests there, as one instance knows them.

    `held` counts requests of all instances, of which `own` are this instance's and `others` the
    rest. `has_queue` is whether requests wait at a target. If `is_known` is False, the figures must
    not be used to refuse requests. `invalid` is the number of targets with invalid slots.
    `targets` are the ids of the usable targets, if they were stated.
    """

    __slots__ = (
        "slots",
        "own",
        "others",
        "has_queue",
        "instances",
        "is_known",
        "invalid",
        "targets",
    )

    def __init__(self, instances: int, is_known: bool = True) -> None:
        self.slots = 0
        self.own = 0
        self.others = 0.0
        self.has_queue = False
        self.instances = instances
        self.is_known = is_known
        self.invalid = 0
        self.targets: tuple[str, ...] = ()

    @property
    def held(self) -> float:
        """The number of requests that the usable targets hold."""
        return self.own + self.others


def compute_view(
    targets: Iterable[tuple[int | None, int, float]],
    max_slots: int,
    instances: int,
    hears_peers: bool,
) -> RoomView:
    """Add up targets, each given by its slots, the own requests there and its estimated load.

    Slots are None if unknown. Slots of 0 or less, or more than `max_slots`, are invalid and count
    as unknown.
    """
    view = RoomView(instances)
    known = unknown = 0
    for slots, own, load in targets:
        if slots is None or not _is_valid(slots, max_slots):
            unknown += 1
            view.invalid += slots is not None
            continue
        known += 1
        view.slots += slots
        view.own += own
        view.others += min(max(0.0, load - own), MAX_LOAD_FACTOR * slots)
        view.has_queue = view.has_queue or load > slots
    is_enough = known > 0 and known >= MIN_KNOWN_FRACTION * (known + unknown)
    view.is_known = hears_peers and is_enough
    return view


def _is_valid(slots: int | None, max_slots: int) -> bool:
    return slots is not None and 0 < slots <= max_slots


class UsableTargets:
    """Finds the targets of a service that can be used, and adds up their slots and loads.

    They are reachable, warm, not paused, not draining and in a zone that is in service.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: HealthTracker,
        pauses: PauseTracker,
        count_slots: SlotCounter,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._health = health
        self._pauses = pauses
        self.count_slots = count_slots

    def list_usable(self, service: Service, now: float) -> list[Target]:
        """Return the targets that can be used now."""
        return [
            target
            for target in self._registry.list_available(service.name, now)
            if not target.is_cold(now)
            and not self._health.is_unreachable(target.id)
            and not self._health.is_blocked(target.id, now)
            and self._pauses.may_send(target.id, now)
        ]

    def compute_view(self, service: Service, instances: int, now: float) -> RoomView:
        """Return the room of a service for whose targets instances exchange their counts."""
        loads = self._loads
        usable = self.list_usable(service, now)
        max_slots = service.max_connections or MAX_SLOTS
        view = compute_view(
            (
                (
                    self.count_slots(service, target, now),
                    loads.count_own(target.id),
                    loads.estimate(target.id, True, now),
                )
                for target in usable
            ),
            max_slots,
            instances,
            loads.has_counts_of_fraction(MIN_KNOWN_PEERS_FRACTION, now),
        )
        view.targets = tuple(
            target.id
            for target in usable
            if _is_valid(self.count_slots(service, target, now), max_slots)
        )
        return view

    def refresh_own(self, view: RoomView) -> None:
        """Count this instance's own requests again, which change with each one sent."""
        view.own = sum(self._loads.count_own(target) for target in view.targets)
