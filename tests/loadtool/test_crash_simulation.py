"""Tests that few targets crash on a part or under a request, in plays of the judgement alone."""

from __future__ import annotations

import pytest

from loadtool import _recurrence_simulation as recurrence
from loadtool._crash_simulation import CrashSimulation, Setup
from loadtool._crash_table import RECURRENCES

# From the users' rule.
MAX_LATE_RUNS = 3


# Guards against refusing what sound requests hold, and against crashes without end.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "setup",
    [Setup(), Setup(6, 6, 34.0, bad_rate=8.0), Setup(bad_parts=2, bad_rate=3.0), Setup(kills=20)],
)
def test_few_engines_crash_and_sound_requests_go_on(setup: Setup, seed: int) -> None:
    result = CrashSimulation("fleet", setup, seed).run()
    assert result.late_runs <= MAX_LATE_RUNS
    assert result.sound_refused <= 0.1 * result.sound


# Guards against a request that crashes targets each time that it comes, at any pace and in copies,
# and against refusing a popular request that was beside it, or lost power.
@pytest.mark.parametrize("label", RECURRENCES)
def test_a_request_that_comes_back_crashes_few_targets(label: str) -> None:
    for seed in range(4):
        setup = recurrence.Setup(**RECURRENCES[label])
        result = recurrence.RecurrenceSimulation("fleet", setup, seed).run()
        assert result.late_runs <= MAX_LATE_RUNS
        assert result.popular_refused <= 0.01 * result.popular


def test_a_trial_in_each_instance_crashes_many_targets() -> None:
    setup = recurrence.Setup(copies=8)
    assert recurrence.RecurrenceSimulation("instance", setup, 1).run().late_runs > MAX_LATE_RUNS


def test_a_digest_of_the_whole_request_does_not_find_a_part() -> None:
    assert CrashSimulation("digest", Setup(), 1).run().late_runs > MAX_LATE_RUNS
