"""What becomes of a request while every target of its service is near the load bound.

The bound is a multiple of the mean, so targets that are few among many that get no work (their zone
is out) can be at it with room to spare in themselves. Beyond it a request is turned away at once:
its caller is served sooner elsewhere or later than at the end of a queue.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import Final

# The load bound allows a multiple of the mean, and so many requests beyond it.
BOUND_SLACK: Final = 3.0
# Requests are taken up to this part of the multiple.
MOST_PART: Final = 0.9
# What the other instances send is known after about half of this time, in seconds. Requests come in
# groups, so each leaves room for twice as many.
TELL_TIME: Final = 0.2
# The time over which requests are averaged to a rate, in seconds.
RATE_TIME: Final = 1.0


class RequestRate:
    """Requests a second, of late. Invariant: `_weight` is as of `_at`."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at = -math.inf

    def note(self, now: float) -> None:
        """Count a request."""
        self._weight = self.compute(now) * RATE_TIME + 1.0
        self._at = now

    def compute(self, now: float) -> float:
        """Give the rate."""
        return self._weight * math.exp((self._at - now) / RATE_TIME) / RATE_TIME


class Room:
    """What a service's targets may still take within the load bound.

    `loads` are those of the targets that get work, `counted` those in the mean: of all targets, or
    of all but those that are lost.
    """

    __slots__ = ("rooms", "total")

    def __init__(
        self, load_factor: float, loads: Sequence[float], counted: Sequence[float]
    ) -> None:
        factor = load_factor * MOST_PART
        mean = sum(counted) / max(1, len(counted))
        limit = factor * mean + BOUND_SLACK
        self.rooms = [max(0.0, limit - load) for load in loads]
        # Each request raises the mean, and so the limit of all targets, by this much.
        growth = factor * len(loads) / max(1, len(counted))
        self.total = sum(self.rooms) / (1.0 - growth) if growth < 1.0 else math.inf

    def admits(self, expected: float, random: Random) -> bool:
        """Whether one more request may come; by chance if the room is less than what is expected.

        `expected` requests come to the other instances before this one is told of them. Without
        chance all would fill the same room at once.
        """
        return any(self.rooms) and random.random() * expected < self.total

    def pick(self, random: Random) -> int:
        """Pick the number of a target by its room, so that not all take the one with the most."""
        return random.choices(range(len(self.rooms)), self.rooms)[0]
