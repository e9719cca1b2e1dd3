"""Computes how much of a service's room each level of urgency may use, and how fast.

Load: demand above the room at all instances at once, whose counts of one another are 0.2 s old.
If the room exceeds what can arrive elsewhere in that time, requests are admitted freely. Otherwise
each instance gets a credit that grows with its part of the rate at which slots become free; so all
instances together admit about as many requests as end.
"""

from __future__ import annotations

import math
from random import Random
from typing import Final

from rhubarbbend.core.admission._demand import (
    RATE_TIME_CONSTANT_S,
    DecayedSum,
    estimate_others_rate,
)
from rhubarbbend.core.admission._room import RoomView

# Within this time, the requests that other instances send become known here.
PROPAGATION_TIME_S: Final = 0.2
# What waits at a target must be started within this fraction of the objective. A request may wait
# here for up to a quarter of it, and for half of it in all.
WAIT_AT_TARGET_FRACTION: Final = 0.25
# However short requests are, no more than this many times the slots may wait.
MAX_WAITING_FACTOR: Final = 2.0
# The room that is left for more urgent requests is at most this fraction of the slots.
MAX_RESERVE_FRACTION: Final = 0.25
# As many requests end in the propagation time as arrive in it, give or take. What is left is this
# many standard deviations of the number of more urgent ones.
RESERVE_DEVIATIONS: Final = 2.0
# The mean time that a request holds a slot follows single ones by this fraction.
HOLDING_WEIGHT: Final = 0.02
# The level of requests of accounts beyond their share; lower than any priority.
OVER_SHARE_LEVEL: Final = 10


class HoldingTime:
    """The mean time for which a request holds a slot, learned from requests that did not wait."""

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds: float | None = None

    def record(self, seconds: float) -> None:
        """Record how long a target took for a request."""
        if not 0.0 < seconds < 3_600.0:
            return
        if self.seconds is None:
            self.seconds = seconds
        self.seconds += HOLDING_WEIGHT * (seconds - self.seconds)


class LevelRoom:
    """The room of one level: `left` by this instance's view, `free` less expected arrivals.

    `rate` is the number of requests per second that this instance may admit when `free` is used up.
    """

    __slots__ = ("left", "free", "rate")

    def __init__(self, left: float, free: float, rate: float) -> None:
        self.left = left
        self.free = free
        self.rate = rate


class _Credit:
    __slots__ = ("amount", "at")

    def __init__(self, amount: float, at: float) -> None:
        self.amount = amount
        self.at = at


class _Level:
    """One level; `objective` is the shortest one of its requests."""

    __slots__ = ("objective", "rate", "holding")

    def __init__(self, objective: float) -> None:
        self.objective = objective
        self.rate = DecayedSum(RATE_TIME_CONSTANT_S)
        self.holding = HoldingTime()


class Levels:
    """The levels of urgency of one service."""

    def __init__(self, random: Random) -> None:
        self._random = random
        # Of the requests of all levels together.
        self._holding = HoldingTime()
        self._levels: dict[int, _Level] = {}
        self._credits: dict[int, _Credit] = {}

    @property
    def knows_holding(self) -> bool:
        """Whether it is known for how long requests hold a slot, and so when room is expected."""
        return self._holding.seconds is not None

    def record_arrival(self, level: int, objective: float, now: float) -> None:
        """Record a request."""
        known = self._find(level, objective)
        known.objective = min(known.objective, objective)
        known.rate.add(1.0, now)

    def record_holding(self, level: int, objective: float, seconds: float) -> None:
        """Record how long a target took for a request that it did not let wait."""
        self._holding.record(seconds)
        self._find(level, objective).holding.record(seconds)

    def _find(self, level: int, objective: float) -> _Level:
        known = self._levels.get(level)
        if known is None:
            known = self._levels[level] = _Level(objective)
        return known

    def compute_room(self, level: int, view: RoomView, now: float) -> LevelRoom:
        """Return the room of a level.

        More urgent requests come first: their work, the slots that they hold on average, is taken
        off the slots, and room is left for those that arrive until this is known everywhere.
        """
        own_rate = urgent_rate = urgent_work = level_rate = 0.0
        mean_hold = self._holding.seconds or 0.0
        for number, known in self._levels.items():
            rate = known.rate.read(now) / RATE_TIME_CONSTANT_S
            own_rate += rate
            if number < level:
                urgent_rate += rate
                urgent_work += rate * (known.holding.seconds or mean_hold)
            elif number == level:
                level_rate = rate
        others = estimate_others_rate(own_rate, view.others, mean_hold or None, view.instances)
        scale = 1.0 + (others / own_rate if own_rate > 0.0 else 0.0)
        ending = self._compute_ending(level, view, scale * urgent_work)
        arriving = scale * urgent_rate * PROPAGATION_TIME_S
        reserve = min(MAX_RESERVE_FRACTION * view.slots, RESERVE_DEVIATIONS * math.sqrt(arriving))
        left = view.slots + self._compute_waiting(level, view, ending) - reserve - view.held
        expected = (scale - 1.0) * (urgent_rate + level_rate) * PROPAGATION_TIME_S
        rate = max(0.0, ending + left / PROPAGATION_TIME_S) / scale
        return LevelRoom(left, left - expected, rate)

    def _compute_ending(self, level: int, view: RoomView, urgent_work: float) -> float:
        """Return how many requests a second end whose slots are for this level."""
        mean_hold = self._holding.seconds
        if mean_hold is None:
            return 0.0
        known = self._levels.get(level)
        hold = mean_hold if known is None else known.holding.seconds or mean_hold
        ending = min(view.held, float(view.slots)) / mean_hold
        return min(ending, max(0.0, view.slots - urgent_work) / hold)

    def _compute_waiting(self, level: int, view: RoomView, ending: float) -> float:
        """Return how many requests may wait at targets: those that are started in time."""
        objectives = (known.objective for number, known in self._levels.items() if number <= level)
        objective = min(objectives, default=0.0)
        return min(MAX_WAITING_FACTOR * view.slots, WAIT_AT_TARGET_FRACTION * objective * ending)

    def refill_credit(self, level: int, room: LevelRoom, now: float) -> float:
        """Return how many requests of a level may be admitted by their credit.

        It is not saved up, since room that was there some time ago may have been used elsewhere.
        """
        credit = self._credits.get(level)
        if credit is None:
            # Without the random amount, all instances would use their first credit together.
            credit = self._credits[level] = _Credit(self._random.random(), now)
        elapsed = min(PROPAGATION_TIME_S * 5.0, max(0.0, now - credit.at))
        limit = max(1.0, room.rate * PROPAGATION_TIME_S)
        credit.amount = min(limit, credit.amount + room.rate * elapsed)
        credit.at = now
        return credit.amount if room.rate > 0.0 else 0.0

    def spend_credit(self, level: int) -> None:
        """Use the credit of a level for a request."""
        credit = self._credits.get(level)
        if credit is not None:
            credit.amount -= 1.0
