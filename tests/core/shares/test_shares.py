"""The shares of a fleet-wide limit never add up to more than the limit."""

from __future__ import annotations

import pytest

from rhubarbbend.core.shares import ColdTargetShare, RetryBudgetShare


@pytest.mark.parametrize("count", [1, 6, 8, 9, 21, 22, 85, 400])
@pytest.mark.parametrize(("rate", "overshoot", "slack"), [(11.0, 1.5, 5.0), (2.0, 1.5, 0.5)])
def test_shares_of_a_cold_target_add_up_to_no_more_than_its_limit(
    count: int, rate: float, overshoot: float, slack: float
) -> None:
    names = [f"instance-{number}" for number in range(count)]
    total = sum(
        ColdTargetShare(name, overshoot, slack).compute_share("target", rate, names)
        for name in names
    )
    limit = int(rate * overshoot + slack)
    assert total <= limit
    # Rounding loses less than one request per instance.
    assert total > limit - count


def test_sends_are_counted_in_a_sliding_window() -> None:
    cold = ColdTargetShare("a-1", 1.5, 5.0)
    for at in (0.0, 0.5, 1.0):
        assert cold.has_room("x", 3, at)
        cold.record_sent("x", at)
    assert not cold.has_room("x", 3, 1.1)
    assert cold.has_room("x", 3, 1.2)


def test_retries_of_all_instances_stay_within_the_slack_without_new_requests() -> None:
    # All targets fail at once, and each of six instances tries to retry 100 requests.
    shares = [RetryBudgetShare(0.2, 52.0, 10.0) for _ in range(6)]
    retries = sum(share.try_acquire(6, 1.0) for share in shares for _ in range(100))
    assert 30 <= retries <= 52


def test_retries_are_limited_by_the_requests_in_the_window() -> None:
    share = RetryBudgetShare(0.2, 0.0, 10.0)
    assert not share.try_acquire(6, 0.0)
    for step in range(100):
        share.record_request(step * 0.01)
    retries = sum(share.try_acquire(6, 1.0) for _ in range(100))
    assert retries == 18
    assert not share.try_acquire(6, 9.0)
    assert not share.try_acquire(6, 12.0)
