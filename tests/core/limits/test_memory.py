"""The ledger of held bytes: what it counts, when it refuses and what it gives up first."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.limits import HeldKind, Holding, MemoryLedger
from rhubarbbend.core.limits._memory import (
    ADMIT_SHARE,
    MAX_MEASURE_INTERVAL_S,
    MEASURE_LIFETIME_S,
    MIN_BUDGET_SHARE,
    USABLE_SHARE,
)

LIMIT = 1_000_000
OWN_SIZE = 300_000
BUDGET = USABLE_SHARE * LIMIT - OWN_SIZE


@attrs.define
class Process:
    """A process whose resident size is what it takes itself, what is held, and freed memory."""

    own_size: int = OWN_SIZE
    freed: int = 0
    measured: int = 0
    ledger: MemoryLedger = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.ledger = MemoryLedger(LIMIT, self.measure)

    def measure(self) -> int:
        self.measured += 1
        return self.own_size + self.freed + self.ledger.held

    def hold(
        self, size: int, stalled_since: float | None = None, kind: HeldKind = HeldKind.ANSWER
    ) -> Holding:
        holding = self.ledger.open(kind, lambda: None)
        self.ledger.resize(holding, size)
        holding.stalled_since = stalled_since
        return holding


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from(list(HeldKind)), st.integers(0, 10**9)),
        max_size=60,
    )
)
def test_what_is_held_is_the_sum_of_open_holdings(
    steps: list[tuple[int, HeldKind, int]],
) -> None:
    """Guards against counts that drift: a closed holding that is resized or closed again."""
    ledger = MemoryLedger()
    slots: list[Holding] = [ledger.open(HeldKind.REQUEST, lambda: None) for _ in range(5)]
    sizes = [0] * 5
    closed = [False] * 5
    for index, kind, size in steps:
        if size % 3 == 0:
            ledger.close(slots[index])
            closed[index], sizes[index] = True, 0
            if size % 2:
                slots[index], closed[index] = ledger.open(kind, lambda: None), False
        else:
            ledger.resize(slots[index], size)
            sizes[index] = 0 if closed[index] else size
        assert ledger.held == sum(sizes) == sum(ledger.count_held(kind) for kind in HeldKind)


def test_requests_are_refused_before_the_budget_is_used_and_accepted_again() -> None:
    process = Process()
    holding = process.hold(int(0.5 * BUDGET))
    assert process.ledger.can_admit(0, 1.0)
    assert not process.ledger.can_admit(int(0.4 * BUDGET), 1.1)
    process.ledger.resize(holding, int((ADMIT_SHARE + 0.01) * BUDGET))
    assert not process.ledger.can_admit(0, 1.2)
    process.ledger.close(holding)
    assert process.ledger.can_admit(0, 1.3)


def test_without_a_limit_nothing_is_refused_shed_or_measured() -> None:
    ledger = MemoryLedger()
    holding = ledger.open(HeldKind.STREAM, lambda: None)
    ledger.resize(holding, 10**12)
    holding.stalled_since = 0.0
    assert ledger.can_admit(10**12, 9.0) and not ledger.select_shed(9.0)
    assert not ledger.is_exhausted(9.0)


@given(
    sizes=st.lists(st.integers(0, int(0.1 * BUDGET)), max_size=7),
    stalls=st.lists(st.floats(0.0, 9.0), min_size=7, max_size=7),
)
def test_far_from_the_limit_it_decides_as_without_one(
    sizes: list[int], stalls: list[float]
) -> None:
    """Guards against a ledger that refuses or gives up anything on a calm day."""
    process, unlimited = Process(), MemoryLedger()
    for size, stall in zip(sizes, stalls, strict=False):
        process.hold(size, stalled_since=10.0 - stall)
        decisions = [
            (ledger.can_admit(0, 10.0), ledger.select_shed(10.0), ledger.is_exhausted(10.0))
            for ledger in (process.ledger, unlimited)
        ]
        assert decisions[0] == decisions[1] == (True, [], False)


def test_room_is_kept_for_the_answers_that_are_awaited() -> None:
    """Guards against admitting requests whose answers together do not fit."""
    process = Process()
    for _ in range(200):
        process.ledger.record_answer(10_000)
    assert process.ledger.can_admit(0, 1.0)
    process.ledger.record_awaited(60)
    assert not process.ledger.can_admit(0, 1.0)
    process.ledger.record_awaited(-60)
    assert process.ledger.can_admit(0, 1.0)


def test_the_largest_and_slowest_are_given_up_first_and_no_more_than_needed() -> None:
    process = Process()
    steady = process.hold(150_000, stalled_since=9.9)
    large_slow = process.hold(150_000, stalled_since=5.0)
    small_slow = process.hold(30_000, stalled_since=5.0)
    working = process.hold(160_000)
    selected = process.ledger.select_shed(10.0)
    assert selected == [large_slow]
    # It is given up only once, although its bytes are still counted.
    assert process.ledger.select_shed(10.1) == [small_slow]
    for holding in (large_slow, small_slow):
        process.ledger.close(holding)
    assert process.ledger.select_shed(10.2) == []
    assert not steady.is_shed and not working.is_shed


def test_those_that_make_progress_are_given_up_only_if_all_is_used() -> None:
    process = Process()
    steady = process.hold(int(0.9 * BUDGET), stalled_since=9.9)
    assert process.ledger.select_shed(10.0) == []
    process.hold(int(0.2 * BUDGET))
    assert process.ledger.is_exhausted(10.1)
    assert process.ledger.select_shed(10.1) == [steady]


def test_the_process_is_measured_seldom() -> None:
    """Guards against a system call for each request."""
    process = Process()
    for number in range(10_000):
        process.ledger.can_admit(0, 1.0 + number * 0.001)
    assert process.measured <= 10.0 / MAX_MEASURE_INTERVAL_S + 2


def test_the_process_is_measured_if_much_is_added_and_as_much_released() -> None:
    """Guards against a process that grows unseen while what is held stays the same."""
    process = Process()
    process.ledger.can_admit(0, 1.0)
    process.ledger.close(process.hold(100_000))
    process.own_size += 50_000
    process.ledger.can_admit(0, 1.1)
    assert process.measured == 2 and process.ledger.budget == BUDGET - 50_000


def test_memory_that_is_freed_and_not_returned_does_not_count_at_once() -> None:
    """Guards against refusing requests after a peak that the process could repeat."""
    process = Process()
    peak = process.hold(400_000)
    process.ledger.can_admit(0, 1.0)
    process.ledger.close(peak)
    process.freed = 400_000
    process.ledger.can_admit(0, 10.0)
    assert process.ledger.budget == BUDGET
    process.ledger.can_admit(0, 2.0 + MEASURE_LIFETIME_S)
    assert process.ledger.budget < BUDGET


def test_what_the_process_itself_grows_by_lowers_the_budget_at_once() -> None:
    """Guards against counting on memory that connections have taken since the last peak."""
    process = Process()
    process.hold(300_000)
    process.ledger.can_admit(0, 1.0)
    process.own_size += 100_000
    process.hold(20_000)
    process.ledger.can_admit(0, 1.1)
    assert process.ledger.budget == BUDGET - 100_000


def test_the_budget_falls_faster_than_the_process_grows_beyond_what_is_usable() -> None:
    """Guards against fragments of freed memory that take the process over its limit."""
    process = Process()
    process.hold(400_000)
    process.ledger.can_admit(0, 1.0)
    process.freed = 150_000
    process.ledger.can_admit(0, 4.0)
    assert process.ledger.budget == 400_000 - 3 * 50_000


def test_a_process_that_takes_all_by_itself_still_serves() -> None:
    """Guards against an instance that refuses everything although it holds nothing."""
    process = Process(own_size=2 * LIMIT)
    assert process.ledger.can_admit(0, 1.0)
    assert process.ledger.budget == MIN_BUDGET_SHARE * LIMIT


def test_a_new_limit_holds_at_once() -> None:
    process = Process()
    process.hold(int(0.5 * BUDGET))
    assert process.ledger.can_admit(0, 1.0)
    process.ledger.set_limit(LIMIT / 2)
    assert not process.ledger.can_admit(0, 1.001)
