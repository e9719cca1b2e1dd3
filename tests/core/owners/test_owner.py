"""Tests of the owner component, driven by events: what it grants, refuses and counts."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbbend.core import actions, events
from rhubarbbend.core.accepted._follower import CHANGE_SCAN_OP
from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import Handover, HeldSlot, SlotRenewal, TargetLoad
from rhubarbbend.core.owners._grants import (
    REFUSAL_FULL,
    REFUSAL_NOT_READY,
    REFUSAL_QUEUE_FULL,
    REFUSAL_WAIT_TOO_LONG,
)
from tests.core.core_driver import (
    HOLDERS,
    SERVICE,
    ZONE,
    Driver,
    make_instance_entry,
    make_target_entry,
)

LOW_FLOOR = Service(name=SERVICE, bound=1.25, floor=2, cold_slots=1, cold_requests=1)
HIGH_FLOOR = Service(name=SERVICE, bound=1.25, floor=8, cold_slots=1, cold_requests=1)
TARGET = "engine-a1"


def make_owner(
    service: Service = HIGH_FLOOR, targets: int = 1, warm: bool = True, peers: tuple[str, ...] = ()
) -> Driver:
    """Return the core of the only instance of its zone, which owns all targets there."""
    names = [f"engine-a{number}" for number in range(1, targets + 1)]
    entries = [make_target_entry(name) for name in names] + [
        make_instance_entry(name) for name in peers
    ]
    driver = Driver(entries, service)
    driver.peers.extend(peers)
    driver.pass_probation(*names)
    if warm:
        for name in driver.core.owner.list_owned():
            driver.core.owner._registry.owned_targets[name].slow_start.mark_warm()
            driver.receive_report(name, 0)
    return driver


# The load limit.


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 10_000), targets=st.integers(1, 4), lag=st.sampled_from([0.0, 0.3, 1.2]))
def test_random_events_never_take_a_target_over_its_limit(
    seed: int, targets: int, lag: float
) -> None:
    """Run grants, completions, cuts that leave work running, and late reports in random order.

    The test itself records what really runs on each target. At each grant this must be within the
    bound, a multiple of the mean of the loads that the owner counts, and within the target's own
    limit.
    """
    random = Random(seed)
    driver = make_owner(LOW_FLOOR, targets)
    names = [f"engine-a{number}" for number in range(1, targets + 1)]
    running: dict[str, set[str]] = {name: set() for name in names}
    history: list[tuple[float, dict[str, int]]] = []
    still_running: list[tuple[float, str, str]] = []
    held: list[tuple[str, str]] = []
    for _ in range(250):
        driver.now += random.uniform(0.0, 0.2)
        for entry in [e for e in still_running if e[0] <= driver.now]:
            running[entry[1]].discard(entry[2])
            still_running.remove(entry)
        target = random.choice(names)
        draw = random.random()
        if draw < 0.6:
            attempt = driver.request_slot(target)
            if driver.is_granted(attempt):
                running[target].add(attempt)
                held.append((target, attempt))
                total = sum(driver.read_load(name) for name in names)
                limit = max(LOW_FLOOR.floor, math.ceil(LOW_FLOOR.bound * total / targets))
                assert len(running[target]) <= driver.read_load(target) <= min(limit, 12)
        elif draw < 0.8 and held:
            target, attempt = held.pop(random.randrange(len(held)))
            completed = random.random() < 0.6
            if completed:
                running[target].discard(attempt)
            else:
                still_running.append((driver.now + random.uniform(0.0, 1.5), target, attempt))
            driver.release_slot(target, attempt, completed=completed)
        history.append((driver.now, {name: len(runs) for name, runs in running.items()}))
        if random.random() < 0.3:
            shown = next(
                (counts for at, counts in reversed(history) if at <= driver.now - lag),
                dict.fromkeys(names, 0),
            )
            driver.receive_report(target, shown[target], age=lag, slots=12)


@pytest.mark.parametrize("bound", [1.0, 1.25])
def test_a_full_fleet_can_still_grow(bound: float) -> None:
    # Every target is at its limit and the mean is small. Each grant raises the mean, so that a
    # burst of any size is served up to the targets' own limits.
    service = Service(name=SERVICE, bound=bound, floor=2, cold_slots=1, cold_requests=1)
    driver = make_owner(service, targets=5)
    for number in range(1, 6):
        driver.receive_report(f"engine-a{number}", 0, slots=100)
    for _ in range(20):
        for number in range(1, 6):
            driver.request_slot(f"engine-a{number}")
    loads = [driver.read_load(f"engine-a{number}") for number in range(1, 6)]
    assert sum(loads) > 60, loads
    assert max(loads) <= math.ceil(bound * sum(loads) / 5)


def test_a_waiter_is_served_when_the_mean_grows_elsewhere() -> None:
    # Engine 1 is at the floor and a request is queued there. Then load on the other targets raises
    # the mean and with it the limit of engine 1, whose own state does not change. The next report
    # of engine 1 must grant the queued request.
    driver = make_owner(LOW_FLOOR, targets=4)
    driver.request_slot("engine-a1")
    driver.request_slot("engine-a1")
    waiting = driver.request_slot("engine-a1", max_wait=5.0)
    assert not driver.find_replies(waiting)
    for _ in range(3):
        for number in range(2, 5):
            driver.request_slot(f"engine-a{number}")
    driver.receive_report("engine-a1", 2)
    assert driver.is_granted(waiting)


def test_a_cut_attempt_counts_as_load_until_a_later_report() -> None:
    # The connection to an engine is cut under eight requests, which it goes on running. If their
    # slots were free at once, they would be granted again and the engine would run sixteen.
    driver = make_owner(HIGH_FLOOR)
    held = [driver.request_slot(TARGET) for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    for attempt in held:
        driver.release_slot(TARGET, attempt, completed=False)
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_FULL
    driver.now += 0.2
    driver.receive_report(TARGET, 8, age=0.3)
    assert (
        driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_FULL
    ), "the report was made before the cut"
    driver.now += 1.0
    driver.receive_report(TARGET, 5, age=0.3)
    assert driver.read_load(TARGET) == 5
    driver.now += 0.5
    driver.receive_report(TARGET, 0, age=0.3)
    assert driver.is_granted(driver.request_slot(TARGET))


@pytest.mark.parametrize("lag", [0.0, 0.5, 2.0])
def test_a_late_report_shows_no_foreign_load_after_a_burst_of_releases(lag: float) -> None:
    driver = make_owner(HIGH_FLOOR)
    held = [driver.request_slot(TARGET) for _ in range(8)]
    driver.advance(2.5)
    for attempt in held:
        driver.release_slot(TARGET, attempt)
    driver.now += 0.1
    # With a large enough lag the report was made when all eight requests still ran.
    driver.receive_report(TARGET, 8 if lag > 0.1 else 0, age=lag)
    assert driver.read_load(TARGET) == 0


# Two owners.


class SharedEngine:
    """What runs on one engine that two instances both believe they own."""

    def __init__(self, lag: float) -> None:
        self.running: set[str] = set()
        self.max_running = 0
        self._lag = lag
        self._history: list[tuple[float, int]] = [(0.0, 0)]

    def record(self, now: float) -> None:
        """Record how many requests run."""
        self.max_running = max(self.max_running, len(self.running))
        self._history.append((now, len(self.running)))

    def read_report(self, now: float) -> int:
        """Return the number of running requests that a report shows."""
        return [count for at, count in self._history if at <= now - self._lag][-1]


def run_two_owners(lag: float, seed: int, probation: bool) -> int:
    """Let a second owner start under full load; return the engine's peak load."""
    random = Random(seed)
    first, second = make_owner(HIGH_FLOOR), make_owner(HIGH_FLOOR)
    engine = SharedEngine(lag)
    held: dict[str, tuple[Driver, str]] = {}
    second.core.owner._handle_pause(events.ProcessPaused(9.0), second.now)
    for step in range(400):
        driver = random.choice((first, second))
        if not probation:
            second.core.owner._registry.owned_targets[TARGET].probation.finish()
        for one in (first, second):
            one.now += 0.02
            if step % 25 == 0:
                one.receive_report(TARGET, engine.read_report(one.now), age=lag)
        attempt = driver.request_slot(TARGET, holder="entry-b1" if driver is first else "entry-c1")
        if driver.is_granted(attempt):
            engine.running.add(attempt)
            held[attempt] = (driver, attempt)
        elif held and random.random() < 0.5:
            ended, (owner, _) = random.choice(list(held.items()))
            del held[ended]
            engine.running.discard(ended)
            owner.release_slot(TARGET, ended)
        engine.record(driver.now)
    return engine.max_running


