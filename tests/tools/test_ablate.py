"""The list of mechanisms fits the program: each text to change is there exactly once."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tools.ablate import ROOT, Mechanism, format_row, load_mechanisms, switch_off, weigh
from tools.plays import Play, parse_seeds


@pytest.mark.parametrize("mechanism", load_mechanisms(), ids=lambda m: m.name)
def test_each_mechanism_can_be_switched_off(mechanism: Mechanism, tmp_path: Path) -> None:
    copied = tmp_path / mechanism.file
    copied.parent.mkdir(parents=True)
    shutil.copy(ROOT / mechanism.file, copied)
    switch_off(mechanism, tmp_path)
    text = copied.read_text("utf-8")
    compile(text, mechanism.file, "exec")
    assert mechanism.new in text


def test_a_text_that_is_not_there_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "x.py").write_text("a = 1\n")
    with pytest.raises(ValueError, match="other than once"):
        switch_off(Mechanism("x", "x.py", "b = 1", "b = 2"), tmp_path)


def make_play(day: str, seed: int, worth: float, rules: tuple[str, ...] = ()) -> Play:
    return Play(day, seed, worth, worth, 0.0, 0.0, {}, {}, list(rules), 0, "")


def test_what_a_mechanism_is_worth_is_told_by_pairs_of_the_same_day_and_seed() -> None:
    before = [make_play("a", 1, 0.7), make_play("a", 2, 0.5)]
    after = [make_play("a", 2, 0.4, ("DRAIN",)), make_play("a", 1, 0.6)]
    row = weigh("x", before, after)
    assert (round(row.worth, 6), round(row.margin, 6), row.rules) == (0.1, 0.0, ["DRAIN"])
    assert format_row(row) == "| x | +0.1000 ±0.0000 | +0.1000 ±0.0000 | DRAIN |"


def test_seeds_are_one_or_a_range() -> None:
    assert parse_seeds("4") == [4]
    assert parse_seeds("2-5") == [2, 3, 4, 5]
