"""One instance's share of a service's retry budget."""

from __future__ import annotations

from collections import deque
from typing import Final

# Fraction of the fleet's slack that no instance uses. It covers the share of an instance that the
# others do not know of yet.
RESERVED_SLACK_FRACTION: Final = 0.2
# Safety margin on the ratio. The ratio applies to the requests of one window, and whoever checks
# the limit may use a window that does not contain the latest requests counted here.
RATIO_MARGIN_FACTOR: Final = 0.9


class RetryBudgetShare:
    """Counts the requests and retries of one service in a sliding window.

    Without a limit, each failing request would be sent several times, and targets that lack
    capacity would get a multiple of their load when they can bear less of it.
    Invariant: in any window, retries are at most this instance's share of the slack plus the
    ratio of its own requests.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.set_limit(ratio, slack, window)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_limit(self, ratio: float, slack: float, window: float) -> None:
        """Set the fleet's limit: `slack` plus `ratio` of all requests in `window` seconds."""
        self._ratio = ratio * RATIO_MARGIN_FACTOR
        self._slack = slack * (1.0 - RESERVED_SLACK_FRACTION)
        self._window = window

    def record_request(self, now: float) -> None:
        """Record a request of a caller."""
        self._expire(now)
        self._requests.append(now)

    def compute_remaining(self, instances: int, now: float) -> float:
        """Return the number of retries left to this instance, one of `instances`."""
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, instances)
        return allowed - len(self._retries)

    def try_acquire(self, instances: int, now: float) -> bool:
        """Record a retry and return True, or return False if none is left."""
        if self.compute_remaining(instances, now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window:
                times.popleft()
