"""Estimates the rate at which requests arrive here and elsewhere, without a fleet-wide counter.

Load: bursts at all instances at once, and nine in ten arrivals at one instance.
"""

from __future__ import annotations

import math
from typing import Final

# The time constant of the averages of arrival rates. A shorter one makes an instance with two
# arrivals a second overestimate its rate right after each of them.
RATE_TIME_CONSTANT_S: Final = 2.0
# Demand is assumed to exceed the requests that are admitted by at most this factor.
MAX_OVERLOAD: Final = 3.0


class DecayedSum:
    """A sum whose older parts lose weight exponentially."""

    __slots__ = ("_value", "_at", "_time_constant")

    def __init__(self, time_constant: float) -> None:
        self._value = 0.0
        self._at = -math.inf
        self._time_constant = time_constant

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the present time."""
        self._value = self.read(now) + amount
        self._at = now

    def read(self, now: float) -> float:
        """Return the sum; a clock that was set back lets nothing lose weight."""
        if not self._value:
            return 0.0
        return self._value * math.exp(min(0.0, self._at - now) / self._time_constant)


def estimate_others_rate(
    own_rate: float, others_held: float, time_held: float | None, instances: int
) -> float:
    """Estimate the arrivals per second at the other instances.

    By itself an instance takes the others to have as many arrivals each as it has. The requests of
    the others that targets hold, each for `time_held` seconds, limit this in both directions: the
    others have at least as many arrivals as they have sent, and not many times more. So an
    instance with nine in ten arrivals takes about nine tenths of the room.
    """
    even = own_rate * (instances - 1)
    if time_held is None or time_held <= 0.0 or instances <= 1:
        return even
    sent = others_held / time_held
    return max(sent, min(even, MAX_OVERLOAD * sent))
