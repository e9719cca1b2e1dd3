"""Requests to targets that have asked for a pause, on the product's own interface."""

from __future__ import annotations

from rhubarbbend.core import events
from tests.core.fakes import ENGINE, FakeFleet

TARGET = f"{ENGINE}-a"


def make_fleet_after_pause() -> FakeFleet:
    """Return an instance whose only engine has just returned from a pause."""
    fleet = FakeFleet({"a1": "a"})
    fleet.handle("a1", events.TargetPaused(TARGET, 1.0))
    fleet.send("a1", "early", service=ENGINE)
    assert fleet.read_answer("early").code == "targets_paused"
    fleet.advance(1.3)
    return fleet


# Guards against a target that stays blocked because the request that tried it was given up.
def test_a_trial_that_its_caller_gives_up_makes_room_for_the_next() -> None:
    fleet = make_fleet_after_pause()
    fleet.send("a1", "first", service=ENGINE)
    fleet.send("a1", "second", service=ENGINE)
    assert fleet.read_answer("second").code == "targets_paused"
    fleet.handle("a1", events.CallerLeft("first"))
    fleet.send("a1", "third", service=ENGINE)
    assert [run.action.request for run in fleet.runs] == ["first", "third"]
