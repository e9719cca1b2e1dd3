"""Tracks the slots and the pace that targets report.

Kind of load: targets that work at an uneven pace. Reports arrive late, and a slow phase can be
shorter than a request, so the latest value counts only while it is recent; after that the target's
mean does.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from rhubarbbend.core.capacity._reports import ReportedLoad

# The pace of a target that works as usual; higher values mean that work takes longer.
USUAL_PACE: Final = 1.0
# The latest pace loses its weight with this time constant, about the rest of a short slow phase.
LATEST_TIME_CONSTANT_S: Final = 0.3
# The time constant of the mean, several times as long as a phase.
MEAN_TIME_CONSTANT_S: Final = 3.0
# The first report moves the mean from the usual pace by this fraction.
FIRST_GAIN: Final = 0.25
# A target whose pace was not reported for this time is taken to work as usual.
PACE_TTL_S: Final = 8.0
# Figures outside of these bounds are invalid.
MIN_PACE: Final = 0.05
MAX_PACE: Final = 100.0
MAX_SLOTS: Final = 65_536


def is_valid_slots(slots: int) -> bool:
    """Return whether a number of slots can be that of a target."""
    return 0 < slots <= MAX_SLOTS


def is_valid_pace(pace: float) -> bool:
    """Return whether a pace can be that of a target; false for one that is not a number."""
    return MIN_PACE <= pace <= MAX_PACE


class _TargetCapacity:
    """The latest figures of a target. Invariant: `pace_at` is -inf until a pace is known."""

    __slots__ = ("slots", "slots_at", "pace", "mean", "pace_at")

    def __init__(self) -> None:
        self.slots = 0
        self.slots_at = -math.inf
        self.pace = USUAL_PACE
        self.mean = USUAL_PACE
        self.pace_at = -math.inf

    def record_pace(self, pace: float, at: float) -> None:
        """Record a pace that was reported at a time, and add it to the mean."""
        elapsed = at - self.pace_at
        if elapsed > PACE_TTL_S:
            self.mean = USUAL_PACE
            gain = FIRST_GAIN
        else:
            # A clock that was set back leaves the mean as it is.
            gain = 1.0 - math.exp(-max(0.0, elapsed) / MEAN_TIME_CONSTANT_S)
        self.mean += gain * (pace - self.mean)
        self.pace = pace
        self.pace_at = at

    def estimate_pace(self, now: float) -> float:
        """Estimate the pace now."""
        # After the clock was set back, the age of a report is unknown.
        age = abs(now - self.pace_at)
        if age >= PACE_TTL_S:
            return USUAL_PACE
        return self.mean + (self.pace - self.mean) * math.exp(-age / LATEST_TIME_CONSTANT_S)


class CapacityTracker:
    """Tracks the reported capacity of targets. Invariant: it holds no invalid figure."""

    def __init__(self) -> None:
        self._targets: dict[str, _TargetCapacity] = {}
        # No pace counts after this time.
        self._paced_until = -math.inf
        # The number of invalid figures that were ignored.
        self.invalid_count = 0

    def record_report(self, target: str, load: ReportedLoad, now: float) -> None:
        """Record the report in a target's answer."""
        self._record(target, load.slots, load.pace, now, now)

    def merge(
        self, target: str, slots: int | None, pace: float | None, age: float, now: float
    ) -> None:
        """Record a report that another instance received `age` seconds ago, if it is newer."""
        if not 0.0 <= age < math.inf:
            self.invalid_count += 1
            return
        self._record(target, slots, pace, now - age, now)

    def _record(
        self, target: str, slots: int | None, pace: float | None, at: float, now: float
    ) -> None:
        if slots is not None and not is_valid_slots(slots):
            slots = None
            self.invalid_count += 1
        if pace is not None and not is_valid_pace(pace):
            pace = None
            self.invalid_count += 1
        if slots is None and pace is None:
            return
        known = self._targets.get(target)
        if known is None:
            known = self._targets[target] = _TargetCapacity()
        if slots is not None and not at < known.slots_at <= now:
            known.slots = slots
            known.slots_at = at
        if pace is not None and not at <= known.pace_at <= now:
            known.record_pace(pace, at)
            # A clock that was set back would leave a time that lies too far ahead.
            known_until = min(self._paced_until, now + PACE_TTL_S)
            self._paced_until = max(known_until, at + PACE_TTL_S)

    def get_slots(self, target: str) -> int | None:
        """Return the number of slots that a target last reported; None if it reported none."""
        known = self._targets.get(target)
        return known.slots or None if known is not None else None

    def estimate_pace(self, target: str, now: float) -> float:
        """Estimate how long work takes at a target now, as a multiple of what is usual."""
        known = self._targets.get(target)
        return USUAL_PACE if known is None else known.estimate_pace(now)

    def find_pace(self, target: str, now: float) -> float | None:
        """Estimate the pace of a target; None if it was not reported lately."""
        known = self._targets.get(target)
        if known is None or abs(now - known.pace_at) >= PACE_TTL_S:
            return None
        return known.estimate_pace(now)

    def has_pace(self, service_targets: Iterable[str], now: float) -> bool:
        """Return whether any of these targets reported its pace lately."""
        if abs(self._paced_until - now) > PACE_TTL_S:
            return False
        return any(self.find_pace(target, now) is not None for target in service_targets)

    def forget(self, target: str) -> None:
        """Remove the figures of a target that has been removed."""
        self._targets.pop(target, None)
