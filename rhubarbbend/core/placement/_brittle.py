"""Protects targets that fall over if they have to reject many requests.

Such a target says in its answers how many rejections a second it bears, from all instances
together. A rejection is one of these already, so requests are only sent to a target that has room
by the counts of all instances, and after a rejection by anyone all stop sending to it for a while.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.directory import Target

# How long a service counts as brittle after the last answer or message that said so.
NOTICE_TTL_S: Final = 4.0
# While answers say that a service is brittle, the others are told again after this time.
REPEAT_INTERVAL_S: Final = 1.5
# Nothing is sent to a target for this long after a rejection, and at random up to twice as long:
# otherwise all instances would return together. Other instances may add rejections until they know.
STOP_S: Final = 0.1
# Once a target has rejected this fraction of what it bears in a second, nothing is sent to it until
# the first of these rejections was a second ago.
SAFE_FRACTION: Final = 0.5
WINDOW_S: Final = 1.0
# After a rejection, a target is taken to have room for this fraction of what it held then, and for
# some more with each second after it.
ROOM_FRACTION: Final = 0.8
# What it held is known late, so the room is not taken to be less than this fraction of what it was.
MAX_DECREASE: Final = 0.5
MIN_ROOM: Final = 1.0
MAX_RECORDED_REJECTIONS: Final = 64
ROOM_GROWTH_PER_S: Final = 1.0
# Requests do not arrive evenly at the targets of a service: one may get this many times its part of
# those that are not counted here yet.
UNEVENNESS: Final = 4.0
# This part of a target's room is divided among the instances; each may use its own whatever it
# knows of the others. The rest is for whoever comes first, by what each knows.
SHARED_FRACTION: Final = 0.5


class BrittleNotice(msgspec.Struct, frozen=True, array_like=True):
    """Says that a service's targets are brittle, and that one of them has rejected a request.

    `per_s` is the number of rejections a second that a target bears. `target` is empty if none has
    rejected a request; else it has `slots` and held `held` requests then.
    """

    service: str
    per_s: int
    target: str = ""
    slots: int = 0
    held: float = 0.0


class _BrittleTarget:
    """A target that has rejected a request while it was brittle."""

    __slots__ = ("room", "rejected_at", "stopped_until")

    def __init__(self, slots: float) -> None:
        # How many requests it was taken to have room for after its latest rejection.
        self.room = slots
        # When it rejected requests, whoever sent them.
        self.rejected_at: deque[float] = deque(maxlen=MAX_RECORDED_REJECTIONS)
        self.stopped_until = -math.inf

    def compute_room(self, now: float) -> float:
        """Return how many requests it probably has room for."""
        since = now - self.rejected_at[-1] if self.rejected_at else 0.0
        return self.room + ROOM_GROWTH_PER_S * since

    def record_rejection(self, per_s: int, held: float, stop_s: float, now: float) -> None:
        """Record a rejection, and stop sending for a time."""
        if now >= self.stopped_until:
            # Others that were sent at the same time tell no more of the room than the first.
            least = MAX_DECREASE * self.compute_room(now)
            self.room = max(MIN_ROOM, ROOM_FRACTION * held, least)
        self.rejected_at.append(now)
        self.stopped_until = max(self.stopped_until, now + stop_s)
        recent = [at for at in self.rejected_at if now - at < WINDOW_S]
        if len(recent) >= max(1.0, SAFE_FRACTION * per_s):
            self.stopped_until = max(self.stopped_until, recent[0] + WINDOW_S + stop_s)


class BrittleTracker:
    """Tracks which services are brittle. Invariant: it holds nothing while none is."""

    def __init__(self, instance: str, random: Random) -> None:
        self._instance = instance
        self._random = random
        # By service, until when it counts as brittle, and when the others were told last.
        self._until: dict[str, float] = {}
        self._told_at: dict[str, float] = {}
        self._targets: dict[str, dict[str, _BrittleTarget]] = {}
        self._unsent: list[BrittleNotice] = []
        # Called when there is something to tell the other instances; set by the instance.
        self.on_unsent: Callable[[], None] = lambda: None

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether the targets of a service are brittle."""
        until = self._until.get(service)
        if until is None:
            return False
        if now < until:
            return True
        self._forget(service)
        return False

    def record_answer(self, service: str, per_s: int | None, now: float) -> None:
        """Record what an answer says of its service; None: that it is not brittle."""
        if per_s is None:
            if service in self._until:
                self._forget(service)
            return
        self._until[service] = now + NOTICE_TTL_S
        if now - self._told_at.get(service, -math.inf) >= REPEAT_INTERVAL_S:
            self._told_at[service] = now
            self._unsent.append(BrittleNotice(service, per_s))
            self.on_unsent()

    def record_rejection(
        self, service: str, target: str, slots: int, per_s: int, held: float, now: float
    ) -> None:
        """Record that a brittle target that held so many requests has rejected one."""
        self._stop(service, target, slots, per_s, held, now)
        self._unsent.append(BrittleNotice(service, per_s, target, slots, held))
        self.on_unsent()

    def merge_notices(self, notices: Iterable[BrittleNotice], now: float) -> None:
        """Record what another instance has learned."""
        for notice in notices:
            self._until[notice.service] = now + NOTICE_TTL_S
            if notice.target:
                self._stop(
                    notice.service, notice.target, notice.slots, notice.per_s, notice.held, now
                )
            else:
                # The others have just been told by that instance.
                self._told_at[notice.service] = now

    def pop_unsent(self) -> list[BrittleNotice]:
        """Return what was learned since the last call, for the other instances."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def select_with_room(
        self,
        targets: Sequence[Target],
        loads: dict[str, float],
        own: dict[str, int],
        instances: Sequence[str],
        expected: float,
        hears_peers: bool,
        now: float,
    ) -> list[Target]:
        """Return those targets of a brittle service that one more request may be sent to.

        `loads` are the requests that each target holds, `own` those of this instance. `expected` is
        the number of requests that reach the other instances before this one learns of them. If it
        does not hear its peers, only its own part of the targets' room is used.
        """
        if not targets:
            return []
        uncounted = UNEVENNESS * expected / len(targets) if hears_peers else 0.0
        selected: list[Target] = []
        for target in targets:
            known = self._targets.get(target.service, {}).get(target.id)
            if known is not None and now < known.stopped_until:
                continue
            room = float(target.slots)
            if known is not None:
                room = min(room, known.compute_room(now))
            part = SHARED_FRACTION * room if hears_peers else room
            if own.get(target.id, 0) < self._compute_share(target, part, instances):
                selected.append(target)
                continue
            room -= loads.get(target.id, 0.0)
            # Without the random choice, all instances would take the same last room.
            if hears_peers and room >= 1.0 and self._random.random() * uncounted < room:
                selected.append(target)
        return selected

    def _compute_share(self, target: Target, room: float, instances: Sequence[str]) -> int:
        """Return how many requests this instance may have at a target if each uses its part."""
        count = max(1, len(instances))
        if room >= count:
            return int(room) // count
        return int(self._instance in rank_names(target.id, instances)[: int(room)])

    def _stop(
        self, service: str, target: str, slots: float, per_s: int, held: float, now: float
    ) -> None:
        known = self._targets.setdefault(service, {}).setdefault(target, _BrittleTarget(slots))
        known.record_rejection(per_s, held, STOP_S * self._random.uniform(1.0, 2.0), now)

    def _forget(self, service: str) -> None:
        for by_service in (self._until, self._told_at, self._targets):
            by_service.pop(service, None)
