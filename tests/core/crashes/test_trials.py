"""Tests of trials, of which each cause of crashes has one at a time."""

from __future__ import annotations

from rhubarbbend.core.crashes import TrialTable, list_coordinators

LEASE_S = 5.0
AFTER_LOSS_S = 1.5


# Guards against several instances that try a request at the same time after its targets are back.
def test_one_instance_at_a_time_tries_a_cause() -> None:
    table = TrialTable()
    assert table.request("x", "front-1", 0.0) == 0.0
    assert table.request("x", "front-2", 0.1) == LEASE_S - 0.1
    assert table.request("y", "front-2", 0.1) == 0.0
    table.record_end("x", "front-2", False, 0.2)
    assert table.request("x", "front-2", 0.2) > 0.0
    table.record_end("x", "front-1", False, 0.3)
    assert table.request("x", "front-2", 0.3) == 0.0


# Guards against a trial whose reply was lost, and that then keeps out the instance that has it.
def test_an_instance_that_asks_again_keeps_its_trial() -> None:
    table = TrialTable()
    assert table.request("x", "front-1", 0.0) == 0.0
    assert table.request("x", "front-1", 0.5) == 0.0


# Guards against a next trial before it is known that the one before has crashed its target.
def test_after_a_loss_no_trial_begins_until_its_fate_is_known() -> None:
    table = TrialTable()
    assert table.request("x", "front-1", 0.0) == 0.0
    table.record_end("x", "front-1", True, 0.1)
    assert table.request("x", "front-1", 0.2) > 0.0
    assert table.request("x", "front-2", 0.1 + AFTER_LOSS_S) == 0.0


# Guards against an instance that ends while it has a trial.
def test_a_trial_whose_end_is_not_told_ends_by_itself() -> None:
    table = TrialTable()
    assert table.request("x", "front-1", 0.0) == 0.0
    assert table.request("x", "front-2", LEASE_S) == 0.0


def test_all_instances_ask_the_same_coordinators() -> None:
    names = [f"front-{number}" for number in range(8)]
    first = list_coordinators("x", names)
    assert len(first) == 2
    assert list_coordinators("x", reversed(names)) == first
    assert list_coordinators("x", ["front-1"]) == ["front-1"]
