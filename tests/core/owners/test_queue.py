"""The queue for slots: bounded, fair by weight, each waiter out exactly once."""

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
    inside: set[str] = set()
    added = 0
    for what, account, value in steps:
        left: list[Waiter | None] = []
        if what == "add":
            added += 1
            inside.add(f"t{added}")
            waiter = make_waiter(added, f"a{account}", account + 1, deadline=float(value))
            left = [queue.add(waiter)]
        elif what == "take":
            left = [queue.take(skip_suspects=False)]
            assert (left[0] is None) == (not inside)
        elif what == "remove":
            left = [queue.remove(f"t{value}")]
        else:
            left = list(queue.take_expired(float(value)))
        for waiter_left in left:
            if waiter_left is not None:
                inside.remove(waiter_left.request.attempt)
        assert len(queue) == len(inside) <= capacity
    assert {waiter.request.attempt for waiter in queue.take_all()} == inside


@given(
    weights=st.lists(st.integers(1, 5), min_size=2, max_size=5),
    takes=st.integers(1, 60),
)
def test_backlogged_accounts_are_served_by_weight(weights: list[int], takes: int) -> None:
    queue = FairQueue(10_000)
    number = 0
    for account, weight in enumerate(weights):
        for _ in range(takes):
            number += 1
            queue.add(make_waiter(number, f"a{account}", weight))
    served = [0] * len(weights)
    for _ in range(takes):
        waiter = queue.take(skip_suspects=False)
        assert waiter is not None
        served[int(waiter.request.account[1:])] += 1
    rounds = [count / weight for count, weight in zip(served, weights, strict=True)]
    for one, own in enumerate(rounds):
        for other, others in enumerate(rounds):
            assert abs(own - others) <= 1 / weights[one] + 1 / weights[other] + 1e-9


def test_a_surge_does_not_lock_other_accounts_out_of_a_full_queue() -> None:
    # Account "surge" fills the queue before "agents" asks. A queue that refuses when full would
    # refuse every request of "agents" for as long as the surge lasts.
    queue = FairQueue(8)
    for number in range(8):
        assert queue.add(make_waiter(number, "surge")) is None
    evicted = queue.add(make_waiter(100, "agents"))
    assert evicted is not None and evicted.request.attempt == "t7"
    order = [queue.take(skip_suspects=False) for _ in range(2)]
    assert [waiter.request.account for waiter in order if waiter] == ["agents", "surge"]


def test_a_surge_is_refused_when_it_has_most_of_the_queue() -> None:
    queue = FairQueue(4)
    for number in range(3):
        queue.add(make_waiter(number, "surge"))
    queue.add(make_waiter(50, "agents"))
    late = make_waiter(60, "surge")
    assert queue.add(late) is late


def test_counts_only_waiters_that_fair_order_serves_before() -> None:
    queue = FairQueue(100)
    for number in range(50):
        queue.add(make_waiter(number, "surge"))
    assert queue.count_ahead("agents", 1) == 1
    assert queue.count_ahead("surge", 1) == 50


def test_passes_over_suspects_and_keeps_them() -> None:
    queue = FairQueue(10)
    suspect = make_waiter(1, "agents")
    suspect.request.suspect = True
    queue.add(suspect)
    assert queue.take(skip_suspects=True) is None
    queue.add(make_waiter(2, "agents"))
    taken = queue.take(skip_suspects=True)
    assert taken is not None and taken.request.attempt == "t2"
    assert queue.take(skip_suspects=False) is suspect
