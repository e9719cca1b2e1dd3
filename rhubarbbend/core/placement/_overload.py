"""Decides whether a request is admitted while all targets of its service are near the load bound.

The bound is a multiple of the mean load. When most targets receive no requests because their zone
is out of service, the remaining ones can reach the bound although they could take more. Beyond the
bound a request is rejected at once: its caller is served sooner by a retry, elsewhere or later,
than at the end of a queue.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import Final

from rhubarbbend.core.catalog import Service

# The load bound is a multiple of the mean load plus this many requests.
BOUND_SLACK: Final = 3.0
# Load estimates lag behind the real load, so requests spill over to the next target somewhat below
# the bound that the deployment sets: at this fraction of its factor.
SPILLOVER_FRACTION: Final = 0.75
# Requests are admitted up to this fraction of the multiple.
ADMISSION_FRACTION: Final = 0.9
# The requests that the other instances send are known here after about half of this time. Requests
# arrive in bursts, so each instance leaves room for twice as many.
PROPAGATION_TIME_S: Final = 0.2
# The time constant of the exponential average of the request rate.
RATE_TIME_CONSTANT_S: Final = 1.0


def compute_spillover_bound(load_factor: float, mean: float, service: Service) -> float:
    """Return the load from which on requests spill over to other targets of a service."""
    bound = load_factor * SPILLOVER_FRACTION * mean + BOUND_SLACK
    return bound if service.engine is None else min(bound, float(service.engine.slots))


class RequestRate:
    """A moving average of requests per second. Invariant: `_weight` is as of `_updated_at`."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._updated_at = -math.inf

    def record(self, now: float) -> None:
        """Record a request."""
        self._weight = self.compute(now) * RATE_TIME_CONSTANT_S + 1.0
        self._updated_at = now

    def compute(self, now: float) -> float:
        """Return the rate in requests per second."""
        return (
            self._weight
            * math.exp((self._updated_at - now) / RATE_TIME_CONSTANT_S)
            / RATE_TIME_CONSTANT_S
        )


class Headroom:
    """How many more requests a service's targets can take within the load bound.

    `loads` are the loads of the targets that receive requests. `counted` are the loads that make up
    the mean: those of all targets, or of all reachable ones. `per_target` is the headroom of each
    target in `loads`, `total` that of all together.
    """

    __slots__ = ("per_target", "total")

    def __init__(
        self, load_factor: float, loads: Sequence[float], counted: Sequence[float]
    ) -> None:
        factor = load_factor * ADMISSION_FRACTION
        mean = sum(counted) / max(1, len(counted))
        limit = factor * mean + BOUND_SLACK
        self.per_target = [max(0.0, limit - load) for load in loads]
        # Each admitted request raises the mean, and with it the sum of the limits, by this much.
        growth = factor * len(loads) / max(1, len(counted))
        self.total = sum(self.per_target) / (1.0 - growth) if growth < 1.0 else math.inf

    def admits(self, expected: float, random: Random) -> bool:
        """Whether one more request is admitted; at random if the headroom is below `expected`.

        `expected` is the number of requests that reach the other instances before this instance
        learns of them. Without the random choice, all instances would fill the same headroom.
        """
        return any(self.per_target) and random.random() * expected < self.total

    def select(self, random: Random) -> int:
        """Return the index of a target, chosen at random in proportion to its headroom.

        Otherwise all instances would choose the target with the most headroom.
        """
        return random.choices(range(len(self.per_target)), self.per_target)[0]
