"""Decisions on single requests: the room, the order of those that wait, and refusals."""

from __future__ import annotations

from random import Random

import pytest

from rhubarbbend.core.admission import (
    AdmissionRequest,
    Outcome,
    RefusalReason,
    RoomView,
    ServiceAdmission,
    UsableTargets,
    Waiter,
    compute_view,
    count_known_slots,
)
from rhubarbbend.core.admission._demand import estimate_others_rate
from rhubarbbend.core.admission._fairness import (
    LargestTracker,
    MinimumShares,
    compute_excess_fractions,
    divide_max_min,
)
from rhubarbbend.core.admission._queue import MAX_WAITING
from rhubarbbend.core.admission._retry_after import MAX_AHEAD_S, RetrySchedule
from rhubarbbend.core.placement import CountScope, InFlightUpdate, compute_target_hash
from tests.core.placement.test_placement import BOOKINGS, ENGINES, FleetView, make_record

NOW = 100.0
# Held by 100 slots, with what may wait there if requests of 2 s have an objective of 1 s.
FULL = 112.0


def make_view(held: float, slots: int = 100, instances: int = 1) -> RoomView:
    view = RoomView(instances)
    view.slots, view.others = slots, held
    view.has_queue = held > slots
    return view


def make_request(
    priority: int = 1, account: str = "a", objective: float = 1.0, deadline: float = 10.0
) -> AdmissionRequest:
    return AdmissionRequest(f"route-{priority}", account, priority, objective, NOW + deadline)


def make_admission(holding: float | None = 2.0) -> ServiceAdmission:
    """Make the admission of one instance without credit, so that a full service admits nothing."""

    class NoRandom(Random):
        def random(self) -> float:
            return 0.0

    admission = ServiceAdmission(NoRandom())
    if holding is not None:
        for priority in range(3):
            admission.record_holding(priority, 1.0, holding)
    return admission


def fill(admission: ServiceAdmission, view: RoomView, now: float = NOW) -> None:
    """Use up the credit that has grown until a time."""
    for _ in range(1_000):
        request = AdmissionRequest("filler", "f", 0, 1.0, now + 10.0, is_repeat=True)
        if admission.decide(request, view, now).decision.outcome is not Outcome.ADMIT:
            return
    raise AssertionError("credit without end")


def wait_all(admission: ServiceAdmission, requests: list[AdmissionRequest]) -> list[Waiter]:
    """Let requests wait at a service that is full."""
    full = make_view(FULL)
    waiters = [admission.decide(request, full, NOW) for request in requests]
    assert all(waiter.decision.outcome is Outcome.WAIT for waiter in waiters)
    return waiters


# Guards against refusals while there are slots for everybody (rule on half of the slots).
@pytest.mark.parametrize("held", [0.0, 49.0])
def test_nothing_is_refused_while_less_than_half_of_the_slots_is_in_use(held: float) -> None:
    admission = make_admission()
    for _ in range(500):
        waiter = admission.decide(make_request(2), make_view(held, instances=400), NOW)
        assert waiter.decision.outcome is Outcome.ADMIT and not waiter.decision.is_open


# Guards against refusals by an instance that hears nobody, or does not know the slots.
@pytest.mark.parametrize(
    ("targets", "hears_peers"),
    [
        ([(12, 0, 900.0)], False),
        ([(None, 0, 900.0), (None, 0, 900.0), (12, 0, 900.0)], True),
        ([(0, 0, 900.0), (-4, 0, 900.0), (10**9, 0, 900.0), (12, 0, 900.0)], True),
        ([], True),
    ],
)
def test_all_are_admitted_if_too_little_is_known(
    targets: list[tuple[int | None, int, float]], hears_peers: bool
) -> None:
    view = compute_view(targets, 500, 67, hears_peers)
    waiter = make_admission().decide(make_request(2), view, NOW)
    assert waiter.decision.outcome is Outcome.ADMIT and waiter.decision.is_open


def test_invalid_slots_are_counted_and_one_wrong_load_does_not_fill_a_service() -> None:
    view = compute_view([(12, 2, 1e9), (12, 0, -5.0), (-1, 0, 3.0), (12, 3, 3.0)], 500, 6, True)
    assert (view.slots, view.own, view.others, view.invalid) == (36, 5, 48.0, 1)
    assert view.is_known


