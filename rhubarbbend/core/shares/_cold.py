"""One instance's share of the rate limit of cold targets."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Final

from rhubarbbend.core._rendezvous import rank_names

# The limit is per second, but sends are counted over a slightly longer window: two requests that
# are sent a second apart can arrive closer together if their network delays differ.
WINDOW_S: Final = 1.15
# Sends remembered per target; no cold target can bear more than this in a window.
MAX_RECORDED_SENDS: Final = 256


class ColdTargetShare:
    """Limits the rate at which this instance sends requests to cold targets.

    A cold target that gets more requests than it can bear crashes, and every request on it is
    lost. The limit holds for all instances together, whether or not they can reach one another, so
    each uses a fixed share of it. If the limit is smaller than the number of instances, the first
    few in the target's rendezvous order may send one request a second each, and the others none.
    Invariant: in any window, this instance sends at most its share.
    """

    def __init__(self, instance: str, overshoot: float, slack: float) -> None:
        self._instance = instance
        self.set_limit(overshoot, slack)
        self._sent: dict[str, deque[float]] = {}
        # By target: an instance list, and whether this instance is among the first in it.
        self._first_cache: dict[str, tuple[Sequence[str], bool]] = {}

    def set_limit(self, overshoot: float, slack: float) -> None:
        """Set the fleet's limit per second: a target's rate times `overshoot`, plus `slack`."""
        self._overshoot = overshoot
        self._slack = slack

    def compute_share(self, target: str, cold_rate: float, instances: Sequence[str]) -> int:
        """Return the number of requests that this instance may send to a target in a window."""
        limit = int(cold_rate * self._overshoot + self._slack)
        count = max(1, len(instances))
        if limit >= count:
            return limit // count
        return int(self._is_among_first(target, limit, instances))

    def _is_among_first(self, target: str, limit: int, instances: Sequence[str]) -> bool:
        """Return whether this instance is among the first `limit` in the target's order.

        The result is cached per target for as long as `instances` is the same object.
        """
        cached = self._first_cache.get(target)
        if cached is not None and cached[0] is instances:
            return cached[1]
        is_first = self._instance in rank_names(target, instances)[:limit]
        self._first_cache[target] = (instances, is_first)
        return is_first

    def has_room(self, target: str, share: int, now: float) -> bool:
        """Return whether one more request to the target is within this instance's share."""
        sent = self._sent.get(target)
        if sent is None:
            return share > 0
        while sent and now - sent[0] >= WINDOW_S:
            sent.popleft()
        return len(sent) < share

    def record_sent(self, target: str, now: float) -> None:
        """Record a request to a target, even a warm one: it may turn out to have been cold.

        Requests are recorded when the target is chosen, because other requests choose targets
        while the connection is still being opened.
        """
        self._sent.setdefault(target, deque(maxlen=MAX_RECORDED_SENDS)).append(now)

    def forget(self, target: str) -> None:
        """Remove the state of a target that no longer exists."""
        self._sent.pop(target, None)
        self._first_cache.pop(target, None)
