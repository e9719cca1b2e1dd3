"""Tests that the cases of the reviews are found, and that their ends are told apart."""

from __future__ import annotations

from pathlib import Path

import pytest

from tools.binary import ROOT
from tools.cases import list_cases, run_case
from tools.known_red_run import Outcome


def test_all_cases_are_listed_by_their_numbers() -> None:
    assert list_cases(ROOT) == [str(number) for number in range(1, 11)]


# Guards against a case that could not run, and counts as one that held.
@pytest.mark.parametrize(
    ("status", "outcome"),
    [(0, Outcome.PASSED), (1, Outcome.FAILED), (2, Outcome.COULD_NOT_RUN)],
)
def test_exit_status_tells_how_a_case_ended(tmp_path: Path, status: int, outcome: Outcome) -> None:
    script = tmp_path / "review" / "1" / "run.sh"
    script.parent.mkdir(parents=True)
    script.write_text(f"#!/bin/sh\nexit {status}\n")
    script.chmod(0o755)
    assert list_cases(tmp_path) == ["1"]
    assert run_case("1", tmp_path) is outcome
