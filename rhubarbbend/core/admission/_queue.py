"""The requests that wait at one instance for room at a service.

Load: demand above the room for a short time. More urgent requests are taken first, then those of
accounts that have used the least of their share, then those that arrived first.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import Final

import msgspec

# Holding a request costs its caller nothing up to this fraction of its objective. The most urgent
# ones that wait may wait for twice as long.
WAIT_FRACTION: Final = 0.125
URGENT_WAIT_FRACTION: Final = 0.25
# Requests that wait at one instance for one service. The best one is found by a scan.
MAX_WAITING: Final = 128


class Outcome(enum.Enum):
    """What is done with a request."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(enum.Enum):
    """Why a request is refused."""

    # By the estimate, its first event would come after its deadline.
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    # There is no room, and its client account has used more than its share.
    OVER_SHARE = "over_share"
    QUEUE_FULL = "queue_full"


class AdmissionRequest(msgspec.Struct, frozen=True):
    """What admission has to know of a request; times are in seconds.

    `priority` 0 is the most urgent. `tokens` is the size of its prompt. `estimate` is the expected
    time to its first event, None if unknown. An `is_repeat` was sent to a target before, and does
    not wait.
    """

    route: str
    account: str
    priority: int
    objective: float
    deadline: float
    tokens: int = 0
    estimate: float | None = None
    is_repeat: bool = False


class Decision(msgspec.Struct):
    """What was decided on a request, and the figures that it rests on; logged.

    `room` is what was left for requests of its level, `held` and `slots` are those of the service,
    `preferred` is the number of requests that were waiting here and came before this one.
    `is_open` is whether it was admitted because too little was known. `starved` is the kind of
    requests for whose minimum share it was preferred. `estimate` is that of the request.
    """

    outcome: Outcome
    level: int
    room: float
    held: float
    slots: int
    preferred: int = 0
    reason: RefusalReason | None = None
    retry_after: float = 0.0
    is_open: bool = False
    is_over_share: bool = False
    starved: str | None = None
    estimate: float | None = None


class Waiter:
    """A request that waits. `number` grows in order of arrival."""

    __slots__ = ("request", "decision", "kinds", "arrived_at", "number")

    def __init__(
        self,
        request: AdmissionRequest,
        decision: Decision,
        kinds: tuple[str, ...],
        arrived_at: float,
        number: int,
    ) -> None:
        self.request = request
        self.decision = decision
        self.kinds = kinds
        self.arrived_at = arrived_at
        self.number = number

    def compute_bound(self, is_most_urgent: bool) -> float:
        """Return until when it may wait."""
        fraction = URGENT_WAIT_FRACTION if is_most_urgent else WAIT_FRACTION
        end = self.arrived_at + fraction * self.request.objective
        return min(end, self.request.deadline)


class WaitingQueue:
    """The waiting requests of one service. Invariant: no more than `MAX_WAITING`."""

    def __init__(self, read_use: Callable[[str, float], float]) -> None:
        # Returns what an account used lately in proportion to its share.
        self._read_use = read_use
        self._waiters: dict[int, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def is_over_limit(self) -> bool:
        """Whether the last request has to leave the queue."""
        return len(self._waiters) >= MAX_WAITING

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        self._waiters[waiter.number] = waiter

    def remove(self, waiter: Waiter) -> bool:
        """Remove a request; return whether it was waiting."""
        return self._waiters.pop(waiter.number, None) is not None

    def find_first(self, now: float) -> Waiter | None:
        """Return the request that comes first."""
        return min(self._waiters.values(), key=lambda w: self._make_key(w, now), default=None)

    def find_last(self, now: float) -> Waiter | None:
        """Return the request that comes last."""
        return max(self._waiters.values(), key=lambda w: self._make_key(w, now), default=None)

    def count_before(self, waiter: Waiter, now: float) -> int:
        """Return how many of the waiting requests come before one of them."""
        key = self._make_key(waiter, now)
        return sum(self._make_key(other, now) < key for other in self._waiters.values())

    def find_level(self) -> int | None:
        """Return the most urgent level that is waiting; None if nothing waits."""
        return min((w.decision.level for w in self._waiters.values()), default=None)

    def pop_expired(self, now: float) -> list[Waiter]:
        """Remove and return the requests that have waited for as long as they may."""
        most_urgent = self.find_level()
        for waiter in self._waiters.values():
            # The clock may have been set back.
            waiter.arrived_at = min(waiter.arrived_at, now)
        expired = [
            waiter
            for waiter in self._waiters.values()
            if now >= waiter.compute_bound(waiter.decision.level == most_urgent)
        ]
        for waiter in expired:
            del self._waiters[waiter.number]
        return expired

    def find_next_bound(self) -> float:
        """Return when the first request will have waited for as long as it may."""
        most_urgent = self.find_level()
        bounds = (w.compute_bound(w.decision.level == most_urgent) for w in self._waiters.values())
        return min(bounds, default=math.inf)

    def _make_key(self, waiter: Waiter, now: float) -> tuple[int, bool, float, int]:
        decision = waiter.decision
        use = self._read_use(waiter.request.account, now)
        return (decision.level, decision.starved is None, use, waiter.number)
