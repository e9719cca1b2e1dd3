"""Admission while the figures that it rests on are missing, false or out of date."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from rhubarbbend.core.admission._room import RoomView, compute_view
from tests.core.admission.simulation import (
    SLOTS,
    Options,
    SimulatedRequest,
    Simulation,
    compute_share,
)
from tests.core.admission.test_decisions import FULL, NOW, make_admission, make_request, make_view

LOST_AT = 7.0
# Counts of an instance that has stopped are used for this long.
COUNTS_TTL_S = 1.2


def hear_half(view: RoomView, instance: int, now: float) -> RoomView:
    """Half of the instances do not hear the others in the burst."""
    view.is_known = view.is_known and not (instance % 2 and now >= 4.0)
    return view


def make_slots(slots: int) -> Callable[[RoomView, int, float], RoomView]:
    """Make a fault by which a third of the targets reports a wrong number of slots."""

    def distort(view: RoomView, instance: int, now: float) -> RoomView:
        targets = view.slots // SLOTS
        load = view.held / targets
        wrong = [(slots if n % 3 == 0 else SLOTS, 0, load) for n in range(targets)]
        return compute_view(wrong, 500, view.instances, True)

    return distort


# Guards against an instance that hears too few others and refuses all (fails closed).
def test_instances_that_hear_fewer_than_half_of_the_others_admit() -> None:
    simulation = Simulation(Options(distort=hear_half, instances=6)).run()
    deaf = [r for r in simulation.select() if r.instance % 2]
    hearing = [r for r in simulation.select() if not r.instance % 2]
    assert sum(r.result == "refused" for r in deaf) < sum(r.result == "refused" for r in hearing)
    assert compute_share(deaf, "in time", "late") > 0.6
    # Those that hear see what the others send, and leave it the room.
    assert compute_share(hearing, "in time", "late") > 0.05


# Guards against slots of 0 that stop a service, and huge ones that let everything through.
@pytest.mark.parametrize("slots", [0, -7, 10**12])
def test_invalid_slots_of_a_third_of_the_targets(slots: int) -> None:
    simulation = Simulation(Options(distort=make_slots(slots))).run()
    held = [n for at, n in simulation.held_by_time if 6.0 <= at < 10.0]
    room = simulation.options.targets_in_burst * SLOTS
    # All targets count as held by the instances, a third of their slots is not used.
    assert 0.6 * room <= sum(held) / len(held) <= 1.2 * room
    assert compute_share(simulation.select(), "in time", "late") > 0.3


class LostInstance(Simulation):
    """Instance 0 ends halfway: its requests end, its counts are used by the others for a while."""

    lost_count = 0

    def _compute_hold(self, request: SimulatedRequest, now: float) -> float:
        hold = super()._compute_hold(request, now)
        return min(hold, max(0.0, LOST_AT - now)) if request.instance == 0 else hold

    def _count_own(self, now: float) -> list[int]:
        counts = super()._count_own(now)
        if now < LOST_AT:
            self.lost_count = counts[0]
        else:
            counts[0] = self.lost_count if now < LOST_AT + COUNTS_TTL_S else 0
        return counts


def run_until_lost(lost: type[Simulation]) -> float:
    """Return which part is in time of the requests after the loss of an instance is known."""
    options = Options(instances=6, duration=10.0)
    simulation = lost(options)
    first = 0 if lost is Simulation else 1
    options.choose_instance = lambda random, count: random.randrange(
        0 if simulation.now < LOST_AT else first, count
    )
    simulation.run()
    return compute_share(simulation.select(since=LOST_AT + COUNTS_TTL_S), "in time")


def test_an_instance_that_is_lost_halfway() -> None:
    """Its share of the room is taken by the others once its counts have expired."""
    assert run_until_lost(LostInstance) > 0.85 * run_until_lost(Simulation)


# Guards against a clock that is set: credits and averages must neither run out nor pile up.
@pytest.mark.parametrize("step", [-3_600.0, -1.0, 3_600.0])
def test_a_clock_step(step: float) -> None:
    admission = make_admission()
    full = make_view(FULL)
    for number in range(100):
        admission.decide(make_request(number % 3), full, NOW + 0.01 * number)
        admission.reevaluate(full, NOW + 0.01 * number)
    then = NOW + 1.0 + step
    late = admission.reevaluate(make_view(300.0), then)
    admitted = 0
    for _ in range(100):
        request = make_request(0, deadline=step + 20.0)
        waiter = admission.decide(request, full, then)
        admitted += waiter.decision.outcome.value == "admit"
    # At most the credit of one propagation time; 50 requests a second end.
    assert admitted <= 15
    # Requests that were waiting are not kept for an hour.
    queue = len(admission.queue)
    admission.reevaluate(make_view(300.0), then + 30.0)
    assert len(admission.queue) == 0, (queue, late)
