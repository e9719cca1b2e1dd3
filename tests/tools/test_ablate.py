"""Tests of the ablation tool, and that each mechanism's text occurs once in the program."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tools.ablate import (
    ROOT,
    Mechanism,
    compute_ablation,
    disable_mechanism,
    format_row,
    load_mechanisms,
)
from tools.plays import DayResult, parse_seeds


@pytest.mark.parametrize("mechanism", load_mechanisms(), ids=lambda m: m.name)
def test_each_mechanism_can_be_disabled(mechanism: Mechanism, tmp_path: Path) -> None:
    copied = tmp_path / mechanism.file
    copied.parent.mkdir(parents=True)
    shutil.copy(ROOT / mechanism.file, copied)
    disable_mechanism(mechanism, tmp_path)
    text = copied.read_text("utf-8")
    compile(text, mechanism.file, "exec")
    assert mechanism.new in text


def test_missing_source_text_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "x.py").write_text("a = 1\n")
    with pytest.raises(ValueError, match="does not contain the old text exactly once"):
        disable_mechanism(Mechanism("x", "x.py", "b = 1", "b = 2"), tmp_path)


def make_result(day: str, seed: int, worth: float, rules: tuple[str, ...] = ()) -> DayResult:
    return DayResult(day, seed, worth, worth, 0.0, 0.0, {}, {}, list(rules), 0, "")


def test_ablation_pairs_results_by_day_and_seed() -> None:
    before = [make_result("a", 1, 0.7), make_result("a", 2, 0.5)]
    after = [make_result("a", 2, 0.4, ("DRAIN",)), make_result("a", 1, 0.6)]
    row = compute_ablation("x", before, after)
    assert (round(row.worth, 6), round(row.margin, 6), row.rules) == (0.1, 0.0, ["DRAIN"])
    assert format_row(row) == "| x | +0.1000 ±0.0000 | +0.1000 ±0.0000 | DRAIN |"


def test_parses_one_seed_or_a_range() -> None:
    assert parse_seeds("4") == [4]
    assert parse_seeds("2-5") == [2, 3, 4, 5]
