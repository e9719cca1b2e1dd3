"""The owner duty, driven by events: what it grants, refuses and counts."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbbend.core import events
from rhubarbbend.core.accepted._follower import SCAN_OP
from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import Handover, HeldSlot, SlotRenewal, TargetLoad
from rhubarbbend.core.owners._grants import (
    REFUSAL_FULL,
    REFUSAL_NOT_READY,
    REFUSAL_QUEUE,
    REFUSAL_WAIT,
)
from tests.core.driver import HOLDERS, SERVICE, ZONE, Driver, list_instance, list_target

PLANNER = Service(name=SERVICE, bound=1.25, floor=2, cold_slots=1, cold_requests=1)
OPEN = Service(name=SERVICE, bound=1.25, floor=8, cold_slots=1, cold_requests=1)
TARGET = "engine-a1"


def make_owner(
    service: Service = OPEN, targets: int = 1, warm: bool = True, peers: tuple[str, ...] = ()
) -> Driver:
    """Make the core of the only instance of its zone, owner of all targets there."""
    names = [f"engine-a{number}" for number in range(1, targets + 1)]
    entries = [list_target(name) for name in names] + [list_instance(name) for name in peers]
    driver = Driver(entries, service)
    driver.peers.extend(peers)
    driver.pass_probation(*names)
    if warm:
        for name in driver.core.owner.list_owned():
            driver.core.owner._ledger.books[name].ramp.finish()
            driver.report(name, 0)
    return driver


# The limit.


@settings(max_examples=40, deadline=None)
@given(seed=st.integers(0, 10_000), targets=st.integers(1, 4), lag=st.sampled_from([0.0, 0.3, 1.2]))
def test_random_events_never_take_a_target_over_its_limit(
    seed: int, targets: int, lag: float
) -> None:
    """Grants, ends, cuts that leave work running, and late reports, in any order.

    What really runs on a target is kept by the test. At each grant it must be within the set
    multiple of the mean of what the owner counts, and within the target's own limit.
    """
    random = Random(seed)
    driver = make_owner(PLANNER, targets)
    names = [f"engine-a{number}" for number in range(1, targets + 1)]
    running: dict[str, set[str]] = {name: set() for name in names}
    history: list[tuple[float, dict[str, int]]] = []
    left_behind: list[tuple[float, str, str]] = []
    held: list[tuple[str, str]] = []
    for _ in range(250):
        driver.now += random.uniform(0.0, 0.2)
        for entry in [e for e in left_behind if e[0] <= driver.now]:
            running[entry[1]].discard(entry[2])
            left_behind.remove(entry)
        target = random.choice(names)
        draw = random.random()
        if draw < 0.6:
            attempt = driver.ask(target)
            if driver.is_granted(attempt):
                running[target].add(attempt)
                held.append((target, attempt))
                total = sum(driver.read_load(name) for name in names)
                limit = max(PLANNER.floor, math.ceil(PLANNER.bound * total / targets))
                assert len(running[target]) <= driver.read_load(target) <= min(limit, 12)
        elif draw < 0.8 and held:
            target, attempt = held.pop(random.randrange(len(held)))
            completed = random.random() < 0.6
            if completed:
                running[target].discard(attempt)
            else:
                left_behind.append((driver.now + random.uniform(0.0, 1.5), target, attempt))
            driver.release(target, attempt, completed=completed)
        history.append((driver.now, {name: len(runs) for name, runs in running.items()}))
        if random.random() < 0.3:
            shown = next(
                (counts for at, counts in reversed(history) if at <= driver.now - lag),
                dict.fromkeys(names, 0),
            )
            driver.report(target, shown[target], age=lag, slots=12)


@pytest.mark.parametrize("bound", [1.0, 1.25])
def test_a_full_fleet_can_still_grow(bound: float) -> None:
    # Every target is at its limit and the mean is small; each grant raises the mean, so that a
    # burst of any size is served up to the targets' own limits.
    service = Service(name=SERVICE, bound=bound, floor=2, cold_slots=1, cold_requests=1)
    driver = make_owner(service, targets=5)
    for number in range(1, 6):
        driver.report(f"engine-a{number}", 0, slots=100)
    for _ in range(20):
        for number in range(1, 6):
            driver.ask(f"engine-a{number}")
    loads = [driver.read_load(f"engine-a{number}") for number in range(1, 6)]
    assert sum(loads) > 60, loads
    assert max(loads) <= math.ceil(bound * sum(loads) / 5)


def test_a_waiter_is_served_when_the_mean_grows_elsewhere() -> None:
    # Engine 1 is at the floor and a request waits there. Then the load of the other targets
    # grows, and with it what engine 1 may carry. Nothing of its own changes; its next report
    # wakes the waiter.
    driver = make_owner(PLANNER, targets=4)
    driver.ask("engine-a1")
    driver.ask("engine-a1")
    waiting = driver.ask("engine-a1", max_wait=5.0)
    assert not driver.find_replies(waiting)
    for _ in range(3):
        for number in range(2, 5):
            driver.ask(f"engine-a{number}")
    driver.report("engine-a1", 2)
    assert driver.is_granted(waiting)


def test_an_attempt_that_was_cut_stays_load_until_a_later_report() -> None:
    # The way to an engine is cut under eight requests; it goes on with them. Counted as free at
    # once, their slots would be granted again and the engine would run sixteen.
    driver = make_owner(OPEN)
    held = [driver.ask(TARGET) for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    for attempt in held:
        driver.release(TARGET, attempt, completed=False)
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_FULL
    driver.now += 0.2
    driver.report(TARGET, 8, age=0.3)
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_FULL, "the report is of before"
    driver.now += 1.0
    driver.report(TARGET, 5, age=0.3)
    assert driver.read_load(TARGET) == 5
    driver.now += 0.5
    driver.report(TARGET, 0, age=0.3)
    assert driver.is_granted(driver.ask(TARGET))


@pytest.mark.parametrize("lag", [0.0, 0.5, 2.0])
def test_a_late_report_shows_no_load_of_others_after_a_burst_of_ends(lag: float) -> None:
    driver = make_owner(OPEN)
    held = [driver.ask(TARGET) for _ in range(8)]
    driver.pass_time(2.5)
    for attempt in held:
        driver.release(TARGET, attempt)
    driver.now += 0.1
    # Made when all eight still ran, if it is late enough.
    driver.report(TARGET, 8 if lag > 0.1 else 0, age=lag)
    assert driver.read_load(TARGET) == 0


# Two owners.


class SharedEngine:
    """What runs on one engine that two instances both take for their own."""

    def __init__(self, lag: float) -> None:
        self.running: set[str] = set()
        self.most = 0
        self._lag = lag
        self._history: list[tuple[float, int]] = [(0.0, 0)]

    def note(self, now: float) -> None:
        """Remember how much runs."""
        self.most = max(self.most, len(self.running))
        self._history.append((now, len(self.running)))

    def read(self, now: float) -> int:
        """Give what a report shows."""
        return [count for at, count in self._history if at <= now - self._lag][-1]


def run_two_owners(lag: float, seed: int, probation: bool) -> int:
    """Have a second owner come under full load; gives the most that the engine ever ran."""
    random = Random(seed)
    first, second = make_owner(OPEN), make_owner(OPEN)
    engine = SharedEngine(lag)
    held: dict[str, tuple[Driver, str]] = {}
    second.core.owner._handle_pause(events.ProcessPaused(9.0), second.now)
    for step in range(400):
        driver = random.choice((first, second))
        if not probation:
            second.core.owner._ledger.books[TARGET].probation.finish()
        for one in (first, second):
            one.now += 0.02
            if step % 25 == 0:
                one.report(TARGET, engine.read(one.now), age=lag)
        attempt = driver.ask(TARGET, holder="entry-b1" if driver is first else "entry-c1")
        if driver.is_granted(attempt):
            engine.running.add(attempt)
            held[attempt] = (driver, attempt)
        elif held and random.random() < 0.5:
            ended, (owner, _) = random.choice(list(held.items()))
            del held[ended]
            engine.running.discard(ended)
            owner.release(TARGET, ended)
        engine.note(driver.now)
    return engine.most


@pytest.mark.parametrize("lag", [0.0, 0.3])
def test_two_owners_stay_within_the_limit_and_a_cold_start(lag: float) -> None:
    """Two instances both believe that they own an engine whose limit is eight, under full load.

    The second comes to it after a pause. Each sees the other only in reports that are up to half a
    second apart and late; granting from the limit alone, each fills the room that the other fills.
    """
    most = max(run_two_owners(lag, seed, probation=True) for seed in range(20))
    loose = max(run_two_owners(lag, seed, probation=False) for seed in range(20))
    print(f"lag {lag}: most {most}, without probation {loose}, limit 8")
    assert most <= 8 + OPEN.cold_slots
    assert loose > most, "the safeguard makes no difference here"


def test_a_new_owner_grants_nothing_before_a_report_of_its_own_time() -> None:
    driver = Driver([list_target(TARGET)], OPEN)
    driver.report(TARGET, 0, age=0.5)
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_FULL
    driver.now += 1.0
    driver.report(TARGET, 0, age=0.5)
    assert driver.is_granted(driver.ask(TARGET))


def test_a_hand_over_ends_the_probation_and_carries_slots_and_work() -> None:
    driver = Driver([list_target(TARGET)], OPEN)
    driver.report(TARGET, 0)
    slots = [HeldSlot(attempt=f"t{number}") for number in range(3)]
    renewal = SlotRenewal(instance="entry-b9", incarnation=1, target=TARGET, slots=slots)
    driver.say(
        "entry-a2", Handover(target=TARGET, holders=[renewal], boot_id="b1", work_done=10_000)
    )
    assert driver.read_load(TARGET) == 3
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(8)]
    assert granted.count(True) == 5


def test_an_owner_that_was_paused_starts_its_probation_again() -> None:
    # A pause shorter than the silence that peers allow can still have cost the ownership: the
    # last heartbeat went out some time before it began.
    driver = make_owner(OPEN)
    driver.handle(events.ProcessPaused(2.9))
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_FULL
    driver.now += 0.5
    driver.report(TARGET, 6)
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_FULL


# Holders that die.


def test_slots_of_a_silent_holder_come_back_when_the_report_agrees() -> None:
    """An entry instance dies with eight slots, which the engine goes on running for a while.

    Freed at once they would be granted again while the engine runs them; kept until the lease
    ends they would idle. They come back as reports show that the engine is done with them.
    """
    driver = make_owner(OPEN, targets=12, peers=("entry-a2",))
    target = driver.core.owner.list_owned()[0]
    held = [driver.ask(target, holder="entry-a2") for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    driver.peers.clear()
    driver.pass_time(driver.core.context.options.peer_silence + 1.5)
    assert driver.counts["peers.lost"] == 1
    assert driver.find_refusal(driver.ask(target)) == REFUSAL_FULL
    driver.now += 1.0
    driver.report(target, 6, age=0.3)
    granted = [driver.is_granted(driver.ask(target)) for _ in range(4)]
    assert granted.count(True) == 2
    driver.now += 1.0
    driver.report(target, 2, age=0.3)
    assert driver.is_granted(driver.ask(target))


def test_slots_of_an_earlier_incarnation_come_back() -> None:
    driver = make_owner(OPEN)
    for _ in range(8):
        driver.ask(TARGET, holder="entry-b9", incarnation=5)
    first = driver.ask(TARGET, holder="entry-b9", incarnation=6)
    assert driver.find_refusal(first) == REFUSAL_FULL
    driver.now += 1.0
    driver.report(TARGET, 0)
    assert driver.is_granted(driver.ask(TARGET, holder="entry-b9", incarnation=6))


def test_a_holder_that_was_only_cut_off_registers_its_slots_once() -> None:
    driver = make_owner(OPEN)
    held = [driver.ask(TARGET, holder="entry-b1") for _ in range(4)]
    driver.core.owner.free_holder("entry-b1", 2, driver.now)
    driver.now += 1.0
    driver.report(TARGET, 4)
    slots = [HeldSlot(attempt=attempt) for attempt in held]
    renewal = SlotRenewal(instance="entry-b1", incarnation=1, target=TARGET, slots=slots)
    driver.say("entry-b1", renewal)
    driver.say("entry-b1", renewal)
    assert driver.read_load(TARGET) == 4


# Cold starts.


def test_a_new_boot_id_makes_a_target_cold() -> None:
    driver = make_owner(OPEN)
    driver.report(TARGET, 0, boot_id="b2")
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(5)]
    assert granted.count(True) == OPEN.cold_slots


def test_a_fleet_that_starts_again_takes_busy_targets_for_warm() -> None:
    # Every instance was restarted at once, so nobody remembers that the engine is warm. It is
    # seen to run six requests; held to a cold start it would get one at a time.
    driver = Driver([list_target(TARGET)], OPEN)
    driver.report(TARGET, 6)
    driver.pass_probation(TARGET, running=0)
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(8)]
    assert granted.count(True) >= 6


def test_slow_first_bytes_make_a_target_cold_and_long_prompts_do_not() -> None:
    driver = make_owner(OPEN)
    for _ in range(5):
        driver.release(TARGET, driver.ask(TARGET), first_byte=0.05, tokens=100)
    for _ in range(5):
        # 40,000 tokens take five seconds at the declared rate: long, and not slow.
        driver.release(TARGET, driver.ask(TARGET), first_byte=5.0, tokens=40_000)
    assert "cold_starts" not in driver.counts
    for _ in range(3):
        driver.release(TARGET, driver.ask(TARGET), first_byte=1.5, tokens=100)
    assert driver.counts["cold_starts"] == 1
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(4)]
    assert granted.count(True) == OPEN.cold_slots


def test_failures_in_a_row_make_a_target_cold_and_old_work_does_not_warm_it() -> None:
    # An engine turns cold under full load and falls over: requests fail one after the other.
    # What ends well after that was granted before and does not show what the engine bears now.
    driver = make_owner(OPEN)
    held = [driver.ask(TARGET) for _ in range(8)]
    driver.now += 0.5
    for attempt in held[:2]:
        driver.release(TARGET, attempt, completed=False, failed=True)
    assert driver.counts["cold_starts"] == 1
    for attempt in held[2:]:
        driver.release(TARGET, attempt)
    driver.now += 1.0
    driver.report(TARGET, 0)
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(5)]
    assert granted.count(True) == OPEN.cold_slots


def test_a_target_that_is_still_warming_can_turn_cold_again() -> None:
    # Its limit has risen to eight and it falls over; taken for cold already, it would keep eight.
    driver = make_owner(OPEN, warm=False)
    for _ in range(20):
        driver.release(TARGET, driver.ask(TARGET), first_byte=0.05)
    held = [driver.ask(TARGET) for _ in range(8)]
    assert all(driver.is_granted(attempt) for attempt in held)
    for attempt in held:
        driver.release(TARGET, attempt, completed=False, failed=True)
    driver.now += 1.0
    driver.report(TARGET, 0)
    granted = [driver.is_granted(driver.ask(TARGET)) for _ in range(5)]
    assert granted.count(True) == OPEN.cold_slots


# Waiting.


def test_a_wait_that_cannot_end_in_time_is_refused_at_once() -> None:
    driver = make_owner(OPEN)
    held = [driver.ask(TARGET) for _ in range(8)]
    driver.now += 4.0
    driver.release(TARGET, held.pop())
    held.append(driver.ask(TARGET))
    # A slot is given back about every half second: eight slots of four seconds each.
    waiting = driver.ask(TARGET, max_wait=1.2)
    assert not driver.find_replies(waiting)
    for _ in range(2):
        driver.ask(TARGET, max_wait=9.0)
    late = driver.ask(TARGET, max_wait=1.2)
    assert driver.find_refusal(late) == REFUSAL_WAIT
    assert driver.find_replies(late)[0].retry_after > 0.0
    assert driver.find_refusal(driver.ask(TARGET, max_wait=0.0)) == REFUSAL_FULL


def test_a_chat_waits_for_the_slot_that_its_turn_before_is_giving_back() -> None:
    """A caller has its answer and asks the next turn before the slot of the first is back.

    It comes in through another instance, whose request for a slot overtakes the word of the end.
    Refused, the chat would go to an engine that has to read its whole context again.
    """
    driver = make_owner(PLANNER, targets=1, warm=False)
    first = driver.ask(TARGET)
    driver.now += 0.1
    driver.release(TARGET, first, completed=True)
    driver.report(TARGET, 0)
    before = [driver.ask(TARGET) for _ in range(2)]
    assert all(driver.is_granted(attempt) for attempt in before)
    driver.now += 0.09
    turn = driver.ask(TARGET, max_wait=0.03)
    assert not driver.find_refusal(turn)
    driver.now += 0.01
    driver.release(TARGET, before[0], completed=True)
    assert driver.is_granted(turn)


def test_a_surge_keeps_neither_slots_nor_queue_from_others() -> None:
    service = Service(name=SERVICE, floor=4, cold_slots=1, cold_requests=1, max_queue=16)
    driver = make_owner(service)
    driver.report(TARGET, 0, slots=4)
    held = [driver.ask(TARGET, account="surge", max_wait=9.0) for _ in range(20)]
    evicted = driver.ask(TARGET, account="surge", max_wait=9.0)
    assert driver.find_refusal(evicted) == REFUSAL_QUEUE
    others = [driver.ask(TARGET, account="agents", max_wait=9.0) for _ in range(2)]
    for attempt in held[:4]:
        driver.release(TARGET, attempt)
    assert all(driver.is_granted(attempt) for attempt in others)


def test_a_waiter_is_refused_when_its_deadline_comes() -> None:
    driver = make_owner(OPEN)
    for _ in range(8):
        driver.ask(TARGET)
    waiting = driver.ask(TARGET, max_wait=1.0)
    driver.pass_time(1.1, 0.1)
    assert driver.find_refusal(waiting) == REFUSAL_WAIT


def test_waiters_are_refused_when_reports_fail() -> None:
    driver = make_owner(OPEN)
    for _ in range(8):
        driver.ask(TARGET)
    waiting = driver.ask(TARGET, max_wait=60.0)
    driver.now += 4.0
    driver.handle(events.ReportFailed(TARGET, "connect"))
    assert driver.find_refusal(waiting) == REFUSAL_NOT_READY
    assert driver.find_refusal(driver.ask(TARGET)) == REFUSAL_NOT_READY


# Members.


def test_list_and_heartbeats_do_not_argue_about_who_leaves() -> None:
    # The list says that a peer leaves before the peer itself knows. If each heartbeat took the
    # word back, its targets would change owners every second.
    driver = make_owner(OPEN, targets=12, peers=("entry-a2",))
    entries = [list_target(f"engine-a{n}") for n in range(1, 13)]
    driver.read_list(*entries, list_instance("entry-a2", state="leaving"))
    assert len(driver.core.owner.list_owned()) == 12
    taken = driver.counts["takeovers"]
    for _ in range(3):
        driver.beat("entry-a2")
        driver.pass_time(1.0)
        driver.read_list(*entries, list_instance("entry-a2", state="leaving"))
    assert driver.counts["takeovers"] == taken


def test_an_instance_that_the_list_calls_leaving_gives_up_its_targets() -> None:
    driver = make_owner(OPEN, targets=12, peers=("entry-a2",))
    assert driver.core.owner.list_owned()
    entries = [list_target(f"engine-a{n}") for n in range(1, 13)]
    own = list_instance("entry-a1", state="leaving")
    driver.read_list(*entries, own, list_instance("entry-a2"))
    assert not driver.core.owner.list_owned()
    assert driver.list_sent(Handover)


def test_a_heartbeat_does_not_overwrite_the_books_of_an_owner() -> None:
    driver = make_owner(OPEN)
    driver.ask(TARGET)
    load = TargetLoad(target=TARGET, boot_id="other", load=99, ready=True, service_name=SERVICE)
    driver.beat("entry-a2", load)
    assert driver.read_load(TARGET) == 1
    assert driver.core.context.fleet.targets[TARGET].zone == ZONE


# Zones that are cut off.


def test_an_instance_out_of_touch_owns_no_targets_of_other_zones() -> None:
    """An instance is cut off from the platform and from all others, but reaches another zone's
    targets. Operators take that zone out. Nobody of it is left as far as the instance can tell, so
    its targets would be its own to grant, and they got its callers' work while the cut lasted."""
    driver = Driver([list_target(TARGET), list_target("engine-b1", "almaty-b")], OPEN)
    for holder in HOLDERS:
        driver.handle(events.PeerLost(holder))
    for _ in range(6):
        driver.pass_time(1.0)
        driver.handle(events.RowsRead(SCAN_OP, "failed"))
    assert driver.core.owner.list_owned() == [TARGET]
    driver.handle(events.RowsRead(SCAN_OP, "done"))
    driver.pass_time(1.0)
    assert sorted(driver.core.owner.list_owned()) == [TARGET, "engine-b1"]
    for _ in range(6):
        driver.pass_time(1.0)
        driver.handle(events.RowsRead(SCAN_OP, "failed"))
    assert driver.core.owner.list_owned() == [TARGET]
