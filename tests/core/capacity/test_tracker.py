"""Pace and slots as targets report them: what is used, for how long, and what is ignored."""

from __future__ import annotations

import math

import pytest

from rhubarbbend.core.capacity import USUAL_PACE, CapacityTracker, ReportedLoad


def make_load(pace: float | None, slots: int = 12) -> ReportedLoad:
    return ReportedLoad(running=3, waiting=0, slots=slots, pace=pace)


def test_latest_pace_is_used_while_fresh_and_the_mean_afterwards() -> None:
    # A phase lasts 0.6 s: a second later the latest pace must not be taken for the present one.
    tracker = CapacityTracker()
    for number in range(60):
        tracker.record_report("t", make_load(1.1), number * 0.1)
    tracker.record_report("t", make_load(2.5), 6.0)
    assert tracker.estimate_pace("t", 6.0) == pytest.approx(2.5)
    assert tracker.estimate_pace("t", 6.15) > 1.7
    assert tracker.estimate_pace("t", 7.2) < 1.2


def test_mean_follows_a_target_that_stays_slow() -> None:
    tracker = CapacityTracker()
    for number in range(150):
        tracker.record_report("t", make_load(2.0), number * 0.1)
    assert tracker.estimate_pace("t", 16.5) > 1.9


def test_targets_without_pace_are_taken_to_work_as_usual() -> None:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(None), 1.0)
    assert tracker.estimate_pace("t", 1.0) == USUAL_PACE
    assert tracker.get_slots("t") == 12
    assert not tracker.has_pace(["t"], 1.0)
    assert tracker.find_pace("unknown", 1.0) is None and tracker.get_slots("unknown") is None


def test_stale_pace_counts_as_none() -> None:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(2.5), 1.0)
    assert tracker.has_pace(["other", "t"], 2.0)
    assert not tracker.has_pace(["t"], 20.0)
    assert tracker.estimate_pace("t", 20.0) == USUAL_PACE


@pytest.mark.parametrize("pace", [0.0, -1.0, 1e9, math.inf, math.nan])
def test_invalid_pace_changes_nothing_and_is_counted(pace: float) -> None:
    # With a pace of 0 every estimate would be 0, and all requests would go to one target.
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(1.5), 1.0)
    tracker.record_report("t", make_load(pace), 1.1)
    assert tracker.invalid_count == 1
    assert tracker.estimate_pace("t", 1.1) == estimate_after(1.5, 0.1)


def estimate_after(pace: float, seconds: float) -> float:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(pace), 1.0)
    return tracker.estimate_pace("t", 1.0 + seconds)


@pytest.mark.parametrize("slots", [0, -4, 10**12])
def test_invalid_slots_change_nothing_and_are_counted(slots: int) -> None:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(None, slots=12), 1.0)
    tracker.record_report("t", make_load(None, slots=slots), 1.1)
    assert (tracker.get_slots("t"), tracker.invalid_count) == (12, 1)


def test_report_of_another_instance_counts_if_it_is_newer() -> None:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(1.0), 10.0)
    tracker.merge("t", 6, 2.5, age=1.0, now=10.5)
    assert tracker.estimate_pace("t", 10.5) == pytest.approx(1.0)
    tracker.merge("t", 6, 2.5, age=0.1, now=10.5)
    assert tracker.estimate_pace("t", 10.5) > 1.8
    assert tracker.get_slots("t") == 6


@pytest.mark.parametrize("age", [-5.0, math.nan, math.inf])
def test_impossible_age_is_ignored(age: float) -> None:
    # A report from the future would keep all later ones from being used.
    tracker = CapacityTracker()
    tracker.merge("t", 6, 2.5, age, 10.0)
    assert tracker.find_pace("t", 10.0) is None and tracker.invalid_count == 1


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_clock_step_ends_the_use_of_earlier_reports_and_not_of_later_ones(step: float) -> None:
    tracker = CapacityTracker()
    tracker.record_report("t", make_load(2.5), 10_000.0)
    now = 10_000.0 + step
    assert tracker.estimate_pace("t", now) == USUAL_PACE
    assert not tracker.has_pace(["t"], now)
    tracker.merge("t", 8, 2.0, 0.05, now)
    assert tracker.estimate_pace("t", now) > 1.5
    assert tracker.get_slots("t") == 8
