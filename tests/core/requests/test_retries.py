"""Tests of the retry budget, which limits retries to a fraction of the fresh requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.requests._retries import RetryBudget


@given(steps=st.lists(st.booleans(), max_size=300), refill_ratio=st.floats(0.0, 0.5))
def test_retries_stay_within_the_reserve_and_the_refill(
    steps: list[bool], refill_ratio: float
) -> None:
    reserve = 5.0
    budget = RetryBudget(refill_ratio, reserve)
    fresh_requests = 0
    retries = 0
    for is_fresh in steps:
        if is_fresh:
            fresh_requests += 1
            budget.record_request()
        else:
            retries += budget.try_acquire()
        assert retries <= reserve + refill_ratio * fresh_requests + 1e-6


def test_the_reserve_is_available_from_the_start() -> None:
    budget = RetryBudget(0.1, 2.0)
    assert [budget.try_acquire() for _ in range(3)] == [True, True, False]
