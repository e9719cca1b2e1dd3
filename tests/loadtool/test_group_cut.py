"""Tests of runs in which a group of instances loses its links to targets, and short such runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool._group_cut import CutOptions, CutResult, FirstTry, LinkCut, format_cut, run_cut

# Callers of a zone this large were refused: its instances asked one another for help.
ZONE_OF_13 = CutOptions(instances=26, zones=2, engines=6, rate=80.0, duration=7.0)
RUNS = {
    "zone": ZONE_OF_13,
    "most": CutOptions(
        instances=26, engines=6, rate=80.0, share=0.9, cut=LinkCut.RESET, duration=7.0
    ),
    # Engines were taken for ended: instances that reach other services said that they ended.
    "one service": CutOptions(
        instances=26, rate=120.0, share=0.9, cut=LinkCut.RESET, service="llm", duration=5.0
    ),
}


def make_result(served_at_victim: int, sent: int) -> CutResult:
    result = CutResult(CutOptions(), 1, frozenset({"front-0"}))
    for number in range(sent):
        is_served = number < served_at_victim
        result.tries.append(FirstTry(5.0, "front-0", "read", 0, is_served, ""))
        result.tries.append(FirstTry(5.0, "front-1", "read", 200, True, ""))
    return result


@pytest.mark.parametrize(
    ("served", "sent", "is_broken"),
    [(0, 10, False), (0, 12, True), (60, 100, True), (67, 100, False)],
)
def test_callers_that_are_served_too_seldom_are_found(
    served: int, sent: int, is_broken: bool
) -> None:
    assert bool(make_result(served, sent).find_violations()) is is_broken


# Guards against a search for help among instances that lost their links by the same fault
# (RECOVER).
@pytest.mark.parametrize("name", RUNS)
def test_callers_of_a_group_without_links_to_targets_are_served(name: str, tmp_path: Path) -> None:
    result = asyncio.run(run_cut(1, RUNS[name], tmp_path))
    assert result.find_violations() == [], format_cut(result)
