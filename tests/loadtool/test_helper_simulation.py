"""Plays of instances that look for help while they reach no target, in every form of a cut."""

from __future__ import annotations

from typing import Any

import pytest

from loadtool._helper_simulation import HelperSimulation, Result, Setup
from rhubarbbend.core.detours._helpers import MAX_DECLINES_PER_S

# The users judge what callers get from this second of a cut on.
CONTACT_S = 3
LARGE = {"instances": 400, "zones": 5, "duration": 4.5}
CUTS: dict[str, dict[str, Any]] = {
    "a zone of 17": {"zones_cut": 1},
    "a zone of 80": {**LARGE, "zones_cut": 1},
    "all zones but one": {"zones_cut": 3},
    "all zones but one of 80": {**LARGE, "zones_cut": 4},
    "half": {"share": 0.5},
    "nine in ten": {"share": 0.9},
    "all but one": {"share": 1.0},
    "19 in 20 of 400": {**LARGE, "share": 0.95},
}


def play(way: str, seed: int, **changes: Any) -> Result:
    return HelperSimulation(way, Setup(**changes), seed).run()


# Guards against a search whose end depends on how many lost their links by the same fault
# (RECOVER).
@pytest.mark.parametrize("rate", [0.2, 5.0])
@pytest.mark.parametrize("cut", CUTS)
def test_all_are_served_from_contact_on_whoever_is_cut_off(cut: str, rate: float) -> None:
    results = [play("told", seed, rate=rate, **CUTS[cut]) for seed in range(2)]
    assert [result.count_failed(CONTACT_S)[0] for result in results] == [0, 0]


# Guards against requests that are sent round the fleet while each instance finds out for itself.
# All 64 together ask no more than each may in one second.
def test_an_instance_is_asked_in_vain_a_bounded_number_of_times() -> None:
    result = play("told", 1, rate=5.0, share=0.95)
    former = play("own zone", 1, rate=5.0, share=0.95)
    assert result.asks_in_vain < MAX_DECLINES_PER_S * 64
    assert result.asks_in_vain < former.asks_in_vain / 4


# The simulation is only worth something if the former search fails in it as it did for the users.
def test_the_former_search_stays_in_its_own_zone() -> None:
    failed, sent = play("own zone", 1, rate=5.0, zones_cut=1).count_failed(CONTACT_S)
    assert failed > 0.9 * sent
