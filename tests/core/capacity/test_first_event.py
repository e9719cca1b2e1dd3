"""Estimates of the time until a first event: what they add up, and what they are learned from."""

from __future__ import annotations

import math

import pytest

from rhubarbbend.core.capacity import (
    CapacityTracker,
    FirstEventEstimator,
    ReportedLoad,
    UnreadTokens,
)
from rhubarbbend.core.directory import Target, TargetRecord, TargetState

SECONDS_PER_TOKEN = 0.0001
STEP_S = 0.02


def make_target(target: str = "t", slots: int = 10) -> Target:
    record = TargetRecord(target, "llm", "10.0.0.1", 80, "a", slots, TargetState.READY)
    return Target(record, -100.0, -100.0)


def run_streams(
    estimator: FirstEventEstimator, target: Target, count: int, held: float = 0.0, pace: float = 1.0
) -> None:
    """Run streams of 1,000 unread tokens and 21 events, one after the other and alone."""
    for number in range(count):
        at = 10.0 * number
        if pace != 1.0:
            load = ReportedLoad(running=2, waiting=0, slots=target.slots, pace=pace)
            estimator.capacity.record_report(target.id, load, at)
        tokens = UnreadTokens(1_000.0, True)
        work = estimator.record_sent("llm", "chat", target, held, tokens, at)
        first = at + pace * (1_000 * SECONDS_PER_TOKEN + STEP_S)
        if pace != 1.0:
            estimator.capacity.record_report(target.id, load, first)
        estimator.record_first_event(work, first)
        end = first + pace * 20 * STEP_S
        if pace != 1.0:
            estimator.capacity.record_report(target.id, load, end)
        estimator.record_answered(work, 21, end)


def make_estimator(count: int = 40, pace: float = 1.0) -> tuple[FirstEventEstimator, Target]:
    estimator = FirstEventEstimator(CapacityTracker())
    target = make_target()
    run_streams(estimator, target, count, pace=pace)
    return estimator, target


def estimate(
    estimator: FirstEventEstimator, target: Target, held: float, tokens: float, now: float = 1e6
) -> float:
    seconds = estimator.estimate("llm", "chat", target, held, tokens, now)
    assert seconds is not None
    return seconds


def test_no_evidence_gives_no_estimate() -> None:
    estimator, target = make_estimator(2)
    assert estimator.estimate("llm", "chat", target, 0.0, 100.0, 50.0) is None
    assert estimator.estimate("other", "chat", target, 0.0, 100.0, 50.0) is None


def test_estimate_adds_wait_prefill_and_step() -> None:
    estimator, target = make_estimator()
    idle = estimate(estimator, target, 0.0, 1_000.0)
    assert idle == pytest.approx(1_000 * SECONDS_PER_TOKEN + STEP_S, rel=0.3)
    # Each 1,000 tokens more take their prefill.
    longer = estimate(estimator, target, 0.0, 2_000.0)
    assert longer - idle == pytest.approx(1_000 * SECONDS_PER_TOKEN, rel=0.3)
    # Of ten slots all are held: one of them gets free after a tenth of the holding time.
    holding = 1_000 * SECONDS_PER_TOKEN + 21 * STEP_S
    queued = estimate(estimator, target, 19.0, 1_000.0)
    full = estimate(estimator, target, 9.0, 1_000.0)
    assert queued - full == pytest.approx(holding, rel=0.2)


def test_pace_multiplies_the_estimate_once() -> None:
    # Times are learned divided by the pace, else a slow target would count as slow twice.
    usual, target = make_estimator()
    slow, _ = make_estimator(pace=2.0)
    expected = estimate(usual, target, 0.0, 1_000.0)
    assert estimate(slow, make_target("other"), 0.0, 1_000.0) == pytest.approx(expected, rel=0.2)
    load = ReportedLoad(running=0, waiting=0, slots=10, pace=2.0)
    usual.capacity.record_report(target.id, load, 2e6)
    assert estimate(usual, target, 0.0, 1_000.0, 2e6) == pytest.approx(2.0 * expected, rel=0.01)


def test_unread_tokens_of_requests_on_their_way_count_until_their_first_event() -> None:
    # Ten long prompts that were just sent take a second to read, however few requests they are.
    estimator, target = make_estimator()
    before = estimate(estimator, target, 1.0, 0.0)
    sent = UnreadTokens(10_000.0, True)
    work = estimator.record_sent("llm", "chat", target, 1.0, sent, 500.0)
    assert estimate(estimator, target, 1.0, 0.0) - before == pytest.approx(1.0, rel=0.3)
    estimator.record_left(work)
    estimator.record_left(work)
    assert estimate(estimator, target, 1.0, 0.0) == pytest.approx(before)


def test_whole_answers_are_estimated_to_their_end_and_without_their_wait() -> None:
    estimator = FirstEventEstimator(CapacityTracker())
    target = make_target(slots=4)
    for number in range(20):
        # Seven are held: four run, three wait and one more comes, so the wait is one holding time.
        none = UnreadTokens(0.0)
        work = estimator.record_sent("plain", "read", target, 7.0, none, 10.0 * number)
        estimator.record_answered(work, 0, 10.0 * number + 0.2)
    assert estimator.estimate("plain", "read", target, 0.0, 0.0, 500.0) == pytest.approx(0.1)
    assert estimator.estimate("plain", "read", target, 7.0, 0.0, 500.0) == pytest.approx(0.2)


@pytest.mark.parametrize("held", [-5.0, math.nan, math.inf, 1e30])
def test_impossible_load_is_taken_as_none(held: float) -> None:
    estimator, target = make_estimator()
    expected = estimate(estimator, target, 0.0, 100.0)
    assert estimate(estimator, target, held, 100.0) == pytest.approx(expected)


def test_clock_that_is_set_back_leaves_estimates_finite() -> None:
    estimator, target = make_estimator()
    work = estimator.record_sent("llm", "chat", target, 0.0, UnreadTokens(10.0, True), 5_000.0)
    estimator.record_first_event(work, 1_000.0)
    estimator.record_answered(work, 5, 900.0)
    assert 0.0 < estimate(estimator, target, 0.0, 1_000.0) < 0.5


def test_cold_targets_are_no_evidence() -> None:
    estimator = FirstEventEstimator(CapacityTracker())
    record = TargetRecord("t", "llm", "10.0.0.1", 80, "a", 4, TargetState.READY, cold_left=1e6)
    run_streams(estimator, Target(record, 0.0, 0.0), 20)
    assert estimator.find_times("llm") is None