@pytest.mark.parametrize("lag", [0.0, 0.3])
def test_two_owners_exceed_the_limit_by_at_most_a_cold_start(lag: float) -> None:
    """Two instances both believe that they own an engine whose limit is eight, under full load.

    The second becomes owner after a pause. Each sees the other's load only in reports that are late
    and up to half a second apart. If both granted up to the limit alone, both would fill the same
    free capacity.
    """
    with_probation = max(run_two_owners(lag, seed, probation=True) for seed in range(20))
    without_probation = max(run_two_owners(lag, seed, probation=False) for seed in range(20))
    print(f"lag {lag}: most {with_probation}, without probation {without_probation}, limit 8")
    assert with_probation <= 8 + HIGH_FLOOR.cold_slots
    assert without_probation > with_probation, "probation made no difference"


def test_a_new_owner_grants_nothing_before_a_report_made_after_its_takeover() -> None:
    driver = Driver([make_target_entry(TARGET)], HIGH_FLOOR)
    driver.receive_report(TARGET, 0, age=0.5)
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_FULL
    driver.now += 1.0
    driver.receive_report(TARGET, 0, age=0.5)
    assert driver.is_granted(driver.request_slot(TARGET))


def test_a_handover_ends_probation_and_transfers_slots_and_completed_work() -> None:
    driver = Driver([make_target_entry(TARGET)], HIGH_FLOOR)
    driver.receive_report(TARGET, 0)
    slots = [HeldSlot(attempt=f"t{number}") for number in range(3)]
    renewal = SlotRenewal(instance="entry-b9", incarnation=1, target=TARGET, slots=slots)
    driver.receive(
        "entry-a2", Handover(target=TARGET, holders=[renewal], boot_id="b1", work_done=10_000)
    )
    assert driver.read_load(TARGET) == 3
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(8)]
    assert granted.count(True) == 5


