"""The retry budget bounds retries by a share of the fresh requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.requests._retries import RetryBudget


@given(steps=st.lists(st.booleans(), max_size=300), share=st.floats(0.0, 0.5))
def test_retries_stay_within_reserve_and_share(steps: list[bool], share: float) -> None:
    reserve = 5.0
    budget = RetryBudget(share, reserve)
    fresh = 0
    retries = 0
    for is_fresh in steps:
        if is_fresh:
            fresh += 1
            budget.add_request()
        else:
            retries += budget.take()
        assert retries <= reserve + share * fresh + 1e-6


def test_the_reserve_is_there_from_the_start() -> None:
    budget = RetryBudget(0.1, 2.0)
    assert [budget.take() for _ in range(3)] == [True, True, False]