# Guards against counting the slots of targets that cannot get requests: a third of them is away.
def test_only_targets_that_can_be_used_have_room() -> None:
    fleet = FleetView()
    fleet.loads.expected_peers = 1
    fleet.registry.take_zone_out_of_service("c", 0.0)
    fleet.registry.register(make_record("engine-0", "llm", "a", boot=2, cold_left=60.0), NOW)
    fleet.health.record_unreachable("engine-1", NOW)
    fleet.pauses.record_pause("engine-3", 5.0, Random(1), NOW)
    fleet.start_requests("engine-4", 3)
    usable = UsableTargets(
        fleet.registry, fleet.loads, fleet.health, fleet.pauses, count_known_slots
    )
    assert {t.id for t in usable.list_usable(ENGINES, NOW)} == {"engine-4", "engine-6", "engine-7"}
    assert not usable.compute_view(ENGINES, 2, NOW).is_known
    counts = {compute_target_hash("engine-4"): 5}
    update = InFlightUpdate("a-2", CountScope.SENDER_GROUP, 1, True, counts, 1)
    fleet.loads.record_peer_update(update, NOW)
    view = usable.compute_view(ENGINES, 2, NOW)
    assert (view.is_known, view.slots, view.own, view.others) == (True, 3 * 64, 3, 5.0)
    fleet.start_requests("engine-6", 2)
    usable.refresh_own(view)
    assert view.own == 5
    assert usable.compute_view(BOOKINGS, 2, NOW).slots == 2 * 64


# Guards against holding a request until a deadline that it cannot meet.
def test_a_request_that_comes_too_late_by_the_estimate_is_refused_at_once() -> None:
    admission = make_admission()
    for estimate, outcome in ((3.0, Outcome.ADMIT), (11.0, Outcome.REFUSE)):
        request = AdmissionRequest("r", "a", 0, 1.0, NOW + 10.0, 0, estimate)
        assert admission.decide(request, make_view(0.0), NOW).decision.outcome is outcome
    decision = admission.decide(request, make_view(0.0), NOW).decision
    assert decision.reason is RefusalReason.TOO_LATE


def test_room_goes_to_the_most_urgent_then_to_the_account_with_the_least_use_then_by_arrival() -> (
    None
):
    admission = make_admission()
    full = make_view(FULL)
    fill(admission, full)
    for _ in range(10):
        admission._shares.record_admitted("busy", NOW)
    order = [(2, "a"), (1, "busy"), (1, "a"), (1, "b"), (0, "busy")]
    waiters = wait_all(admission, [make_request(p, account) for p, account in order])
    granted = admission.reevaluate(make_view(10.0), NOW + 0.01)
    assert [waiters.index(waiter) for waiter in granted] == [4, 2, 3, 1, 0]
    assert all(waiter.decision.outcome is Outcome.ADMIT for waiter in granted)
    assert admission.promised == 5


# Guards against requests that wait although they may not, or could not be served any more.
def test_a_request_leaves_the_queue_when_its_bound_passes() -> None:
    admission = make_admission()
    fill(admission, make_view(FULL))
    urgent, less = wait_all(admission, [make_request(0), make_request(1)])
    short = admission.decide(make_request(0, deadline=0.05), make_view(FULL), NOW)
    gone = admission.decide(make_request(0), make_view(FULL), NOW)
    admission.withdraw(gone)
    over = make_view(300.0)
    assert admission.reevaluate(over, NOW + 0.04) == []
    assert admission.reevaluate(over, NOW + 0.06) == [short]
    assert admission.reevaluate(over, NOW + 0.13) == [less]
    assert admission.reevaluate(over, NOW + 0.24) == []
    assert admission.reevaluate(over, NOW + 0.26) == [urgent]
    assert urgent.decision.reason is RefusalReason.NO_ROOM
    assert len(admission.queue) == 0


# Guards against urgent requests that are refused while less urgent ones wait.
def test_a_full_queue_refuses_the_least_urgent_request() -> None:
    admission = make_admission(None)
    full = make_view(FULL)
    fill(admission, full)
    less = [admission.decide(make_request(2), full, NOW) for _ in range(MAX_WAITING - 1)]
    urgent = admission.decide(make_request(0), full, NOW)
    assert urgent.decision.outcome is Outcome.WAIT
    (evicted,) = admission.reevaluate(make_view(300.0), NOW + 0.01)
    assert evicted is less[-1] and evicted.decision.reason is RefusalReason.QUEUE_FULL


