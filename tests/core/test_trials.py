"""Tests of trials in the fleet: of requests that crashed several targets together."""

from __future__ import annotations

import pytest

from rhubarbbend.core import events
from rhubarbbend.core.crashes import list_coordinators
from rhubarbbend.core.messages import CrashCount, CrashNotice
from tests.core.fakes import ENGINE, FakeFleet
from tests.core.test_suspects import crash_engine

ZONE_BY_INSTANCE = {"a1": "a", "b1": "b", "c1": "c"}
REFUSAL = "request_crashes_targets"
MAX_WAIT_S = 1.5
BAD = "bad"


def make_fleet() -> FakeFleet:
    """Return a fleet in which all instances know that a request crashed three targets together."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    boots = ("boot-1", "boot-2", "boot-3")
    crashes = [CrashCount(digest=BAD, count=1, last_target=boot, ran=1.0) for boot in boots]
    for instance in ZONE_BY_INSTANCE:
        fleet.handle(instance, events.PeerSaid("b1", CrashNotice(crashes=crashes)))
    return fleet


def send_copies(fleet: FakeFleet) -> None:
    """Send the request to every instance at the same moment."""
    for number, instance in enumerate(ZONE_BY_INSTANCE):
        fleet.send(instance, f"r{number}", body=BAD, service=ENGINE)
    fleet.advance(0.1)


# Guards against copies of a request that each instance tries at the same time, after the targets
# that they crashed together are back.
def test_a_request_that_crashed_targets_together_is_tried_once_in_the_fleet() -> None:
    fleet = make_fleet()
    send_copies(fleet)
    assert len(fleet.runs) == 1
    crash_engine(fleet, fleet.runs[-1])
    fleet.advance(0.5)
    assert not fleet.runs
    assert [fleet.read_answer(f"r{number}").code for number in range(3)] == [REFUSAL] * 3


# Guards against instances that go on trying one after the other what has completed at another one.
def test_a_sound_request_is_sent_everywhere_once_its_trial_has_completed() -> None:
    fleet = make_fleet()
    send_copies(fleet)
    fleet.finish(fleet.runs[0])
    fleet.advance(0.2)
    assert len(fleet.runs) == 2


# Guards against a wait for another trial that lasts until the request's deadline.
def test_a_request_that_waits_too_long_for_a_trial_is_refused_as_not_run() -> None:
    fleet = make_fleet()
    send_copies(fleet)
    tried = fleet.runs[0].action.request
    fleet.advance(MAX_WAIT_S + 0.2)
    waiting = [f"r{number}" for number in range(3) if f"r{number}" != tried]
    answers = [fleet.read_answer(request) for request in waiting]
    assert [(answer.code, answer.verdict) for answer in answers] == [(REFUSAL, "not_run")] * 2


# Guards against requests that are lost as the instance that grants their trials is frozen.
@pytest.mark.parametrize("frozen", [1, 2])
def test_a_trial_does_not_depend_on_one_coordinator(frozen: int) -> None:
    fleet = make_fleet()
    coordinators = list_coordinators(BAD, ZONE_BY_INSTANCE)
    entry = next(name for name in ZONE_BY_INSTANCE if name not in coordinators)
    for name in coordinators[:frozen]:
        fleet.freeze(name)
    fleet.send(entry, "r1", body=BAD, service=ENGINE)
    fleet.advance(1.0)
    assert [run.action.request for run in fleet.runs] == ["r1"]