def test_an_owner_that_was_paused_starts_its_probation_again() -> None:
    # A pause shorter than the silence that peers allow can still have cost the ownership, because
    # the last heartbeat was sent some time before the pause began.
    driver = make_owner(HIGH_FLOOR)
    driver.handle(events.ProcessPaused(2.9))
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_FULL
    driver.now += 0.5
    driver.receive_report(TARGET, 6)
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_FULL


# Holders that die.


def test_slots_of_a_silent_holder_are_freed_as_reports_show_them_ended() -> None:
    """An instance dies with eight slots, whose requests the engine goes on running for a while.

    If the slots were freed at once, they would be granted again while the engine still runs the
    requests; if they were kept until the lease ends, they would be idle. They must be freed as
    reports show that the engine has finished the requests.
    """
    driver = make_owner(HIGH_FLOOR, targets=12, peers=("entry-a2",))
    target = driver.core.owner.list_owned()[0]
    held = [driver.request_slot(target, holder="entry-a2") for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    driver.peers.clear()
    driver.advance(driver.core.context.options.peer_silence + 1.5)
    assert driver.counts["peers.lost"] == 1
    assert driver.find_refusal(driver.request_slot(target)) == REFUSAL_FULL
    driver.now += 1.0
    driver.receive_report(target, 6, age=0.3)
    granted = [driver.is_granted(driver.request_slot(target)) for _ in range(4)]
    assert granted.count(True) == 2
    driver.now += 1.0
    driver.receive_report(target, 2, age=0.3)
    assert driver.is_granted(driver.request_slot(target))


def test_slots_of_an_earlier_incarnation_are_freed() -> None:
    driver = make_owner(HIGH_FLOOR)
    for _ in range(8):
        driver.request_slot(TARGET, holder="entry-b9", incarnation=5)
    first = driver.request_slot(TARGET, holder="entry-b9", incarnation=6)
    assert driver.find_refusal(first) == REFUSAL_FULL
    driver.now += 1.0
    driver.receive_report(TARGET, 0)
    assert driver.is_granted(driver.request_slot(TARGET, holder="entry-b9", incarnation=6))


def test_a_holder_that_was_only_cut_off_registers_its_slots_once() -> None:
    driver = make_owner(HIGH_FLOOR)
    held = [driver.request_slot(TARGET, holder="entry-b1") for _ in range(4)]
    driver.core.owner.expire_holder_slots("entry-b1", 2, driver.now)
    driver.now += 1.0
    driver.receive_report(TARGET, 4)
    slots = [HeldSlot(attempt=attempt) for attempt in held]
    renewal = SlotRenewal(instance="entry-b1", incarnation=1, target=TARGET, slots=slots)
    driver.receive("entry-b1", renewal)
    driver.receive("entry-b1", renewal)
    assert driver.read_load(TARGET) == 4


# Cold starts.


def test_a_new_boot_id_makes_a_target_cold() -> None:
    driver = make_owner(HIGH_FLOOR)
    driver.receive_report(TARGET, 0, boot_id="b2")
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(5)]
    assert granted.count(True) == HIGH_FLOOR.cold_slots