# Guards against repeats that wait, and against a queue without bound.
def test_repeats_do_not_wait_and_the_queue_is_bounded() -> None:
    admission = make_admission()
    full = make_view(FULL)
    fill(admission, full)
    repeat = AdmissionRequest("r", "a", 0, 1.0, NOW + 10.0, is_repeat=True)
    assert admission.decide(repeat, full, NOW).decision.outcome is Outcome.REFUSE
    for _ in range(2 * MAX_WAITING):
        admission.decide(make_request(1, objective=100.0), full, NOW)
    assert len(admission.queue) < MAX_WAITING


# Guards against a service that is full for the others although it only lacks room for what may
# come: less urgent requests leave room, the more urgent ones use it.
def test_less_urgent_requests_leave_room_to_more_urgent_ones() -> None:
    admission = make_admission()
    for step in range(200):
        admission.decide(make_request(0), make_view(40.0), NOW - 10.0 + step * 0.05)
    view = make_view(105.0)
    later = admission.decide(make_request(2), view, NOW)
    assert later.decision.outcome is not Outcome.ADMIT
    assert admission.decide(make_request(0), view, NOW).decision.outcome is Outcome.ADMIT


def test_retry_after_spreads_refused_callers_within_a_third_of_their_time() -> None:
    schedule = RetrySchedule()
    times = [schedule.compute(20.0, 30.0, NOW) for _ in range(10)]
    assert times == sorted(times) and len(set(times)) == 10
    assert times[0] == pytest.approx(0.1) and times[-1] == pytest.approx(1.0)
    assert schedule.compute(20.0, 0.6, NOW) == pytest.approx(0.2)
    assert schedule.compute(20.0, 30.0, NOW) == pytest.approx(1.1)
    # A clock that was set back by an hour.
    assert 0.0 < schedule.compute(20.0, 30.0, NOW - 3_600.0) <= MAX_AHEAD_S


def test_share_of_arrivals_follows_own_rate_and_the_counts_of_others() -> None:
    # Even arrivals, three quarters of which were sent.
    assert estimate_others_rate(1.0, 99.0, 2.0, 67) == pytest.approx(66.0)
    # Nine in ten arrive here: the others have not sent 66 times as many.
    assert estimate_others_rate(90.0, 20.0, 2.0, 67) == pytest.approx(30.0)
    # They arrive elsewhere.
    assert estimate_others_rate(0.15, 180.0, 2.0, 67) == pytest.approx(90.0)
    assert estimate_others_rate(1.0, 50.0, None, 6) == pytest.approx(5.0)


def test_accounts_beyond_their_share_are_those_that_ask_for_more_than_the_others() -> None:
    shares = divide_max_min(10.0, [("a", 1.0, 1.0), ("b", 20.0, 1.0), ("c", 6.0, 2.0)])
    assert shares == {"a": pytest.approx(10 / 4), "b": pytest.approx(3.0), "c": pytest.approx(6.0)}
    even = [(f"account-{n}", 10.0, 1.0) for n in range(5)]
    assert compute_excess_fractions(20.0, even) == {}
    flood = [*even[1:], ("account-0", 80.0, 1.0)]
    assert compute_excess_fractions(60.0, flood) == {"account-0": pytest.approx(0.75)}


def test_minimum_share_is_a_quarter_of_that_of_the_others() -> None:
    minimum = MinimumShares(Random(1))
    preferred = 0
    for step in range(400):
        now = NOW + step * 0.01
        minimum.record_arrival(["route rich"], False, now)
        minimum.record_admitted(["route rich"], now)
        minimum.record_arrival(["route poor"], False, now)
        if minimum.find_starved(["route poor"]):
            minimum.record_admitted(["route poor"], now)
            preferred += 1
        assert minimum.find_starved(["route rich"]) is None
    assert preferred == pytest.approx(100, abs=2)


def test_largest_tenth_of_a_route() -> None:
    random = Random(2)
    tracker = LargestTracker()
    largest = [tracker.record(random.randrange(1, 1_000)) for _ in range(4_000)]
    assert 0.07 < sum(largest[1_000:]) / 3_000 < 0.13
