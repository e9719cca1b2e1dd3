"""Targets that gave no sign, and that are heard again."""

from __future__ import annotations

from rhubarbbend.core import events
from tests.core.fakes import ENGINE, FakeFleet


def lose_target(fleet: FakeFleet) -> None:
    """Let a request fail at the only target, which then gives no sign to the probe."""
    fleet.send("a1", "first", service=ENGINE)
    fleet.settle()
    fleet.fail(fleet.runs[0], "sent")
    name, probe = fleet.probes.pop()
    fleet.handle(name, events.ProbeAnswered(probe.target, probe.attempt, "", silent=True))


def test_a_target_that_gave_no_sign_gets_no_requests_for_a_while() -> None:
    fleet = FakeFleet({"a1": "a"})
    lose_target(fleet)
    fleet.send("a1", "second", service=ENGINE)
    fleet.settle()
    assert fleet.read_answer("second").code == "no_target"
    assert fleet.counters["unfit.held_down"] == 1


# Guards against refusing requests by evidence that is older than the report of their target.
def test_a_target_is_used_again_as_soon_as_its_report_is_read() -> None:
    fleet = FakeFleet({"a1": "a"})
    lose_target(fleet)
    fleet.advance(0.6)
    fleet.send("a1", "second", service=ENGINE)
    fleet.settle()
    assert [run.action.request for run in fleet.runs] == ["second"]
