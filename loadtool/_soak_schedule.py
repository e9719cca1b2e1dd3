"""A seeded random schedule of faults for a gateway fleet: the same seed gives the same schedule."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Final

import attrs
from numpy.random import Generator, default_rng

from loadtool._fault_schedule import choose

# Mean time between the starts of two faults, and the time without faults at the start of a run.
# With mean durations of 2 to 3 s, two or three faults overlap.
MEAN_FAULT_INTERVAL_S: Final = 0.9
QUIET_START_S: Final = 2.0
# The last part of a run is without faults and left for recovery.
QUIET_END_FRACTION: Final = 0.25
# Some faults are repeated on the same victim, each this long after the previous one has ended.
SERIES_FRACTION: Final = 0.2
SERIES_INTERVAL_S: Final = 0.4


class FaultScope(enum.Enum):
    """The part of the system that a fault affects."""

    INSTANCE = "instance"
    # The path by which all other instances reach the victim.
    PEERS = "peers"
    STORE = "store"
    # The victim's own links to targets, which the other instances do not use.
    OWN_LINKS = "own_links"
    TARGET = "target"
    FLEET = "fleet"


class SoakFault(enum.Enum):
    """A kind of fault with what it affects and its shortest and longest duration in seconds."""

    KILL = ("kill", FaultScope.INSTANCE, 0.3, 2.5)
    PAUSE = ("pause", FaultScope.INSTANCE, 0.5, 4.0)
    STOP = ("stop", FaultScope.INSTANCE, 0.5, 1.5)
    RELOAD = ("reload", FaultScope.INSTANCE, 0.0, 0.1)
    STORE_PATH_LOST = ("store_path_lost", FaultScope.INSTANCE, 1.0, 5.0)
    STORE_PATH_MUTE = ("store_path_mute", FaultScope.INSTANCE, 1.0, 5.0)
    STORE_PATH_SILENT = ("store_path_silent", FaultScope.INSTANCE, 0.0, 0.1)
    STORE_PATH_RESET = ("store_path_reset", FaultScope.INSTANCE, 0.0, 0.1)
    PEER_PATH_LOST = ("peer_path_lost", FaultScope.PEERS, 1.0, 5.0)
    PEER_PATH_MUTE = ("peer_path_mute", FaultScope.PEERS, 1.0, 5.0)
    PEER_PATH_SILENT = ("peer_path_silent", FaultScope.PEERS, 0.0, 0.1)
    PEER_PATH_RESET = ("peer_path_reset", FaultScope.PEERS, 0.0, 0.1)
    STORE_REFUSES = ("store_refuses", FaultScope.STORE, 0.5, 4.0)
    STORE_SILENT = ("store_silent", FaultScope.STORE, 0.5, 4.0)
    STORE_SLOW = ("store_slow", FaultScope.STORE, 0.5, 3.0)
    STORE_LOSES_ANSWERS = ("store_loses_answers", FaultScope.STORE, 0.0, 0.1)
    STORE_FORGETS = ("store_forgets", FaultScope.STORE, 0.0, 0.1)
    TARGET_KILLED = ("target_killed", FaultScope.TARGET, 1.0, 3.0)
    TARGET_PAUSED = ("target_paused", FaultScope.TARGET, 0.5, 2.0)
    TARGET_REJECTS = ("target_rejects", FaultScope.TARGET, 0.5, 2.0)
    TARGET_FAILS = ("target_fails", FaultScope.TARGET, 0.5, 2.0)
    TARGET_CUTS = ("target_cuts", FaultScope.TARGET, 0.5, 2.0)
    TARGET_TRUNCATES = ("target_truncates", FaultScope.TARGET, 0.5, 2.0)
    TARGET_BABBLES = ("target_babbles", FaultScope.TARGET, 0.5, 2.0)
    TARGET_ANSWERS_TWICE = ("target_answers_twice", FaultScope.TARGET, 0.5, 2.0)
    TARGET_DRAINS = ("target_drains", FaultScope.TARGET, 4.0, 5.0)
    # Notices that a target gives in its answers while the store says that it is ready.
    TARGET_ASKS_PAUSE = ("target_asks_pause", FaultScope.TARGET, 0.5, 3.0)
    TARGET_SAYS_LEAVING = ("target_says_leaving", FaultScope.TARGET, 4.0, 5.0)
    # Answers that are broken off, by a reset or before their first event.
    TARGET_RESETS_EARLY = ("target_resets_early", FaultScope.TARGET, 0.5, 2.0)
    TARGET_CLOSES_EARLY = ("target_closes_early", FaultScope.TARGET, 0.5, 2.0)
    TARGET_RESETS_STREAMS = ("target_resets_streams", FaultScope.TARGET, 0.5, 2.0)
    TARGET_RESETS_EVENTS = ("target_resets_events", FaultScope.TARGET, 0.5, 2.0)
    TARGET_RESETS_ANSWERS = ("target_resets_answers", FaultScope.TARGET, 0.5, 2.0)
    LINK_RESET = ("link_reset", FaultScope.TARGET, 0.0, 0.1)
    LINK_SILENT = ("link_silent", FaultScope.TARGET, 0.0, 0.1)
    LINK_LOST = ("link_lost", FaultScope.TARGET, 0.5, 3.0)
    LINK_MUTE = ("link_mute", FaultScope.TARGET, 0.5, 2.0)
    LINK_SLOW = ("link_slow", FaultScope.TARGET, 0.5, 3.0)
    ZONE_OUT = ("zone_out", FaultScope.FLEET, 3.0, 5.0)
    KEY_REVOKED = ("key_revoked", FaultScope.FLEET, 3.0, 5.0)
    # Cuts of an instance's own links to all targets: connections hang, are reset, or live on while
    # new ones are refused.
    OWN_LINKS_LOST = ("own_links_lost", FaultScope.OWN_LINKS, 2.0, 6.0)
    OWN_LINKS_RESET = ("own_links_reset", FaultScope.OWN_LINKS, 2.0, 6.0)
    OWN_LINKS_CLOSED = ("own_links_closed", FaultScope.OWN_LINKS, 2.0, 6.0)
    OWN_LINKS_PARTLY_LOST = ("own_links_partly_lost", FaultScope.OWN_LINKS, 2.0, 6.0)

    def __init__(
        self, label: str, scope: FaultScope, min_duration: float, max_duration: float
    ) -> None:
        self.label = label
        self.scope = scope
        self.min_duration = min_duration
        self.max_duration = max_duration


NOTICES: Final = (SoakFault.TARGET_ASKS_PAUSE, SoakFault.TARGET_SAYS_LEAVING)
OWN_LINK_FAULTS: Final = (
    SoakFault.OWN_LINKS_LOST,
    SoakFault.OWN_LINKS_RESET,
    SoakFault.OWN_LINKS_CLOSED,
    SoakFault.OWN_LINKS_PARTLY_LOST,
)
BREAKS: Final = (
    SoakFault.TARGET_RESETS_EARLY,
    SoakFault.TARGET_CLOSES_EARLY,
    SoakFault.TARGET_RESETS_STREAMS,
    SoakFault.TARGET_RESETS_EVENTS,
    SoakFault.TARGET_RESETS_ANSWERS,
)
# Mean time between the starts of two faults that break answers off, in seconds.
MEAN_BREAK_INTERVAL_S: Final = 1.5
# Mean time between the starts of two cuts of own links, in seconds.
MEAN_OWN_LINK_INTERVAL_S: Final = 2.0
# Mean time between the starts of two notices, in seconds.
MEAN_NOTICE_INTERVAL_S: Final = 1.5


@attrs.define(slots=True, frozen=True)
class ScheduledSoakFault:
    """A fault that starts `at` and ends `until` so many seconds after the start of the run.

    `victim` is the node or zone that it affects.
    """

    at: float
    until: float
    fault: SoakFault
    victim: str

    def __str__(self) -> str:
        return f"{self.at:6.2f} to {self.until:6.2f}  {self.fault.label:20} {self.victim}"


@attrs.define(slots=True, frozen=True)
class SoakLayout:
    """The names of the zones and nodes that faults can affect."""

    zones: Sequence[str]
    instances: Sequence[str]
    targets: Sequence[str]


def make_soak_schedule(
    seed: int, duration: float, layout: SoakLayout, peer_path_faults: bool = True
) -> list[ScheduledSoakFault]:
    """Return random faults for a run of `duration` seconds, sorted by start.

    No fault is active in the last quarter of the run, which is left for recovery. Without
    `peer_path_faults` there are none on the paths between instances: seeds that were recorded
    before these faults existed keep their schedules.

    Different faults may overlap even on one victim: an instance may be killed while its zone is out
    of service, or told to stop while it is suspended. The same fault on the same victim does not
    overlap with itself.
    """
    rng = default_rng(seed)
    faults = [
        fault
        for fault in SoakFault
        if fault not in (*NOTICES, *OWN_LINK_FAULTS, *BREAKS)
        and (peer_path_faults or fault.scope is not FaultScope.PEERS)
    ]
    return _schedule_faults(rng, faults, duration, layout, MEAN_FAULT_INTERVAL_S)


def make_notice_schedule(
    seed: int, duration: float, layout: SoakLayout
) -> list[ScheduledSoakFault]:
    """Return random notices of targets, to be added to the faults of the same seed."""
    rng = default_rng([seed, len(NOTICES)])
    return _schedule_faults(rng, NOTICES, duration, layout, MEAN_NOTICE_INTERVAL_S)


def make_break_schedule(seed: int, duration: float, layout: SoakLayout) -> list[ScheduledSoakFault]:
    """Return random breaks of targets' answers, to be added to the faults of the same seed."""
    rng = default_rng([seed, len(NOTICES), len(OWN_LINK_FAULTS), len(BREAKS)])
    return _schedule_faults(rng, BREAKS, duration, layout, MEAN_BREAK_INTERVAL_S)


