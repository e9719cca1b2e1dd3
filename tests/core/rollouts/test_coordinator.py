"""The course of a roll-out: when it shifts, succeeds or is rolled back."""

from __future__ import annotations

import pytest

from rhubarbbend.core.rollouts import (
    Evidence,
    ExposureOptions,
    Outcome,
    RolloutCoordinator,
    RolloutOrder,
    RolloutPhase,
    TargetCounts,
    name_target,
)

OPTIONS = ExposureOptions(0.1, 50.0)
ENOUGH = TargetCounts(6, 6)
INSTANCES = 4


def make_evidence(failing: bool = False) -> Evidence:
    evidence = Evidence()
    for number in range(200):
        evidence.record_request("read", False)
        evidence.record_stable("read", False, Outcome(False, 0.8, {}))
        if number < 30:
            target = name_target("ab"[number % 2], f"new-{number % 2}")
            evidence.record_candidate("read", False, target, Outcome(failing, 0.8, {}))
    return evidence


def make_coordinator(
    duration_s: float = 12.0, failing: bool = False, senders: int = INSTANCES
) -> RolloutCoordinator:
    coordinator = RolloutCoordinator(RolloutOrder("llm", "v2", duration_s, 7), OPTIONS, 100.0)
    for number in range(senders):
        coordinator.record_evidence(f"front-{number}", 1, make_evidence(failing), 111.0)
    return coordinator


@pytest.mark.parametrize(
    ("age_s", "phase"),
    [
        (1.0, RolloutPhase.RUNNING),
        (9.0, RolloutPhase.RUNNING),
        (11.4, RolloutPhase.SHIFTING),
        (11.8, RolloutPhase.SUCCEEDED),
    ],
)
def test_course_of_a_good_version(age_s: float, phase: RolloutPhase) -> None:
    ruling = make_coordinator().decide(ENOUGH, INSTANCES, 100.0 + age_s)
    assert ruling.phase is phase


def test_bad_version_is_rolled_back_at_once_and_for_good() -> None:
    coordinator = make_coordinator(failing=True)
    ruling = coordinator.decide(ENOUGH, INSTANCES, 102.0)
    assert ruling.phase is RolloutPhase.ROLLED_BACK
    assert "failures on route read" in ruling.reason
    for number in range(INSTANCES):
        coordinator.record_evidence(f"front-{number}", 2, Evidence(), 111.9)
    assert coordinator.decide(ENOUGH, INSTANCES, 111.9).phase is RolloutPhase.ROLLED_BACK


@pytest.mark.parametrize(
    ("duration_s", "senders", "targets", "age_s", "phase"),
    [
        # Too short for a verdict.
        (1.0, INSTANCES, ENOUGH, 0.1, RolloutPhase.ROLLED_BACK),
        # The new targets are missing, or too few to take over.
        (12.0, INSTANCES, TargetCounts(6, 0), 11.8, RolloutPhase.ROLLED_BACK),
        (12.0, INSTANCES, TargetCounts(6, 2), 11.8, RolloutPhase.ROLLED_BACK),
        # Partitioned from most instances: wait for them until the deadline.
        (12.0, 1, ENOUGH, 11.8, RolloutPhase.SHIFTING),
        (12.0, 1, ENOUGH, 12.1, RolloutPhase.ROLLED_BACK),
    ],
)
def test_rollouts_that_cannot_succeed(
    duration_s: float, senders: int, targets: TargetCounts, age_s: float, phase: RolloutPhase
) -> None:
    coordinator = make_coordinator(duration_s, senders=senders)
    assert coordinator.decide(targets, INSTANCES, 100.0 + age_s).phase is phase


def test_repeated_and_late_reports_change_nothing() -> None:
    """Reports are cumulative. One that is delivered twice, or after a later one, is not added."""
    coordinator = make_coordinator(senders=1)
    coordinator.record_evidence("front-0", 1, make_evidence(), 111.0)
    coordinator.record_evidence("front-0", 0, make_evidence(True), 111.0)
    route = coordinator.add_up_evidence().routes["read"]
    assert route.requests == 200
    assert all(outcomes.failures == 0 for outcomes in route.candidate.values())


def test_order_is_as_old_as_the_instance_that_saw_it_first_knows() -> None:
    """A coordinator that has just started would let the deadline pass."""
    coordinator = make_coordinator()
    coordinator.record_age(11.0, 101.0)
    assert coordinator.decide(ENOUGH, INSTANCES, 101.8).phase is RolloutPhase.SUCCEEDED


def test_version_that_turns_bad_late_is_found_out() -> None:
    """1,000 good answers must not hide that of the last twenty most have failed."""
    coordinator = make_coordinator(senders=0)
    evidence = Evidence()
    for number in range(1_000):
        evidence.record_stable("read", False, Outcome(False, 0.8, {}))
        target = name_target("ab"[number % 2], f"new-{number % 2}")
        evidence.record_candidate("read", False, target, Outcome(False, 0.8, {}))
    coordinator.record_evidence("front-0", 1, evidence, 104.0)
    assert coordinator.decide(ENOUGH, INSTANCES, 104.0).phase is RolloutPhase.RUNNING
    for number in range(20):
        target = name_target("ab"[number % 2], f"new-{number % 2}")
        evidence.record_candidate("read", False, target, Outcome(number < 14, 0.8, {}))
        evidence.record_stable("read", False, Outcome(False, 0.8, {}))
    coordinator.record_evidence("front-0", 2, evidence, 105.0)
    assert coordinator.decide(ENOUGH, INSTANCES, 105.0).phase is RolloutPhase.ROLLED_BACK


def test_verdict_of_a_former_coordinator_stays() -> None:
    """A coordinator finds a version bad, cannot record that as the store is away, and dies.

    Its successor adds up the same counts, but has not seen that the last of them were bad. If it
    went on to the success, all requests would move to the bad version.
    """
    coordinator = make_coordinator()
    coordinator.record_former_stop()
    assert coordinator.decide(ENOUGH, INSTANCES, 111.8).phase is RolloutPhase.ROLLED_BACK
