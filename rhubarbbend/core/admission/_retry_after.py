"""Computes Retry-After so that refused callers return when room is expected, one after another.

Load: many callers refused at once, which would otherwise all return at once.
"""

from __future__ import annotations

import math
from typing import Final

# Of the requests that will be admitted, this fraction is promised to callers that return.
RETURN_FRACTION: Final = 0.5
MIN_RATE_PER_S: Final = 0.5
# Later room is not promised: what is known of the load does not reach further.
MAX_AHEAD_S: Final = 4.0
# Callers honour a Retry-After of at most this fraction of the time that they have left.
MAX_FRACTION: Final = 1.0 / 3.0


class RetrySchedule:
    """Gives each refused caller the next time at which room is expected for one more request."""

    __slots__ = ("_last_at",)

    def __init__(self) -> None:
        self._last_at = -math.inf

    def compute(self, rate: float, time_left: float, now: float) -> float:
        """Return the seconds after which a caller should retry.

        `rate` is the number of requests per second that this instance is expected to admit.
        """
        interval = 1.0 / max(MIN_RATE_PER_S, RETURN_FRACTION * rate)
        if self._last_at > now + MAX_AHEAD_S:
            # The clock was set back.
            self._last_at = now
        at = min(max(now, self._last_at) + interval, now + MAX_AHEAD_S)
        bound = MAX_FRACTION * max(0.0, time_left)
        if at - now > bound:
            # A caller that cannot wait for its turn does not use it up.
            return bound
        self._last_at = at
        return at - now
