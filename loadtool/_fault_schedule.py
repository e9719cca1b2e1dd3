"""A seeded random schedule of faults: the same seed gives the same schedule."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Final, TypeVar

import attrs
from numpy.random import Generator, default_rng

T = TypeVar("T")

# Mean time between the starts of two faults, and the time without faults at the start of a run.
MEAN_FAULT_INTERVAL_S: Final = 1.2
QUIET_START_S: Final = 2.0


class Fault(enum.Enum):
    """A kind of fault with its shortest and longest duration in seconds."""

    KILL_INSTANCE = ("kill_instance", 1.0, 4.0)
    FREEZE_INSTANCE = ("freeze_instance", 0.5, 6.0)
    STOP_INSTANCE = ("stop_instance", 3.0, 5.0)
    KILL_ENGINE = ("kill_engine", 0.5, 3.0)
    KILL_PLAIN = ("kill_plain", 0.5, 3.0)
    FREEZE_TARGET = ("freeze_target", 0.5, 4.0)
    TURN_COLD = ("turn_cold", 0.0, 0.0)
    CUT_CONNECTIONS = ("cut_connections", 0.0, 0.0)
    SILENCE_CONNECTIONS = ("silence_connections", 0.0, 0.0)
    PARTITION_ZONES = ("partition_zones", 2.0, 8.0)
    PLATFORM_OUTAGE = ("platform_outage", 1.0, 8.0)
    PLATFORM_SLOW = ("platform_slow", 1.0, 6.0)
    PLATFORM_LOSES_ANSWERS = ("platform_loses_answers", 0.0, 0.0)
    ZONE_OUT = ("zone_out", 5.0, 10.0)
    TARGET_OUT = ("target_out", 4.0, 8.0)

    def __init__(self, label: str, min_duration: float, max_duration: float) -> None:
        self.label = label
        self.min_duration = min_duration
        self.max_duration = max_duration


@attrs.define(slots=True, frozen=True)
class ScheduledFault:
    """A fault that starts `at` and ends `until` so many seconds after the start of the run.

    `victim` is the node or zone that it affects. `peer_zone` is the other zone of a partition, or
    the zone from which connections to the victim are cut or silenced.
    """

    at: float
    until: float
    fault: Fault
    victim: str
    peer_zone: str = ""

    def __str__(self) -> str:
        peer_zone = f" {self.peer_zone}" if self.peer_zone else ""
        return (
            f"{self.at:6.2f} to {self.until:6.2f}  {self.fault.label:24} {self.victim}{peer_zone}"
        )


@attrs.define(slots=True, frozen=True)
class FleetLayout:
    """The names of the zones and nodes that faults can affect."""

    zones: Sequence[str]
    instances: Sequence[str]
    engines: Sequence[str]
    plain_services: Sequence[str]


def make_fault_schedule(seed: int, duration: float, layout: FleetLayout) -> list[ScheduledFault]:
    """Return random faults for a run of so many seconds.

    No fault is active in the last quarter of the run, which is left for recovery. A node has one
    fault at a time, so that the end of one fault does not undo another; faults of different nodes
    may overlap.
    """
    rng = default_rng(seed)
    scheduled_faults: list[ScheduledFault] = []
    at = QUIET_START_S
    last = duration * 0.75
    while at < last:
        fault = list(Fault)[int(rng.integers(len(Fault)))]
        until = min(at + float(rng.uniform(fault.min_duration, fault.max_duration)), last)
        scheduled_fault = _choose_scheduled_fault(rng, at, until, fault, layout)
        if not any(_overlaps(scheduled_fault, earlier) for earlier in scheduled_faults):
            scheduled_faults.append(scheduled_fault)
        at += float(rng.exponential(MEAN_FAULT_INTERVAL_S))
    return scheduled_faults


def _choose_scheduled_fault(
    rng: Generator, at: float, until: float, fault: Fault, layout: FleetLayout
) -> ScheduledFault:
    victim = choose(rng, _list_possible_victims(fault, layout))
    peer_zone = ""
    if fault is Fault.PARTITION_ZONES:
        peer_zone = choose(rng, [zone for zone in layout.zones if zone != victim])
    elif fault in (Fault.CUT_CONNECTIONS, Fault.SILENCE_CONNECTIONS):
        peer_zone = choose(rng, layout.zones)
    return ScheduledFault(round(at, 2), round(until, 2), fault, victim, peer_zone)


def _list_possible_victims(fault: Fault, layout: FleetLayout) -> Sequence[str]:
    if fault in (Fault.KILL_INSTANCE, Fault.FREEZE_INSTANCE, Fault.STOP_INSTANCE):
        return layout.instances
    if fault in (Fault.KILL_ENGINE, Fault.TURN_COLD):
        return layout.engines
    if fault is Fault.KILL_PLAIN:
        return layout.plain_services
    if fault in (Fault.FREEZE_TARGET, Fault.TARGET_OUT):
        return [*layout.engines, *layout.plain_services]
    if fault in (Fault.CUT_CONNECTIONS, Fault.SILENCE_CONNECTIONS):
        return [*layout.engines, *layout.plain_services, *layout.instances, "platform"]
    if fault in (Fault.PARTITION_ZONES, Fault.ZONE_OUT):
        return layout.zones
    return ["platform"]


def choose(rng: Generator, items: Sequence[T]) -> T:
    """Return a random item."""
    return items[int(rng.integers(len(items)))]


def _overlaps(scheduled_fault: ScheduledFault, earlier: ScheduledFault) -> bool:
    """Return whether two faults affect the same node at the same time.

    Zones out of service, and likewise partitions, must not overlap among themselves either.
    """
    same_kind = scheduled_fault.fault in (Fault.ZONE_OUT, Fault.PARTITION_ZONES) and (
        scheduled_fault.fault is earlier.fault
    )
    return (
        scheduled_fault.victim == earlier.victim or same_kind
    ) and scheduled_fault.at <= earlier.until + 0.5