def test_a_restarted_fleet_treats_busy_targets_as_warm() -> None:
    # All instances were restarted at once, so none of them knows that the engine is warm. It is
    # seen to run six requests; in slow start it would get one at a time.
    driver = Driver([make_target_entry(TARGET)], HIGH_FLOOR)
    driver.receive_report(TARGET, 6)
    driver.pass_probation(TARGET, running=0)
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(8)]
    assert granted.count(True) >= 6


def test_slow_first_bytes_make_a_target_cold_and_long_prompts_do_not() -> None:
    driver = make_owner(HIGH_FLOOR)
    for _ in range(5):
        driver.release_slot(TARGET, driver.request_slot(TARGET), first_byte=0.05, tokens=100)
    for _ in range(5):
        # 40,000 tokens take five seconds at the declared rate: long, but not slow.
        driver.release_slot(TARGET, driver.request_slot(TARGET), first_byte=5.0, tokens=40_000)
    assert "cold_starts" not in driver.counts
    for _ in range(3):
        driver.release_slot(TARGET, driver.request_slot(TARGET), first_byte=1.5, tokens=100)
    assert driver.counts["cold_starts"] == 1
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(4)]
    assert granted.count(True) == HIGH_FLOOR.cold_slots


def test_consecutive_failures_make_a_target_cold_and_earlier_grants_do_not_warm_it() -> None:
    # An engine turns cold under full load and its requests fail one after the other. Requests that
    # complete after that were granted before and do not show what the engine can serve now.
    driver = make_owner(HIGH_FLOOR)
    held = [driver.request_slot(TARGET) for _ in range(8)]
    driver.now += 0.5
    for attempt in held[:2]:
        driver.release_slot(TARGET, attempt, completed=False, failed=True)
    assert driver.counts["cold_starts"] == 1
    for attempt in held[2:]:
        driver.release_slot(TARGET, attempt)
    driver.now += 1.0
    driver.receive_report(TARGET, 0)
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(5)]
    assert granted.count(True) == HIGH_FLOOR.cold_slots


