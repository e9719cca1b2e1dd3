"""Decides which requests to one service are admitted, wait or are refused.

Load: demand of several times the room, from all callers or from one, at all instances or at one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from typing import Final

from rhubarbbend.core.admission._fairness import AccountShares, LargestTracker, MinimumShares
from rhubarbbend.core.admission._levels import OVER_SHARE_LEVEL, LevelRoom, Levels
from rhubarbbend.core.admission._queue import (
    WAIT_FRACTION,
    AdmissionRequest,
    Decision,
    Outcome,
    RefusalReason,
    Waiter,
    WaitingQueue,
)
from rhubarbbend.core.admission._retry_after import RetrySchedule
from rhubarbbend.core.admission._room import RoomView

__all__ = ["AdmissionRequest", "Decision", "Outcome", "RefusalReason", "ServiceAdmission", "Waiter"]

# Nothing is refused for want of room while less than this fraction of the slots is in use and
# nothing waits at a target.
MIN_USED_FRACTION: Final = 0.5
# A request is refused at once if it is expected to wait for this many times as long as it may.
MAX_EXPECTED_WAIT_FACTOR: Final = 2.0
# Room is scarce for so long after a request that could not be admitted freely. Shares are only
# enforced meanwhile, and the usual load of accounts is only learned at other times.
SCARCE_S: Final = 1.0
# While requests wait, the room is computed again at this interval.
EVALUATION_INTERVAL_S: Final = 0.02


class ServiceAdmission:
    """Admission to one service at one instance.

    Each request is passed to `decide`. One that has to wait is returned as a `Waiter`; it is later
    returned by `reevaluate`, with its decision, or has to be withdrawn. Invariant: a request for
    which there is room never waits behind a less urgent one.
    """

    def __init__(self, random: Random) -> None:
        self.levels = Levels(random)
        self._shares = AccountShares()
        self._minimum = MinimumShares(random)
        self._largest: dict[str, LargestTracker] = {}
        self._schedule = RetrySchedule()
        self.queue = WaitingQueue(self._shares.read_use)
        self._arrivals = 0
        self._scarce_until = -math.inf
        # Requests that were admitted from the queue and are not counted in the room yet.
        self.promised = 0
        # Requests that were refused since more urgent ones filled the queue.
        self._evicted: list[Waiter] = []

    def decide(self, request: AdmissionRequest, view: RoomView, now: float) -> Waiter:
        """Decide on a request that has arrived; the decision is that of the returned waiter."""
        kinds = self._list_kinds(request)
        waiter = self._classify(request, kinds, view, now)
        decision = waiter.decision
        if request.estimate is not None and now + request.estimate > request.deadline:
            self._refuse(waiter, RefusalReason.TOO_LATE, now, view)
        elif not view.is_known or self._is_underused(view):
            decision.is_open = not view.is_known
            self._admit(waiter, now)
        elif self._may_pass(waiter, view, now):
            self._admit(waiter, now)
        elif request.is_repeat:
            self._refuse(waiter, RefusalReason.NO_ROOM, now, view)
        else:
            self._enqueue(waiter, view, now)
        return waiter

    def reevaluate(self, view: RoomView, now: float) -> list[Waiter]:
        """Return the waiting requests that are now admitted or refused."""
        done = self.admit_waiting(view, now)
        for waiter in self.queue.pop_expired(now):
            is_over = waiter.decision.is_over_share
            reason = RefusalReason.OVER_SHARE if is_over else RefusalReason.NO_ROOM
            self._refuse(waiter, reason, now, view)
            done.append(waiter)
        return done

    def admit_waiting(self, view: RoomView, now: float) -> list[Waiter]:
        """Return the waiting requests for which there is room now, and those that were evicted."""
        done, self._evicted = self._evicted, []
        while (waiter := self.queue.find_first(now)) is not None:
            is_free = not view.is_known or self._is_underused(view)
            if not is_free and not self._try_take_room(waiter, view, now):
                break
            self.queue.remove(waiter)
            self._admit(waiter, now)
            self.promised += 1
            done.append(waiter)
        return done

    def compute_next_evaluation(self, now: float) -> float:
        """Return when to look at the room again while requests wait."""
        return min(now + EVALUATION_INTERVAL_S, max(now, self.queue.find_next_bound()))

    def withdraw(self, waiter: Waiter) -> None:
        """Remove a request whose caller has left, or whose deadline has passed."""
        self.queue.remove(waiter)

    def record_started(self) -> None:
        """Record that a request admitted from the queue is now counted in the room, or has ended.

        It has to be called for each waiter that was returned as admitted.
        """
        self.promised = max(0, self.promised - 1)

    def record_holding(self, priority: int, objective: float, seconds: float) -> None:
        """Record how long a target took for a request that it did not let wait."""
        self.levels.record_holding(_get_level(priority), objective, seconds)

    # Classification.

    def _list_kinds(self, request: AdmissionRequest) -> tuple[str, ...]:
        """Return the kinds of requests, each with a minimum share, that a request belongs to."""
        kinds = (f"route {request.route}", f"account {request.account}")
        if not request.tokens:
            return kinds
        largest = self._largest.get(request.route)
        if largest is None:
            largest = self._largest[request.route] = LargestTracker()
        if largest.record(request.tokens):
            return (*kinds, f"largest of {request.route}")
        return kinds

    def _classify(
        self, request: AdmissionRequest, kinds: Sequence[str], view: RoomView, now: float
    ) -> Waiter:
        """Count a request, and find the level of urgency by which it is judged."""
        priority = _get_level(request.priority)
        has_room = not view.is_known or not self._is_scarce(now)
        if not request.is_repeat:
            self._shares.record_arrival(request.account, has_room, now)
            self._minimum.record_arrival(kinds, has_room, now)
        starved = None if has_room else self._minimum.find_starved(kinds)
        is_over = (
            starved is None and not has_room and self._shares.judge_arrival(request.account, now)
        )
        level = 0 if starved else OVER_SHARE_LEVEL if is_over else priority
        if not request.is_repeat:
            self.levels.record_arrival(level, request.objective, now)
        decision = Decision(Outcome.WAIT, level, 0.0, round(view.held, 1), view.slots)
        decision.is_over_share = is_over
        decision.starved = starved
        decision.estimate = request.estimate
        self._arrivals += 1
        return Waiter(request, decision, tuple(kinds), now, self._arrivals)

    # Room.

    def _is_scarce(self, now: float) -> bool:
        """Return whether a request could not be admitted freely a short time ago."""
        # The upper bound ends the period if the clock was set back.
        return now < self._scarce_until <= now + SCARCE_S

    def _is_underused(self, view: RoomView) -> bool:
        """Return whether nothing may be refused for want of room."""
        return not view.has_queue and view.held + self.promised < MIN_USED_FRACTION * view.slots

    def _may_pass(self, waiter: Waiter, view: RoomView, now: float) -> bool:
        """Return whether there is room for a request that has just arrived."""
        waiting = self.queue.find_level()
        if waiting is not None and waiting <= waiter.decision.level:
            return False
        return self._try_take_room(waiter, view, now)

    def _try_take_room(self, waiter: Waiter, view: RoomView, now: float) -> bool:
        """Return whether there is room for a request, and use up its credit if it needs one."""
        level = waiter.decision.level
        room = self.levels.compute_room(level, view, now)
        waiter.decision.room = round(room.left - self.promised, 1)
        if room.free - self.promised >= 1.0:
            return True
        self._scarce_until = now + SCARCE_S
        if self.levels.refill_credit(level, room, now) < 1.0:
            return False
        self.levels.spend_credit(level)
        return True

    # Ends of decisions.

    def _enqueue(self, waiter: Waiter, view: RoomView, now: float) -> None:
        """Let a request wait, or refuse it if it would wait in vain."""
        self.queue.add(waiter)
        decision = waiter.decision
        decision.preferred = self.queue.count_before(waiter, now)
        room = self.levels.compute_room(decision.level, view, now)
        missing = decision.preferred + 1.0 - self.levels.refill_credit(decision.level, room, now)
        max_wait = MAX_EXPECTED_WAIT_FACTOR * WAIT_FRACTION * waiter.request.objective
        exceeds_wait = self.levels.knows_holding and missing > room.rate * max_wait
        if exceeds_wait or now >= waiter.request.deadline:
            self.queue.remove(waiter)
            is_over = decision.is_over_share
            reason = RefusalReason.OVER_SHARE if is_over else RefusalReason.NO_ROOM
            self._refuse(waiter, reason, now, view, room)
        elif self.queue.is_over_limit:
            self._evict_last(view, now)

    def _evict_last(self, view: RoomView, now: float) -> None:
        """Refuse the waiting request that comes last; `reevaluate` returns it."""
        last = self.queue.find_last(now)
        if last is not None:
            self.queue.remove(last)
            self._refuse(last, RefusalReason.QUEUE_FULL, now, view)
            self._evicted.append(last)

    def _admit(self, waiter: Waiter, now: float) -> None:
        waiter.decision.outcome = Outcome.ADMIT
        self._shares.record_admitted(waiter.request.account, now)
        self._minimum.record_admitted(waiter.kinds, now)

    def _refuse(
        self,
        waiter: Waiter,
        reason: RefusalReason,
        now: float,
        view: RoomView,
        room: LevelRoom | None = None,
    ) -> None:
        decision = waiter.decision
        decision.outcome = Outcome.REFUSE
        decision.reason = reason
        if room is None:
            room = self.levels.compute_room(decision.level, view, now)
        time_left = waiter.request.deadline - now
        decision.retry_after = self._schedule.compute(room.rate, time_left, now)


def _get_level(priority: int) -> int:
    """Return the level of a priority; levels below are for accounts beyond their share."""
    return min(max(0, priority), OVER_SHARE_LEVEL - 1)
