"""Tests of targets that fall over if they have to reject more than a few requests a second."""

from __future__ import annotations

from collections import deque
from random import Random

import pytest

from rhubarbbend.core.directory import Target, TargetRecord, TargetState
from rhubarbbend.core.placement import BrittleNotice, BrittleTracker

SERVICE = "plain"
# Rejections a second that a target bears, and the time that a request takes there.
PER_S = 6
WORK_S = 0.1
# What an instance learns of the others' requests, and of their rejections, is so old.
DELAY_S = 0.08
# From so long after the first answer that says that targets are brittle, falls count.
CONTACT_S = 3.0


def make_target(name: str, slots: int) -> Target:
    record = TargetRecord(name, SERVICE, "10.0.0.1", 1, "a", slots, TargetState.READY)
    return Target(record, 0.0, 0.0)


class Simulation:
    """Instances that send requests to three targets; all times are in seconds.

    Requests come in bursts: those of a tenth of a second within a hundredth. A target has room for
    `room` requests at a time and falls over if it rejects more than `PER_S` in a second.
    """

    def __init__(self, instances: int, rate: float, slots: int, room: int, guarded: bool) -> None:
        self.random = Random(7)
        self.rate, self.room, self.guarded = rate, room, guarded
        self.targets = [make_target(f"t-{n}", slots) for n in range(3)]
        self.names = [f"i-{n}" for n in range(instances)]
        self.trackers = [BrittleTracker(name, Random(n)) for n, name in enumerate(self.names)]
        # By target: when each request that it holds ends, and who sent it.
        self.held: dict[str, list[tuple[float, int]]] = {t.id: [] for t in self.targets}
        self.rejected: dict[str, deque[float]] = {t.id: deque() for t in self.targets}
        # When the others learn of a rejection.
        self.in_transit: deque[tuple[float, BrittleNotice]] = deque()
        self.falls = self.served = 0

    def run(self) -> tuple[int, int]:
        """Send requests for 8 s; return the falls after `CONTACT_S` and the requests served."""
        for step in range(80):
            now = step * 0.1
            for tracker in self.trackers:
                tracker.record_answer(SERVICE, PER_S, now)
                tracker.pop_unsent()
            for number in range(round(self.rate / 10)):
                self._send(now + 0.1 * (number + 1) / self.rate)
        return self.falls, self.served

    def _send(self, now: float) -> None:
        sender = self.random.randrange(len(self.trackers))
        while self.in_transit and self.in_transit[0][0] <= now:
            notice = self.in_transit.popleft()[1]
            for tracker in self.trackers:
                tracker.merge_notices([notice], now)
        known = {t.id: self._count_known(t.id, sender, now) for t in self.targets}
        fit = self._select(sender, known, now)
        if fit:
            target = min(fit, key=lambda t: (known[t.id], self.random.random()))
            self._receive(target, sender, known[target.id], now)

    def _count_known(self, target: str, sender: int, now: float) -> float:
        """Count the requests at a target that an instance knows of: its own, and older ones."""
        return float(
            sum(
                end > now and (end - WORK_S <= now - DELAY_S or who == sender)
                for end, who in self.held[target]
            )
        )

    def _select(self, sender: int, known: dict[str, float], now: float) -> list[Target]:
        if not self.guarded:
            return self.targets
        own = {
            t.id: sum(end > now and who == sender for end, who in self.held[t.id])
            for t in self.targets
        }
        expected = self.rate * DELAY_S
        tracker = self.trackers[sender]
        return tracker.select_with_room(self.targets, known, own, self.names, expected, True, now)

    def _receive(self, target: Target, sender: int, known: float, now: float) -> None:
        held = self.held[target.id] = [h for h in self.held[target.id] if h[0] > now]
        if len(held) < self.room:
            held.append((now + WORK_S, sender))
            self.served += 1
            return
        rejected = self.rejected[target.id]
        rejected.append(now)
        while rejected[0] < now - 1.0:
            rejected.popleft()
        if len(rejected) > PER_S:
            rejected.clear()
            self.falls += now >= CONTACT_S
        if self.guarded:
            tracker = self.trackers[sender]
            tracker.record_rejection(SERVICE, target.id, target.slots, PER_S, known, now)
            self.in_transit.extend((now + DELAY_S, notice) for notice in tracker.pop_unsent())


def simulate(instances: int, rate: float, slots: int, room: int, guarded: bool) -> tuple[int, int]:
    """Run a simulation; return the falls after `CONTACT_S` and the requests served."""
    return Simulation(instances, rate, slots, room, guarded).run()


# Guards against targets that fall over because all instances send them what they have no room for.
@pytest.mark.parametrize("instances", [8, 300])
@pytest.mark.parametrize("room", [6, 3])
def test_brittle_targets_do_not_fall_over_under_a_load_beyond_their_room(
    instances: int, room: int
) -> None:
    falls, served = simulate(instances, 400.0, slots=6, room=room, guarded=True)
    assert simulate(instances, 400.0, slots=6, room=room, guarded=False)[0] > 20
    assert falls <= 2 + 3 / 10
    # A quarter of what the three targets can do in 8 s, at two and four times as many requests.
    assert served >= 0.25 * 3 * room * 8 / WORK_S


# Guards against refusing what brittle targets have room for.
def test_brittle_targets_with_room_get_all_requests() -> None:
    falls, served = simulate(8, 60.0, slots=6, room=6, guarded=True)
    assert falls == 0
    assert served >= 475


# Guards against instances that hold no counts of the others and add up to more than the room.
@pytest.mark.parametrize(("slots", "instances"), [(6, 300), (6, 4), (64, 8)])
def test_instances_without_counts_use_parts_that_add_up_to_the_room(
    slots: int, instances: int
) -> None:
    target = make_target("t-0", slots)
    names = [f"i-{n}" for n in range(instances)]
    total = 0
    for name in names:
        tracker = BrittleTracker(name, Random(1))
        tracker.record_answer(SERVICE, PER_S, 1.0)
        own = 0
        while tracker.select_with_room([target], {}, {"t-0": own}, names, 9.0, False, 1.0):
            own += 1
        total += own
    assert slots // 2 < total <= slots


# Guards against a state that outlasts what targets say, and against costs while none is brittle.
def test_a_service_is_brittle_as_long_as_its_answers_say_so() -> None:
    tracker = BrittleTracker("i-0", Random(1))
    tracker.record_answer(SERVICE, None, 0.0)
    assert tracker.pop_unsent() == []
    tracker.record_answer(SERVICE, 5, 1.0)
    tracker.record_answer(SERVICE, 5, 1.1)
    assert tracker.pop_unsent() == [BrittleNotice(SERVICE, 5)]
    assert tracker.is_brittle(SERVICE, 4.0)
    assert not tracker.is_brittle(SERVICE, 5.2)
    tracker.merge_notices([BrittleNotice(SERVICE, 5, "t-0", 6, 4.0)], 6.0)
    assert tracker.is_brittle(SERVICE, 6.1)
    target = make_target("t-0", 6)
    assert tracker.select_with_room([target], {"t-0": 0.0}, {}, ["i-0"], 0.0, True, 6.1) == []
    tracker.record_answer(SERVICE, None, 6.2)
    assert not tracker.is_brittle(SERVICE, 6.2)
