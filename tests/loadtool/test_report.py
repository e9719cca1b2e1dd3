"""Tests that results are restored from their files and compared seed by seed."""

from __future__ import annotations

from pathlib import Path

from loadtool._report import format_comparison, format_markdown, format_run
from loadtool._results import PhaseResult, RunResult, read_results, write_result
from loadtool._scenario import PHASE_FRACTIONS, plan_phases


def make_result(policy: str, seed: int, reuse: float) -> RunResult:
    """Return a result whose phases all have the same reuse."""
    phases = [
        PhaseResult(name, requests=10, served=9, reuse=reuse, reuse_bound=0.9)
        for name in PHASE_FRACTIONS
    ]
    return RunResult("tengri", policy, seed, 40.0, 300.0, phases=phases)


def test_result_is_restored_from_its_file(tmp_path: Path) -> None:
    result = make_result("affinity", 1, 0.8)
    write_result(result, tmp_path / "tengri" / "affinity" / "1.json")
    assert read_results(tmp_path) == [result]
    assert read_results(tmp_path / "tengri" / "affinity" / "1.json") == [result]
    assert "affinity" in format_run(result)


def test_comparison_judges_only_where_every_seed_agrees() -> None:
    # B has twice the reuse of A with both seeds, so it is reported as better. If one seed is better
    # and the other worse, neither set is.
    first = [make_result("random", seed, 0.4) for seed in (1, 2)]
    line = format_comparison(
        first, [make_result("affinity", seed, 0.8) for seed in (1, 2)]
    ).splitlines()[1]
    assert line.startswith("reuse, steady") and "2.000" in line and line.endswith("B better")
    mixed = [make_result("affinity", 1, 0.8), make_result("affinity", 2, 0.2)]
    line = format_comparison(first, mixed).splitlines()[1]
    assert "0.500-2.000" in line and "better" not in line


def test_comparison_ignores_seeds_that_one_side_lacks() -> None:
    first = [make_result("random", 1, 0.4)]
    second = [make_result("affinity", 1, 0.6), make_result("affinity", 2, 0.8)]
    line = format_comparison(first, second).splitlines()[1]
    # One shared seed gives a ratio, but too little to call a set better.
    assert "1.500-1.500" in line and "better" not in line


def test_markdown_has_a_column_for_each_policy() -> None:
    results = [make_result(policy, 1, 0.5) for policy in ("random", "affinity")]
    header = format_markdown(results).splitlines()[4]
    assert header == "| measure | affinity | random |"


def test_phases_cover_the_run() -> None:
    phases = plan_phases(40.0)
    assert [phase.begin for phase in phases[1:]] == [phase.end for phase in phases[:-1]]
    assert phases[0].begin == 0.0 and abs(phases[-1].end - 40.0) < 1e-9