def test_a_target_in_slow_start_can_turn_cold_again() -> None:
    # The limit has risen to eight when the engine fails. If an engine in slow start could not turn
    # cold again, it would keep the limit of eight.
    driver = make_owner(HIGH_FLOOR, warm=False)
    for _ in range(20):
        driver.release_slot(TARGET, driver.request_slot(TARGET), first_byte=0.05)
    held = [driver.request_slot(TARGET) for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    for attempt in held:
        driver.release_slot(TARGET, attempt, completed=False, failed=True)
    driver.now += 1.0
    driver.receive_report(TARGET, 0)
    granted = [driver.is_granted(driver.request_slot(TARGET)) for _ in range(5)]
    assert granted.count(True) == HIGH_FLOOR.cold_slots


# Waiting.


def test_a_request_that_cannot_be_granted_in_time_is_refused_at_once() -> None:
    driver = make_owner(HIGH_FLOOR)
    held = [driver.request_slot(TARGET) for _ in range(8)]
    driver.now += 4.0
    driver.release_slot(TARGET, held.pop())
    held.append(driver.request_slot(TARGET))
    # A slot is released about every half second: eight slots of four seconds each.
    waiting = driver.request_slot(TARGET, max_wait=1.2)
    assert not driver.find_replies(waiting)
    for _ in range(2):
        driver.request_slot(TARGET, max_wait=9.0)
    late = driver.request_slot(TARGET, max_wait=1.2)
    assert driver.find_refusal(late) == REFUSAL_WAIT_TOO_LONG
    assert driver.find_replies(late)[0].retry_after > 0.0
    assert driver.find_refusal(driver.request_slot(TARGET, max_wait=0.0)) == REFUSAL_FULL


def test_a_chat_waits_for_the_slot_of_its_previous_turn() -> None:
    """A caller sends the next turn of a chat before the slot of the previous turn is released.

    The turn arrives through another instance, whose slot request overtakes the release message. If
    it were refused, the chat would go to an engine that has to read its whole context again.
    """
    driver = make_owner(LOW_FLOOR, targets=1, warm=False)
    first = driver.request_slot(TARGET)
    driver.now += 0.1
    driver.release_slot(TARGET, first, completed=True)
    driver.receive_report(TARGET, 0)
    before = [driver.request_slot(TARGET) for _ in range(2)]
    assert all(driver.is_granted(attempt) for attempt in before)
    driver.now += 0.09
    turn = driver.request_slot(TARGET, max_wait=0.03)
    assert not driver.find_refusal(turn)
    driver.now += 0.01
    driver.release_slot(TARGET, before[0], completed=True)
    assert driver.is_granted(turn)


def test_a_surge_blocks_neither_slots_nor_queue_for_other_accounts() -> None:
    service = Service(name=SERVICE, floor=4, cold_slots=1, cold_requests=1, max_queue=16)
    driver = make_owner(service)
    driver.receive_report(TARGET, 0, slots=4)
    held = [driver.request_slot(TARGET, account="surge", max_wait=9.0) for _ in range(20)]
    evicted = driver.request_slot(TARGET, account="surge", max_wait=9.0)
    assert driver.find_refusal(evicted) == REFUSAL_QUEUE_FULL
    others = [driver.request_slot(TARGET, account="agents", max_wait=9.0) for _ in range(2)]
    for attempt in held[:4]:
        driver.release_slot(TARGET, attempt)
    assert all(driver.is_granted(attempt) for attempt in others)


def test_a_waiter_is_refused_when_its_deadline_comes() -> None:
    driver = make_owner(HIGH_FLOOR)
    for _ in range(8):
        driver.request_slot(TARGET)
    waiting = driver.request_slot(TARGET, max_wait=1.0)
    driver.advance(1.1, 0.1)
    assert driver.find_refusal(waiting) == REFUSAL_WAIT_TOO_LONG


def test_waiters_are_refused_when_reports_fail() -> None:
    driver = make_owner(HIGH_FLOOR)
    for _ in range(8):
        driver.request_slot(TARGET)
    waiting = driver.request_slot(TARGET, max_wait=60.0)
    driver.now += 4.0
    driver.handle(events.ReportFailed(TARGET, "connect"))
    assert driver.find_refusal(waiting) == REFUSAL_NOT_READY
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_NOT_READY


def ask_reports(driver: Driver) -> list[actions.ReadReport]:
    """Let a read of the target's report time out and return the reads that follow at once."""
    emitted = driver.handle(events.ReportFailed(TARGET, "timeout", silent=True))
    return [action for action in emitted if isinstance(action, actions.ReadReport)]


# Guards against refusing requests when a read that began during a partition fails after its end.
def test_a_late_failure_of_a_read_does_not_refuse_requests_after_a_partition() -> None:
    driver = make_owner(HIGH_FLOOR)
    driver.advance(3.2)
    reads = ask_reports(driver)
    assert driver.is_granted(driver.request_slot(TARGET))
    assert [read.target for read in reads] == [TARGET]
    driver.now += 0.05
    driver.receive_report(TARGET, 0)
    driver.advance(2.0)
    assert driver.is_granted(driver.request_slot(TARGET))


def test_a_target_that_stays_silent_is_not_ready_half_a_second_later() -> None:
    driver = make_owner(HIGH_FLOOR)
    driver.advance(3.2)
    ask_reports(driver)
    driver.advance(0.6, 0.1)
    assert driver.find_refusal(driver.request_slot(TARGET)) == REFUSAL_NOT_READY


# Members.


def test_heartbeats_do_not_revert_the_leaving_state_of_the_list() -> None:
    # The list marks a peer as leaving before the peer itself knows. If each heartbeat reverted
    # that, the peer's targets would change owners every second.
    driver = make_owner(HIGH_FLOOR, targets=12, peers=("entry-a2",))
    entries = [make_target_entry(f"engine-a{n}") for n in range(1, 13)]
    driver.read_list(*entries, make_instance_entry("entry-a2", state="leaving"))
    assert len(driver.core.owner.list_owned()) == 12
    taken = driver.counts["takeovers"]
    for _ in range(3):
        driver.receive_heartbeat("entry-a2")
        driver.advance(1.0)
        driver.read_list(*entries, make_instance_entry("entry-a2", state="leaving"))
    assert driver.counts["takeovers"] == taken


def test_an_instance_listed_as_leaving_releases_its_targets() -> None:
    driver = make_owner(HIGH_FLOOR, targets=12, peers=("entry-a2",))
    assert driver.core.owner.list_owned()
    entries = [make_target_entry(f"engine-a{n}") for n in range(1, 13)]
    own = make_instance_entry("entry-a1", state="leaving")
    driver.read_list(*entries, own, make_instance_entry("entry-a2"))
    assert not driver.core.owner.list_owned()
    assert driver.list_sent(Handover)


def test_a_heartbeat_does_not_overwrite_the_state_of_an_owned_target() -> None:
    driver = make_owner(HIGH_FLOOR)
    driver.request_slot(TARGET)
    load = TargetLoad(target=TARGET, boot_id="other", load=99, ready=True, service_name=SERVICE)
    driver.receive_heartbeat("entry-a2", load)
    assert driver.read_load(TARGET) == 1
    assert driver.core.context.fleet.targets[TARGET].zone == ZONE


# Partitioned zones.


def test_a_partitioned_instance_owns_no_targets_of_other_zones() -> None:
    """A partitioned instance keeps its own zone's targets, but not those of other zones.

    It is cut off from the platform and from all other instances, but still reaches the targets of
    another zone. Operators take that zone out of service. To the instance no owner of the zone is
    left, so it would become the owner of its targets and send them its callers' work for as long as
    the partition lasts.
    """
    driver = Driver(
        [make_target_entry(TARGET), make_target_entry("engine-b1", "almaty-b")], HIGH_FLOOR
    )
    for holder in HOLDERS:
        driver.handle(events.PeerLost(holder))
    for _ in range(6):
        driver.advance(1.0)
        driver.handle(events.RowsRead(CHANGE_SCAN_OP, "failed"))
    assert driver.core.owner.list_owned() == [TARGET]
    driver.handle(events.RowsRead(CHANGE_SCAN_OP, "done"))
    driver.advance(1.0)
    assert sorted(driver.core.owner.list_owned()) == [TARGET, "engine-b1"]
    for _ in range(6):
        driver.advance(1.0)
        driver.handle(events.RowsRead(CHANGE_SCAN_OP, "failed"))
    assert driver.core.owner.list_owned() == [TARGET]
