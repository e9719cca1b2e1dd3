"""A seeded schedule of faults: the same seed gives the same schedule."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Final, TypeVar

import attrs
from numpy.random import Generator, default_rng

T = TypeVar("T")

# Faults start this far apart on average, and end this long before the run does, in seconds.
MEAN_GAP: Final = 1.2
QUIET_START: Final = 2.0


class Fault(enum.Enum):
    """A kind of fault, and for how many seconds it lasts at least and at most."""

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

    def __init__(self, label: str, shortest: float, longest: float) -> None:
        self.label = label
        self.shortest = shortest
        self.longest = longest


@attrs.define(slots=True, frozen=True)
class Step:
    """One fault: when it starts and ends, in seconds from the start, and whom it hits."""

    at: float
    until: float
    fault: Fault
    victim: str
    other: str = ""

    def __str__(self) -> str:
        other = f" {self.other}" if self.other else ""
        return f"{self.at:6.2f} to {self.until:6.2f}  {self.fault.label:24} {self.victim}{other}"


@attrs.define(slots=True, frozen=True)
class Layout:
    """The names that a schedule may draw from."""

    zones: Sequence[str]
    instances: Sequence[str]
    engines: Sequence[str]
    plains: Sequence[str]


def make_schedule(seed: int, duration: float, layout: Layout) -> list[Step]:
    """Draw faults until the last quarter of the run, which is left to recovery.

    A node is hit by one fault at a time, so that each fault's end is its own; faults of different
    nodes overlap freely.
    """
    rng = default_rng(seed)
    steps: list[Step] = []
    at = QUIET_START
    last = duration * 0.75
    while at < last:
        fault = list(Fault)[int(rng.integers(len(Fault)))]
        until = min(at + float(rng.uniform(fault.shortest, fault.longest)), last)
        step = _draw_step(rng, at, until, fault, layout)
        if not any(_overlap(step, earlier) for earlier in steps):
            steps.append(step)
        at += float(rng.exponential(MEAN_GAP))
    return steps


def _draw_step(rng: Generator, at: float, until: float, fault: Fault, layout: Layout) -> Step:
    victim = choose(rng, _list_victims(fault, layout))
    other = ""
    if fault is Fault.PARTITION_ZONES:
        other = choose(rng, [zone for zone in layout.zones if zone != victim])
    elif fault in (Fault.CUT_CONNECTIONS, Fault.SILENCE_CONNECTIONS):
        other = choose(rng, layout.zones)
    return Step(round(at, 2), round(until, 2), fault, victim, other)


def _list_victims(fault: Fault, layout: Layout) -> Sequence[str]:
    if fault in (Fault.KILL_INSTANCE, Fault.FREEZE_INSTANCE, Fault.STOP_INSTANCE):
        return layout.instances
    if fault in (Fault.KILL_ENGINE, Fault.TURN_COLD):
        return layout.engines
    if fault is Fault.KILL_PLAIN:
        return layout.plains
    if fault in (Fault.FREEZE_TARGET, Fault.TARGET_OUT):
        return [*layout.engines, *layout.plains]
    if fault in (Fault.CUT_CONNECTIONS, Fault.SILENCE_CONNECTIONS):
        return [*layout.engines, *layout.plains, *layout.instances, "platform"]
    if fault in (Fault.PARTITION_ZONES, Fault.ZONE_OUT):
        return layout.zones
    return ["platform"]


def choose(rng: Generator, items: Sequence[T]) -> T:
    """Draw one item."""
    return items[int(rng.integers(len(items)))]


def _overlap(step: Step, earlier: Step) -> bool:
    """Whether two faults would hit one node, or one kind of thing, at the same time."""
    same_kind = step.fault in (Fault.ZONE_OUT, Fault.PARTITION_ZONES) and (
        step.fault is earlier.fault
    )
    return (step.victim == earlier.victim or same_kind) and step.at <= earlier.until + 0.5
