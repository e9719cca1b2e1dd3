"""Pauses that targets ask for, and how requests return after them."""

from __future__ import annotations

from random import Random

import pytest

from rhubarbbend.core._pauses import (
    MAX_EXTENSION_FRACTION,
    RECORD_TTL_S,
    RECOVERED_AFTER_REQUESTS,
)
from rhubarbbend.core.directory import TargetState
from rhubarbbend.core.placement import PauseTracker, Reason, Rejection
from tests.core.placement.test_placement import ENGINES, FleetView, make_record

TARGET = "engine-0"
LONGEST_S = 3.0 * (1.0 + MAX_EXTENSION_FRACTION)


def make_tracker(duration_s: float = 3.0) -> PauseTracker:
    pauses = PauseTracker()
    pauses.record_pause(TARGET, duration_s, Random(1), 10.0)
    return pauses


def send_until_blocked(pauses: PauseTracker, now: float, limit: int = 100) -> list[str]:
    """Start requests at the target until one is not allowed; return their ids."""
    sent: list[str] = []
    while pauses.may_send(TARGET, now) and len(sent) < limit:
        sent.append(f"{now}-{len(sent)}")
        pauses.record_chosen(TARGET, sent[-1])
    return sent


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_sent_until_the_pause_has_ended(seed: int) -> None:
    pauses = PauseTracker()
    pauses.record_pause(TARGET, 3.0, Random(seed), 10.0)
    assert not pauses.may_send(TARGET, 10.0) and not pauses.may_send(TARGET, 12.999)
    assert 3.0 <= pauses.compute_remaining(TARGET, 10.0) <= LONGEST_S
    assert pauses.may_send(TARGET, 10.0 + LONGEST_S)
    assert pauses.may_send("another", 10.0)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    # Two requests sent together are both rejected, the second with a shorter Retry-After.
    pauses = make_tracker(3.0)
    pauses.record_pause(TARGET, 0.5, Random(1), 10.1)
    assert not pauses.may_send(TARGET, 12.9)


# Guards against all waiting requests reaching a target at the moment when its pause ends.
def test_requests_return_gradually_after_a_pause() -> None:
    pauses = make_tracker()
    now = 10.0 + LONGEST_S
    batches = []
    while len(sent := send_until_blocked(pauses, now)) < 100:
        batches.append(len(sent))
        for request in sent:
            pauses.record_end(TARGET, request, was_accepted=True)
        now += 0.1
    assert batches[:4] == [1, 2, 4, 8] and sum(batches) >= RECOVERED_AFTER_REQUESTS


def test_a_request_that_fails_leaves_the_limit_as_it_is() -> None:
    pauses = make_tracker()
    now = 10.0 + LONGEST_S
    (first,) = send_until_blocked(pauses, now)
    pauses.record_end(TARGET, first, was_accepted=False)
    # A second report of the same request has no effect.
    pauses.record_end(TARGET, first, was_accepted=True)
    assert len(send_until_blocked(pauses, now)) == 1


def test_a_target_that_accepts_nothing_is_free_again_in_the_end() -> None:
    pauses = make_tracker()
    now = 10.0 + LONGEST_S
    send_until_blocked(pauses, now)
    assert not pauses.may_send(TARGET, now + RECORD_TTL_S - LONGEST_S - 1.0)
    assert pauses.may_send(TARGET, now + RECORD_TTL_S)


def test_a_rejection_during_recovery_begins_a_new_pause() -> None:
    pauses = make_tracker()
    now = 10.0 + LONGEST_S
    (first,) = send_until_blocked(pauses, now)
    pauses.record_end(TARGET, first, was_accepted=True)
    late, _ = send_until_blocked(pauses, now)
    pauses.record_pause(TARGET, 3.0, Random(1), now)
    pauses.record_end(TARGET, late, was_accepted=True)
    assert not pauses.may_send(TARGET, now + 2.9)
    assert len(send_until_blocked(pauses, now + LONGEST_S)) == 1


def test_a_paused_home_is_passed_over_and_used_again() -> None:
    view = FleetView()
    view.pauses.record_pause(view.home, 3.0, Random(1), 10.0)
    moved = view.choose(now=10.1)
    assert moved is not None and moved.reason is Reason.MOVED and moved.target.id != view.home
    assert view.placement.compute_pause_left(ENGINES, 10.1) >= 2.9
    back = view.choose(now=10.0 + LONGEST_S)
    assert back is not None and back.target.id == view.home


@pytest.mark.parametrize("is_retry", [False, True])
def test_no_target_is_chosen_while_all_are_paused(is_retry: bool) -> None:
    view = FleetView()
    for engine in view.engines:
        view.pauses.record_pause(engine, 3.0, Random(1), 10.0)
    excluded = {view.engines[0]} if is_retry else set()
    assert view.choose(now=12.9, excluded=excluded) is None
    assert view.placement.last_rejections == {Rejection.PAUSED: 9}


# Guards against forgetting a pause with the registration, which may expire during a store outage.
def test_a_pause_outlasts_the_target_s_registration() -> None:
    view = FleetView()
    view.pauses.record_pause(view.home, 3.0, Random(1), 10.0)
    record = make_record(view.home, "llm", "a")
    target = view.registry.find(view.home)
    assert target is not None and target.state is TargetState.READY
    view.registry.unregister(view.home, 10.5)
    view.placement.record_departure(target, 10.5)
    view.registry.register(record, 11.0)
    choice = view.choose(now=12.0)
    assert choice is not None and choice.target.id != view.home
