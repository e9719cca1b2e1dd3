"""A seeded schedule of faults for a fleet on the users' platform: same seed, same schedule."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Final

import attrs
from numpy.random import default_rng

from loadtool._fault_schedule import choose

# Faults start this far apart on average, and end this long before the run does, in seconds. With
# lengths of 2 to 3 s in the mean, two or three overlap.
MEAN_GAP: Final = 0.9
QUIET_START: Final = 2.0
QUIET_PART: Final = 0.25
# Some faults come as a series on the same victim, each this many seconds after the last has ended.
SERIES_SHARE: Final = 0.2
SERIES_GAP: Final = 0.4


class Hit(enum.Enum):
    """What a fault hits."""

    INSTANCE = "instance"
    # The path by which all other instances reach one.
    PEERS = "peers"
    STORE = "store"
    TARGET = "target"
    FLEET = "fleet"


class SoakFault(enum.Enum):
    """A fault: what it hits, and for how many seconds it lasts at least and at most."""

    KILL = ("kill", Hit.INSTANCE, 0.3, 2.5)
    PAUSE = ("pause", Hit.INSTANCE, 0.5, 4.0)
    STOP = ("stop", Hit.INSTANCE, 0.5, 1.5)
    RELOAD = ("reload", Hit.INSTANCE, 0.0, 0.1)
    STORE_PATH_LOST = ("store_path_lost", Hit.INSTANCE, 1.0, 5.0)
    STORE_PATH_MUTE = ("store_path_mute", Hit.INSTANCE, 1.0, 5.0)
    STORE_PATH_SILENT = ("store_path_silent", Hit.INSTANCE, 0.0, 0.1)
    STORE_PATH_RESET = ("store_path_reset", Hit.INSTANCE, 0.0, 0.1)
    PEER_PATH_LOST = ("peer_path_lost", Hit.PEERS, 1.0, 5.0)
    PEER_PATH_MUTE = ("peer_path_mute", Hit.PEERS, 1.0, 5.0)
    PEER_PATH_SILENT = ("peer_path_silent", Hit.PEERS, 0.0, 0.1)
    PEER_PATH_RESET = ("peer_path_reset", Hit.PEERS, 0.0, 0.1)
    STORE_REFUSES = ("store_refuses", Hit.STORE, 0.5, 4.0)
    STORE_SILENT = ("store_silent", Hit.STORE, 0.5, 4.0)
    STORE_SLOW = ("store_slow", Hit.STORE, 0.5, 3.0)
    STORE_LOSES_ANSWERS = ("store_loses_answers", Hit.STORE, 0.0, 0.1)
    STORE_FORGETS = ("store_forgets", Hit.STORE, 0.0, 0.1)
    TARGET_KILLED = ("target_killed", Hit.TARGET, 1.0, 3.0)
    TARGET_PAUSED = ("target_paused", Hit.TARGET, 0.5, 2.0)
    TARGET_REJECTS = ("target_rejects", Hit.TARGET, 0.5, 2.0)
    TARGET_FAILS = ("target_fails", Hit.TARGET, 0.5, 2.0)
    TARGET_CUTS = ("target_cuts", Hit.TARGET, 0.5, 2.0)
    TARGET_TRUNCATES = ("target_truncates", Hit.TARGET, 0.5, 2.0)
    TARGET_BABBLES = ("target_babbles", Hit.TARGET, 0.5, 2.0)
    TARGET_ANSWERS_TWICE = ("target_answers_twice", Hit.TARGET, 0.5, 2.0)
    TARGET_DRAINS = ("target_drains", Hit.TARGET, 4.0, 5.0)
    LINK_RESET = ("link_reset", Hit.TARGET, 0.0, 0.1)
    LINK_SILENT = ("link_silent", Hit.TARGET, 0.0, 0.1)
    LINK_LOST = ("link_lost", Hit.TARGET, 0.5, 3.0)
    LINK_MUTE = ("link_mute", Hit.TARGET, 0.5, 2.0)
    LINK_SLOW = ("link_slow", Hit.TARGET, 0.5, 3.0)
    ZONE_OUT = ("zone_out", Hit.FLEET, 3.0, 5.0)
    KEY_REVOKED = ("key_revoked", Hit.FLEET, 3.0, 5.0)

    def __init__(self, label: str, hit: Hit, shortest: float, longest: float) -> None:
        self.label = label
        self.hit = hit
        self.shortest = shortest
        self.longest = longest


@attrs.define(slots=True, frozen=True)
class SoakStep:
    """One fault: when it starts and ends, in seconds from the start, and whom it hits."""

    at: float
    until: float
    fault: SoakFault
    victim: str

    def __str__(self) -> str:
        return f"{self.at:6.2f} to {self.until:6.2f}  {self.fault.label:20} {self.victim}"


@attrs.define(slots=True, frozen=True)
class SoakLayout:
    """The names that a schedule may draw from."""

    zones: Sequence[str]
    instances: Sequence[str]
    targets: Sequence[str]


def make_soak_schedule(
    seed: int, duration: float, layout: SoakLayout, between: bool = True
) -> list[SoakStep]:
    """Draw faults until the last quarter of the run, which is left to recovery.

    Without `between`, none of paths between instances: seeds that were kept before there were such
    faults keep their schedules.

    Faults overlap freely, on one victim too: one that is killed while its zone is out, or told to
    stop while it stands still. Only the same fault on the same victim does not.
    """
    rng = default_rng(seed)
    faults = [fault for fault in SoakFault if between or fault.hit is not Hit.PEERS]
    steps: list[SoakStep] = []
    at = QUIET_START
    last = duration * (1.0 - QUIET_PART)
    while at < last:
        fault = choose(rng, faults)
        victim = choose(rng, _list_victims(fault, layout))
        starts = at
        repeats = int(rng.integers(2, 4)) if rng.random() < SERIES_SHARE else 1
        for _ in range(repeats):
            until = min(starts + float(rng.uniform(fault.shortest, fault.longest)), last)
            step = SoakStep(round(starts, 2), round(until, 2), fault, victim)
            if starts < last and not any(_is_same(step, earlier) for earlier in steps):
                steps.append(step)
            starts = until + SERIES_GAP
        at += float(rng.exponential(MEAN_GAP))
    return sorted(steps, key=lambda step: step.at)


def _list_victims(fault: SoakFault, layout: SoakLayout) -> Sequence[str]:
    if fault.hit in (Hit.INSTANCE, Hit.PEERS):
        return layout.instances
    if fault.hit is Hit.TARGET:
        return layout.targets
    if fault is SoakFault.ZONE_OUT:
        return layout.zones
    return ["store"] if fault.hit is Hit.STORE else ["configuration"]


def _is_same(step: SoakStep, earlier: SoakStep) -> bool:
    same = step.fault is earlier.fault
    if step.fault is not SoakFault.ZONE_OUT:
        same = same and step.victim == earlier.victim
    return same and step.at <= earlier.until + SERIES_GAP / 2 and step.until >= earlier.at
