"""Compares ways to judge what crashes targets, on the same seeds: parts, and whole requests."""

from __future__ import annotations

from collections.abc import Mapping
from statistics import mean
from typing import Any, Final

import attrs

from loadtool import _recurrence_simulation as recurrence
from loadtool._crash_simulation import WAYS, CrashSimulation, Result, Setup

# What differs from the usual play of one part, by label.
CASES: Final[Mapping[str, Mapping[str, Any]]] = {
    "one part": {},
    "one part, fast": {"bad_rate": 8.0},
    "two parts": {"bad_parts": 2, "bad_rate": 3.0},
    "one part, engines killed": {"kills": 20},
    "no part, engines killed": {"bad_rate": 1e-9, "kills": 20},
}
# The same for requests that come back as a whole.
RECURRENCES: Final[Mapping[str, Mapping[str, Any]]] = {
    "one every 0.05 s": {"pace_s": 0.05},
    "one every 4 s": {},
    "one every 40 s": {"pace_s": 40.0, "duration_s": 900.0},
    "three copies every 4 s": {"copies": 3},
    "three copies every 40 s": {"copies": 3, "pace_s": 40.0, "duration_s": 900.0},
    "eight copies every 4 s": {"copies": 8},
    "three copies, 9 targets": {"copies": 3, "targets": 9},
    "three copies, nobody can tell": {"copies": 3, "has_fates": False},
    "three copies, power cuts": {"copies": 3, "targets": 9, "power_cuts": 7},
    "power cuts alone": {"copies": 0, "targets": 9, "power_cuts": 7},
    "power cuts, nobody can tell": {
        "copies": 0,
        "targets": 9,
        "power_cuts": 7,
        "has_fates": False,
    },
}


def play_recurrences(instances: int, seeds: int) -> int:
    """Play each case of requests that come back with each way, and print a line for it."""
    for label, changes in RECURRENCES.items():
        setup = recurrence.Setup(instances, **changes)
        for way in recurrence.WAYS:
            plays = [recurrence.RecurrenceSimulation(way, setup, seed) for seed in range(seeds)]
            results = [play.run() for play in plays]
            print(recurrence.format_line(label, way, results), flush=True)
    return 0


def main(setup: Setup, seeds: int) -> int:
    """Play each case with each way and print a line for it."""
    for label, changes in CASES.items():
        for way in WAYS:
            case = attrs.evolve(setup, **changes)
            results = [CrashSimulation(way, case, seed).run() for seed in range(seeds)]
            print(format_line(label, way, results), flush=True)
    return 0


def format_line(label: str, way: str, results: list[Result]) -> str:
    """Return the figures of some plays: in the mean and at most, or their sums."""
    crashes = [result.crashes for result in results]
    late = [result.late_runs for result in results]
    sound = sum(result.sound for result in results)
    refused = sum(result.sound_refused for result in results)
    waited_ms = 1_000.0 * sum(result.sound_waited_s for result in results) / max(1, sound)
    return (
        f"{label:<25} {way:<10} crashes {mean(crashes):5.1f}, {max(crashes):3}"
        f"  late runs {mean(late):5.1f}, {max(late):3}  sound refused {refused:5} of {sound}"
        f"  held {waited_ms:.1f} ms in the mean"
    )