def make_own_link_schedule(
    seed: int, duration: float, layout: SoakLayout
) -> list[ScheduledSoakFault]:
    """Return random cuts of instances' own links, to be added to the faults of the same seed."""
    rng = default_rng([seed, len(NOTICES), len(OWN_LINK_FAULTS)])
    return _schedule_faults(rng, OWN_LINK_FAULTS, duration, layout, MEAN_OWN_LINK_INTERVAL_S)


def _schedule_faults(
    rng: Generator,
    faults: Sequence[SoakFault],
    duration: float,
    layout: SoakLayout,
    mean_interval_s: float,
) -> list[ScheduledSoakFault]:
    scheduled_faults: list[ScheduledSoakFault] = []
    at = QUIET_START_S
    last_start = duration * (1.0 - QUIET_END_FRACTION)
    while at < last_start:
        fault = choose(rng, faults)
        victim = choose(rng, _list_possible_victims(fault, layout))
        starts_at = at
        series_length = int(rng.integers(2, 4)) if rng.random() < SERIES_FRACTION else 1
        for _ in range(series_length):
            until = min(
                starts_at + float(rng.uniform(fault.min_duration, fault.max_duration)), last_start
            )
            scheduled_fault = ScheduledSoakFault(
                round(starts_at, 2), round(until, 2), fault, victim
            )
            if starts_at < last_start and not any(
                _overlaps(scheduled_fault, earlier) for earlier in scheduled_faults
            ):
                scheduled_faults.append(scheduled_fault)
            starts_at = until + SERIES_INTERVAL_S
        at += float(rng.exponential(mean_interval_s))
    return sorted(scheduled_faults, key=lambda scheduled_fault: scheduled_fault.at)


def _list_possible_victims(fault: SoakFault, layout: SoakLayout) -> Sequence[str]:
    if fault.scope in (FaultScope.INSTANCE, FaultScope.PEERS, FaultScope.OWN_LINKS):
        return layout.instances
    if fault.scope is FaultScope.TARGET:
        return layout.targets
    if fault is SoakFault.ZONE_OUT:
        return layout.zones
    return ["store"] if fault.scope is FaultScope.STORE else ["configuration"]


def _overlaps(scheduled_fault: ScheduledSoakFault, earlier: ScheduledSoakFault) -> bool:
    is_same_fault = scheduled_fault.fault is earlier.fault
    if scheduled_fault.fault is not SoakFault.ZONE_OUT:
        is_same_fault = is_same_fault and scheduled_fault.victim == earlier.victim
    return (
        is_same_fault
        and scheduled_fault.at <= earlier.until + SERIES_INTERVAL_S / 2
        and scheduled_fault.until >= earlier.at
    )
