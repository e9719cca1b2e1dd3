"""Tests of the tool that runs the bench and compares its results."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tools.plays import (
    BenchRunner,
    DayResult,
    format_comparison,
    format_results,
    list_days,
    load_results,
    parse_report,
    save_results,
)

REPORT = {
    "G": 0.7,
    "served": 0.9,
    "refused": 0.01,
    "failed": 0.02,
    "fault": None,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.5, 0.6]],
    "prices": [["cloud calls", 1200.0, 0.01]],
    "breaks": {"DRAIN": ["a line"]},
    "all": {"late": 40},
}


def test_parses_bench_report() -> None:
    result = parse_report("trouble-1", 3, REPORT)
    assert (result.worth, result.late, result.rules, result.fault) == (0.7, 40, ["DRAIN"], "")
    assert result.parts["worst windows"] == 0.6 and result.prices == {"cloud calls": 0.01}


def make_result(seed: int, worth: float, served: float) -> DayResult:
    return DayResult("a", seed, worth, served, 0.0, 0.0, {}, {"cloud calls": 0.01}, [], 0, "")


def test_comparison_pairs_results_by_seed() -> None:
    # The results differ between seeds by much more than the effect of the change, so only a
    # comparison of the same seeds shows it, in whatever order they are listed.
    before = [make_result(1, 0.5, 0.9), make_result(2, 0.7, 0.9), make_result(3, 0.6, 0.9)]
    after = [make_result(3, 0.62, 0.9), make_result(1, 0.52, 0.9), make_result(2, 0.72, 0.9)]
    lines = format_comparison(before, after).splitlines()
    assert lines[0] == "3 pairs"
    assert lines[1].split() == ["worth", "+0.0200", "±0.0000", "*"]
    assert lines[2].split() == ["served", "+0.0000", "±0.0000"]


def test_summary_shows_broken_rule() -> None:
    assert "BROKEN trouble-1 seed 3: ['DRAIN']" in format_results(
        [parse_report("trouble-1", 3, REPORT)]
    )


def test_saved_results_can_be_loaded(tmp_path: Path) -> None:
    results = [make_result(1, 0.5, 0.9)]
    save_results(results, tmp_path / "plays.json")
    assert load_results(tmp_path / "plays.json") == results


def test_quiet_days_are_listed_on_request(tmp_path: Path) -> None:
    site = tmp_path / "site.toml"
    site.write_text(
        '[[day]]\nname = "quiet-1"\nslot = "quiet"\n[[day]]\nname = "scale-1"\nslot = "scale"\n'
    )
    assert list_days(site, False) == ["scale-1"]
    assert list_days(site, True) == ["quiet-1", "scale-1"]


@pytest.mark.parametrize("small", [False, True])
def test_small_option_is_passed_to_bench(tmp_path: Path, small: bool) -> None:
    # A day with hundreds of instances takes ten minutes; its small variant takes half a minute.
    bench = tmp_path / "bench"
    report = json.dumps(REPORT)
    bench.write_text(
        "#!/bin/sh\n"
        f'echo "$@" > {tmp_path}/words\n'
        'while [ "$1" != --report ]; do shift; done\n'
        f"printf '%s' '{report}' > \"$2\"\n"
    )
    bench.chmod(0o755)
    runner = BenchRunner(bench, tmp_path / "site.toml", tmp_path, "why", small=small)
    assert runner.run_day("trouble-1", 3).worth == 0.7
    assert ("--small" in (tmp_path / "words").read_text().split()) == small
