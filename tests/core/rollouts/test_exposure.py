"""The bound on requests to a new version holds over all instances, with no messages among them."""

from __future__ import annotations

from random import Random

import pytest

from rhubarbbend.core.rollouts import ExposureLimiter, ExposureOptions

OPTIONS = ExposureOptions(0.1, 50.0)
RESERVE = 0.03


def spend_all(limiter: ExposureLimiter, requests: int) -> int:
    """Send each request to the new version that may go there; return their number."""
    sent = 0
    for _ in range(requests):
        limiter.record_request()
        if limiter.has_credit():
            limiter.spend()
            sent += 1
    return sent


@pytest.mark.parametrize(
    ("instances", "requests_each", "restarts"),
    [(6, 400, 0), (6, 60, 2), (83, 24, 0), (83, 24, 3), (400, 200, 1), (400, 2, 0)],
)
def test_instances_together_keep_the_cap(instances: int, requests_each: int, restarts: int) -> None:
    """Every instance sends what it may and more than once forgets that it did, as it restarts."""
    random = Random(5)
    sent = 0
    for _ in range(instances):
        for life in range(restarts + 1):
            limiter = ExposureLimiter(OPTIONS, instances, life == 0, RESERVE, random)
            sent += spend_all(limiter, requests_each // (restarts + 1))
    total = instances * requests_each
    assert sent <= (OPTIONS.share - RESERVE) * total + OPTIONS.slack + 0.5 * instances * restarts


def test_few_requests_at_many_instances_still_reach_a_new_version() -> None:
    """With a fixed first credit each of 83 instances would round its share down to none."""
    random = Random(3)
    options = ExposureOptions(0.1, 0.0)
    limiters = [ExposureLimiter(options, 83, True, 0.0, random) for _ in range(83)]
    assert 30 <= sum(spend_all(limiter, 4) for limiter in limiters) <= 90


def test_trial_leaves_credit_for_moving() -> None:
    limiter = ExposureLimiter(ExposureOptions(0.1, 0.0), 1, True, 0.0, Random(1))
    for _ in range(200):
        limiter.record_request()
        if limiter.has_trial_credit(0.5, 0.5):
            limiter.spend()
    assert not limiter.has_trial_credit(0.5, 0.5)
    assert limiter.has_credit()
