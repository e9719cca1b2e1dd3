"""How many requests a second one instance may send to a cold target."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Final

from rhubarbbend.core._rendezvous import rank_names

# Sends are counted over a little more than the second of the bound: two requests that leave a
# second apart can arrive closer together, by what their ways differ.
WINDOW: Final = 1.15
# Sends that are remembered of one target; no cold target bears more in a window.
MAX_COUNTED: Final = 256


class ColdAllowance:
    """Counts what is sent to cold targets.

    A cold target that gets more than it bears crashes, and every request on it is lost. The bound
    is on all instances together, in touch or not, so each takes a fixed part of it. Where the
    bound is smaller than the number of instances, the first few in rendezvous order of the target
    may send one request a second each, and the others none.
    Invariant: in any window at most the part of one instance is sent.
    """

    def __init__(self, instance: str, overshoot: float, slack: float) -> None:
        self._instance = instance
        self.set_bound(overshoot, slack)
        self._sent: dict[str, deque[float]] = {}
        # Whether this instance is among the first for a target, as of a list of instances.
        self._first: dict[str, tuple[Sequence[str], bool]] = {}

    def set_bound(self, overshoot: float, slack: float) -> None:
        """Take the bound to be a target's rate times `overshoot` plus `slack` in a second."""
        self._overshoot = overshoot
        self._slack = slack

    def compute_part(self, target: str, cold_rate: float, instances: Sequence[str]) -> int:
        """Give the number of requests that this instance may send in a window."""
        bound = int(cold_rate * self._overshoot + self._slack)
        count = max(1, len(instances))
        if bound >= count:
            return bound // count
        return int(self._is_first(target, bound, instances))

    def _is_first(self, target: str, bound: int, instances: Sequence[str]) -> bool:
        """Whether this instance is among the first few for a target; worked out once a list."""
        known = self._first.get(target)
        if known is not None and known[0] is instances:
            return known[1]
        found = self._instance in rank_names(target, instances)[:bound]
        self._first[target] = (instances, found)
        return found

    def has_room(self, target: str, part: int, now: float) -> bool:
        """Whether one more request may be sent within the part."""
        sent = self._sent.get(target)
        if sent is None:
            return part > 0
        while sent and now - sent[0] >= WINDOW:
            sent.popleft()
        return len(sent) < part

    def note_sent(self, target: str, now: float) -> None:
        """Count a request to a target, cold or not: it may turn out to have been cold.

        It is counted when the target is chosen: while a connection to it opens, others choose.
        """
        self._sent.setdefault(target, deque(maxlen=MAX_COUNTED)).append(now)

    def forget(self, target: str) -> None:
        """Forget a target that has gone."""
        self._sent.pop(target, None)
        self._first.pop(target, None)
