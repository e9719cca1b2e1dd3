"""One instance's part of a service's retry budget."""

from __future__ import annotations

from collections import deque
from typing import Final

# Of the common slack, what is not handed out: an instance that the others do not know of yet
# takes its part of it.
RESERVE: Final = 0.2
# The ratio is applied to requests of the same window; the last ones may fall out of the judge's.
RATIO_PART: Final = 0.9


class RetryShare:
    """Requests and second sends of one service in a sliding window.

    Without it each failing request would be sent several times, and targets that are short of
    capacity would get a multiple of their load just when they bear less.
    Invariant: in any window second sends are at most this instance's part of the slack plus the
    ratio of its own requests.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.set_bound(ratio, slack, window)
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_bound(self, ratio: float, slack: float, window: float) -> None:
        """Take the bound over all instances to be `slack` plus `ratio` of all requests."""
        self._ratio = ratio * RATIO_PART
        self._slack = slack * (1.0 - RESERVE)
        self._window = window

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._drop_old(now)
        self._requests.append(now)

    def compute_left(self, instances: int, now: float) -> float:
        """Give how many second sends are left."""
        self._drop_old(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, instances)
        return allowed - len(self._repeats)

    def take(self, instances: int, now: float) -> bool:
        """Take the right to one second send; False if none is left."""
        if self.compute_left(instances, now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
