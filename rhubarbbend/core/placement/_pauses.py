"""Tracks which targets have asked this instance to send them no requests for a time."""

from __future__ import annotations


class PauseTracker:
    """The pauses that targets have asked this instance for; each instance has its own."""

    def __init__(self) -> None:
        self._ends_at: dict[str, float] = {}

    def record_pause(self, target: str, duration_s: float, now: float) -> None:
        """Record that a target wants no requests for `duration_s` seconds from `now`."""
        self._ends_at[target] = max(now + duration_s, self._ends_at.get(target, now))

    def compute_remaining(self, target: str, now: float) -> float:
        """Return the seconds until a target's pause ends; 0 if it has none."""
        return max(0.0, self._ends_at.get(target, now) - now)
