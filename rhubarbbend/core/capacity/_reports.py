"""The load that a target reports with its answers."""

from __future__ import annotations

import msgspec


class ReportedLoad(msgspec.Struct, frozen=True):
    """Requests that run and wait at a target, its slots, and how long work takes there.

    `pace` is relative to the target's usual time: 2.0 is twice as long. None if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    @property
    def held(self) -> int:
        """Return the number of requests that run or wait."""
        return self.running + self.waiting
