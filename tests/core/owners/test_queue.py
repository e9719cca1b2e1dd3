"""Tests of the slot queue: bounded, fair by weight, and each waiter leaves exactly once."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.messages import SlotRequest
from rhubarbbend.core.owners._queue import FairQueue, Waiter


def make_waiter(number: int, account: str, weight: int = 1, deadline: float = 100.0) -> Waiter:
    request = SlotRequest(attempt=f"t{number}", account=account, weight=weight)
    return Waiter(request, "entry-a1", 0.0, deadline)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "add", "take", "remove", "expire"]),
        st.integers(0, 3),
        st.integers(0, 30),
    ),
    max_size=80,
)


@given(steps=STEPS, capacity=st.integers(1, 8))
def test_each_waiter_leaves_once_and_the_queue_stays_bounded(
    steps: list[tuple[str, int, int]], capacity: int
) -> None:
    queue = FairQueue(capacity)
    queued: set[str] = set()
    added = 0
    for operation, account, value in steps:
        left: list[Waiter | None] = []
        if operation == "add":
            added += 1
            queued.add(f"t{added}")
            waiter = make_waiter(added, f"a{account}", account + 1, deadline=float(value))
            left = [queue.add(waiter)]
        elif operation == "take":
            left = [queue.pop_next(skip_suspects=False)]
            assert (left[0] is None) == (not queued)
        elif operation == "remove":
            left = [queue.remove(f"t{value}")]
        else:
            left = list(queue.remove_expired(float(value)))
        for waiter_left in left:
            if waiter_left is not None:
                queued.remove(waiter_left.request.attempt)
        assert len(queue) == len(queued) <= capacity
    assert {waiter.request.attempt for waiter in queue.remove_all()} == queued


@given(
    weights=st.lists(st.integers(1, 5), min_size=2, max_size=5),
    pops=st.integers(1, 60),
)
def test_backlogged_accounts_are_served_by_weight(weights: list[int], pops: int) -> None:
    queue = FairQueue(10_000)
    number = 0
    for account, weight in enumerate(weights):
        for _ in range(pops):
            number += 1
            queue.add(make_waiter(number, f"a{account}", weight))
    served = [0] * len(weights)
    for _ in range(pops):
        waiter = queue.pop_next(skip_suspects=False)
        assert waiter is not None
        served[int(waiter.request.account[1:])] += 1
    rounds = [count / weight for count, weight in zip(served, weights, strict=True)]
    for one, own in enumerate(rounds):
        for other, others in enumerate(rounds):
            assert abs(own - others) <= 1 / weights[one] + 1 / weights[other] + 1e-9


def test_a_surge_does_not_lock_other_accounts_out_of_a_full_queue() -> None:
    # Account "surge" fills the queue before "agents" asks. A queue that refuses new requests when
    # full would refuse every request of "agents" for as long as the surge lasts.
    queue = FairQueue(8)
    for number in range(8):
        assert queue.add(make_waiter(number, "surge")) is None
    evicted = queue.add(make_waiter(100, "agents"))
    assert evicted is not None and evicted.request.attempt == "t7"
    order = [queue.pop_next(skip_suspects=False) for _ in range(2)]
    assert [waiter.request.account for waiter in order if waiter] == ["agents", "surge"]


def test_a_surge_is_refused_when_it_has_most_of_the_queue() -> None:
    queue = FairQueue(4)
    for number in range(3):
        queue.add(make_waiter(number, "surge"))
    queue.add(make_waiter(50, "agents"))
    late = make_waiter(60, "surge")
    assert queue.add(late) is late


def test_count_ahead_counts_only_waiters_that_are_served_before() -> None:
    queue = FairQueue(100)
    for number in range(50):
        queue.add(make_waiter(number, "surge"))
    assert queue.count_ahead("agents", 1) == 1
    assert queue.count_ahead("surge", 1) == 50


def test_skips_suspects_and_keeps_them_queued() -> None:
    queue = FairQueue(10)
    suspect = make_waiter(1, "agents")
    suspect.request.suspect = True
    queue.add(suspect)
    assert queue.pop_next(skip_suspects=True) is None
    queue.add(make_waiter(2, "agents"))
    popped = queue.pop_next(skip_suspects=True)
    assert popped is not None and popped.request.attempt == "t2"
    assert queue.pop_next(skip_suspects=False) is suspect
