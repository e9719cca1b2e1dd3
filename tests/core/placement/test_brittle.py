"""Tests of targets that fall over if they have to reject more than a few requests a second."""

from __future__ import annotations

import heapq
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


def simulate(instances: int, rate: float, slots: int, room: int, guarded: bool) -> tuple[int, int]:
    """Send requests to three targets for 8 s; return the falls after `CONTACT_S` and those served.

    Requests come in bursts: all of a tenth of a second at once. A target has room for `room`
    requests at a time and falls over if it rejects more than `PER_S` in a second.
    """
    random = Random(7)
    targets = [make_target(f"t-{n}", slots) for n in range(3)]
    names = [f"i-{n}" for n in range(instances)]
    trackers = [BrittleTracker(name, Random(n)) for n, name in enumerate(names)]
    held: dict[str, list[tuple[float, int]]] = {t.id: [] for t in targets}
    rejected: dict[str, deque[float]] = {t.id: deque() for t in targets}
    notices: list[tuple[float, int, BrittleNotice]] = []
    falls = served = 0
    for step in range(80):
        now = step * 0.1
        for tracker in trackers:
            tracker.record_answer(SERVICE, PER_S, now)
            tracker.pop_unsent()
        for _ in range(round(rate / 10)):
            now += 0.1 / rate
            sender = random.randrange(instances)
            while notices and notices[0][0] <= now:
                notice = heapq.heappop(notices)[2]
                for tracker in trackers:
                    tracker.merge_notices([notice], now)
            known = {
                t.id: float(
                    sum(
                        end > now and (end - WORK_S <= now - DELAY_S or who == sender)
                        for end, who in held[t.id]
                    )
                )
                for t in targets
            }
            own = {t.id: sum(e > now and who == sender for e, who in held[t.id]) for t in targets}
            fit = targets
            if guarded:
                expected = rate * DELAY_S
                fit = trackers[sender].select_with_room(
                    targets, known, own, names, expected, True, now
                )
            if not fit:
                continue
            target = min(fit, key=lambda t: (known[t.id], random.random()))
            held[target.id] = [(e, who) for e, who in held[target.id] if e > now]
            if len(held[target.id]) < room:
                held[target.id].append((now + WORK_S, sender))
                served += 1
                continue
            recent = rejected[target.id]
            recent.append(now)
            while recent and recent[0] < now - 1.0:
                recent.popleft()
            if len(recent) > PER_S:
                recent.clear()
                falls += now >= CONTACT_S
            if guarded:
                tracker = trackers[sender]
                tracker.record_rejection(SERVICE, target.id, slots, PER_S, known[target.id], now)
                for notice in tracker.pop_unsent():
                    heapq.heappush(notices, (now + DELAY_S, step, notice))
    return falls, served


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
