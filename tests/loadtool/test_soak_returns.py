"""The check of the soak that service comes back after a loss of all instances, and a short run."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool._soak import SoakOptions, format_result, make_soak_layout, run_soak
from loadtool._soak_checks import RequestOutcome, RunRecord
from loadtool._soak_returns import find_return_violations, make_return_schedule
from loadtool._soak_schedule import ScheduledSoakFault, SoakFault

DURATION = 30.0
INSTANCES = 5
LOSSES = [ScheduledSoakFault(10.0, 11.0, SoakFault.KILL, "front-0")]
COUNT = 40


def make_outcomes(at: float, served: int, count: int = COUNT) -> list[RequestOutcome]:
    """Return requests that were sent so many seconds after the start, and how many were served."""
    outcomes: list[RequestOutcome] = []
    for number in range(count):
        outcome = RequestOutcome(f"{at}-{number}", "read", "front-0", "", "/read/x", b"", at)
        outcome.status, outcome.complete = (200 if number < served else 503), True
        outcomes.append(outcome)
    return outcomes


# Guards against a run in which service does not come back and nothing says so.
@pytest.mark.parametrize(
    ("before", "after", "is_broken"), [(40, 10, False), (40, 9, True), (9, 0, False)]
)
def test_service_that_does_not_come_back_is_found(before: int, after: int, is_broken: bool) -> None:
    outcomes = make_outcomes(5.0, before) + make_outcomes(22.9, 0) + make_outcomes(23.0, after)
    lines = find_return_violations(RunRecord(0.0, outcomes), LOSSES)
    assert bool(lines) is is_broken


def test_run_without_requests_after_the_return_shows_nothing() -> None:
    lines = find_return_violations(RunRecord(0.0, make_outcomes(5.0, COUNT)), LOSSES)
    assert lines and "0 after the return" in lines[0]


def test_all_instances_are_lost_together_and_in_time_to_judge_their_return() -> None:
    layout = make_soak_layout(INSTANCES)
    counts = set()
    for seed in range(20):
        kills = [
            fault
            for fault in make_return_schedule(seed, DURATION, layout)
            if fault.fault is SoakFault.KILL
        ]
        counts.add(len(kills) // INSTANCES)
        assert {kill.victim for kill in kills} == set(layout.instances)
        assert max(kill.until for kill in kills) < DURATION / 2 + 1.0
    assert counts == {1, 2}


# Guards against a fleet that does not serve any more after all instances were lost, beside the
# faults of all other runs.
@pytest.mark.parametrize("seed", [1, 2])
def test_all_guarantees_hold_while_all_instances_are_lost_and_return(
    tmp_path: Path, seed: int
) -> None:
    run = run_soak(seed, DURATION, INSTANCES, tmp_path, SoakOptions(has_returns=True))
    result = asyncio.run(run)
    print(format_result(result))
    assert result.violations == []
