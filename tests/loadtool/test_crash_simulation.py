"""Tests that few engines crash on a part of prompts, in plays of the judgement alone."""

from __future__ import annotations

import pytest

from loadtool._crash_simulation import CrashSimulation, Setup

# From the users' rule.
MAX_LATE_RUNS = 3


# Guards against refusing what sound requests hold, and against crashes without end.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "setup",
    [Setup(), Setup(6, 6, 34.0, bad_rate=8.0), Setup(bad_parts=2, bad_rate=3.0), Setup(kills=20)],
)
def test_few_engines_crash_and_sound_requests_go_on(setup: Setup, seed: int) -> None:
    result = CrashSimulation("answering", setup, seed).run()
    assert result.late_runs <= MAX_LATE_RUNS
    assert result.sound_refused <= 0.1 * result.sound


def test_a_digest_of_the_whole_request_does_not_find_a_part() -> None:
    assert CrashSimulation("digest", Setup(), 1).run().late_runs > MAX_LATE_RUNS
