"""The limits on connections to targets that reset new ones, and the choice of targets by them."""

from __future__ import annotations

import hashlib
import math
from random import Random

import pytest

from rhubarbbend.core.placement import (
    ConnectionLimitTracker,
    FullTargetNotice,
    Placement,
    PlacementOptions,
    Prompt,
    PromptPart,
    Rejection,
)
from rhubarbbend.core.placement._connection_limits import (
    CHECK_LIFETIME_S,
    CHECK_S,
    LIMIT_LIFETIME_S,
    MAX_CHECK_S,
    REPEAT_INTERVAL_S,
)
from tests.core.placement.test_placement import BOOKINGS, ENGINES, INSTANCES, FleetView

TARGETS = ["plain-a", "plain-b", "plain-c"]
# The choices of `play_events` on 4a2829a, before limits were learned.
CHOICES_BEFORE = "0b8b550da6a79f13"


def make_full_tracker(serving: int = 2, now: float = 10.0) -> ConnectionLimitTracker:
    tracker = ConnectionLimitTracker()
    tracker.record_reset("bookings", "plain-a", serving, now)
    return tracker


def make_view(tracker: ConnectionLimitTracker) -> FleetView:
    view = FleetView()
    view.placement = Placement(
        PlacementOptions("a", 2.0),
        view.registry,
        view.loads,
        view.health,
        view.cold,
        view.pauses,
        view.brittle,
        tracker,
    )
    return view


def play_events(view: FleetView) -> str:
    """Return a digest of the choices among random requests, failures and departures."""
    random = Random(11)
    running: list[str] = []
    choices = hashlib.blake2b(digest_size=8)
    for number in range(2_000):
        now = 10.0 + 0.02 * number
        prompt = Prompt((PromptPart(f"chat-{random.randrange(40)}", 2_000), PromptPart("own", 9)))
        is_plain = random.random() < 0.4
        service, asked = (BOOKINGS, None) if is_plain else (ENGINES, prompt)
        excluded = {random.choice(TARGETS)} if random.random() < 0.2 else set()
        choice = view.placement.choose(service, asked, excluded, INSTANCES, random, now)
        rejections = sorted(reason.value for reason in view.placement.last_rejections)
        choices.update(f"{choice and (choice.target.id, choice.reason)} {rejections}\n".encode())
        if choice is not None:
            view.loads.record_start(choice.target.id)
            view.placement.record_sent(choice, asked, now, now)
            running.append(choice.target.id)
            view.health.record_response(choice.target.id, random.random() < 0.1, now)
            if random.random() < 0.02:
                view.health.record_unreachable(choice.target.id, now)
        while running and random.random() < 0.55:
            view.loads.record_end(running.pop(random.randrange(len(running))))
    return choices.hexdigest()


# Guards against a change of placement where no target resets connections.
def test_without_resets_the_same_events_give_the_same_choices_as_before() -> None:
    tracker = ConnectionLimitTracker()
    assert play_events(make_view(tracker)) == CHOICES_BEFORE
    assert not tracker.needs_check("bookings", "plain-a", False, 10.0)
    assert tracker.pop_unsent(10.0) == []


# Guards against a limit that stays where it was once the target has room again.
def test_a_limit_is_raised_step_by_step_and_expires() -> None:
    tracker = make_full_tracker(serving=2)
    ages = (0.0, 0.24, 0.26, 1.1, LIMIT_LIFETIME_S - 0.1)
    assert [tracker.find_limit("plain-a", 10.0 + age) for age in ages] == [2, 2, 3, 6, 13]
    assert tracker.find_limit("plain-a", 10.0 + LIMIT_LIFETIME_S) is None
    assert tracker.find_limit("plain-b", 10.0) is None
    tracker.record_reset("bookings", "plain-a", 4, 12.0)
    assert tracker.find_limit("plain-a", 12.0) == 4


# Guards against new connections to a target that resets them, and against refusals beside room.
def test_a_target_at_its_limit_is_passed_over_until_a_connection_is_free() -> None:
    tracker = make_full_tracker(serving=1)
    view = make_view(tracker)
    view.start_requests("plain-a", 1)
    view.start_requests("plain-b", 3)
    view.start_requests("plain-c", 3)
    choice = view.choose(prompt=None)
    assert choice is not None and choice.target.id != "plain-a"
    assert view.placement.last_rejections == {Rejection.FULL: 1}
    view.loads.record_end("plain-a")
    choice = view.choose(prompt=None)
    assert choice is not None and choice.target.id == "plain-a"
    for target in TARGETS:
        tracker.record_reset("bookings", target, 0, 10.0)
    assert view.choose(prompt=None) is None
    assert view.placement.last_rejections == {Rejection.FULL: 3}


# Guards against commands that are lost at the other targets, which fill up at nearly the same time.
def test_commands_are_checked_at_all_targets_of_the_service_for_longer_than_others() -> None:
    tracker = make_full_tracker()
    assert tracker.needs_check("bookings", "plain-a", True, 10.1)
    assert not tracker.needs_check("bookings", "plain-b", True, 10.1)
    assert tracker.needs_check("bookings", "plain-b", False, 10.1)
    assert not tracker.needs_check("llm", "engine-0", False, 10.1)
    late = 10.0 + LIMIT_LIFETIME_S
    assert not tracker.needs_check("bookings", "plain-a", True, late)
    assert tracker.needs_check("bookings", "plain-a", False, late)
    assert not tracker.needs_check("bookings", "plain-a", False, 10.0 + CHECK_LIFETIME_S)
    tracker.expire(10.0 + CHECK_LIFETIME_S)
    assert tracker._targets == {}


# Guards against a second command that is lost like the first one, and against a limit for a target
# that may have ended.
def test_after_a_reset_of_unknown_reason_only_commands_are_checked() -> None:
    tracker = ConnectionLimitTracker()
    tracker.record_doubt("bookings", 10.0)
    assert tracker.needs_check("bookings", "plain-a", False, 10.1)
    assert not tracker.needs_check("bookings", "plain-a", True, 10.1)
    assert not tracker.needs_check("llm", "engine-0", False, 10.1)
    assert not tracker.needs_check("bookings", "plain-a", False, 10.0 + CHECK_LIFETIME_S)
    assert tracker.find_limit("plain-a", 10.1) is None and tracker.list_full(10.1) == []
    assert tracker.pop_unsent(10.1) == []


# Guards against commands written to a target that is so busy that it resets connections late.
def test_checks_take_longer_where_resets_came_late() -> None:
    tracker = ConnectionLimitTracker()
    for age, check in [(0.001, CHECK_S), (0.012, 0.024), (0.008, 0.024), (0.2, MAX_CHECK_S)]:
        tracker.record_reset_age("bookings", age, 10.0)
        assert tracker.compute_check("bookings", 10.1) == check
    assert tracker.compute_check("llm", 10.1) == CHECK_S
    assert tracker.compute_check("bookings", 10.0 + CHECK_LIFETIME_S) == CHECK_S


# Guards against instances without a connection that may open none because others have some.
def test_news_says_that_a_target_is_full_and_sets_no_limit() -> None:
    tracker = ConnectionLimitTracker()
    found: list[str] = []
    tracker.on_full = lambda: found.extend(tracker.list_full(20.0))
    notice = FullTargetNotice("bookings", "plain-a", 0.5).add_age(0.5)
    assert tracker.merge_notices([notice], 20.0) == 0
    assert found == ["plain-a"] and tracker.find_limit("plain-a", 20.0) is None
    assert tracker.was_full("plain-a", 21.9) and not tracker.was_full("plain-a", 22.1)
    tracker.merge_notices([FullTargetNotice("bookings", "plain-b", CHECK_LIFETIME_S)], 20.0)
    assert not tracker.needs_check("bookings", "plain-b", True, 20.0)


@pytest.mark.parametrize("age", [-1.0, math.nan, -math.inf])
def test_news_with_an_impossible_age_changes_nothing_and_is_counted(age: float) -> None:
    tracker = ConnectionLimitTracker()
    assert tracker.merge_notices([FullTargetNotice("bookings", "plain-a", age)], 20.0) == 1
    assert not tracker.needs_check("bookings", "plain-a", False, 20.0)


# Guards against a message for each reset connection from each of many instances.
def test_others_are_told_once_a_second_whoever_tells_them() -> None:
    tracker = make_full_tracker(now=10.0)
    tracker.record_reset("bookings", "plain-a", 1, 10.2)
    assert tracker.pop_unsent(10.3) == [FullTargetNotice("bookings", "plain-a", pytest.approx(0.1))]
    tracker.record_reset("bookings", "plain-a", 1, 10.4)
    assert tracker.pop_unsent(10.4) == []
    tracker.merge_notices([FullTargetNotice("bookings", "plain-a")], 10.9)
    tracker.record_reset("bookings", "plain-a", 1, 10.0 + REPEAT_INTERVAL_S)
    assert tracker.pop_unsent(11.1) == []
    tracker.record_reset("bookings", "plain-a", 1, 10.9 + REPEAT_INTERVAL_S)
    assert len(tracker.pop_unsent(12.0)) == 1


def test_a_target_that_has_left_has_no_limit() -> None:
    tracker = make_full_tracker()
    view = make_view(tracker)
    target = view.registry.find("plain-a")
    assert target is not None
    view.placement.record_departure(target, 10.0)
    assert tracker.find_limit("plain-a", 10.0) is None
    assert tracker.pop_unsent(10.0) == []


# Guards against a command lost at each instance before it has met a late reset itself.
def test_a_longer_check_is_told_to_the_other_instances() -> None:
    met, told = ConnectionLimitTracker(), ConnectionLimitTracker()
    met.record_reset_age("bookings", 0.03, 10.0)
    met.record_reset("bookings", "plain-a", 1, 10.0)
    assert told.merge_notices(met.pop_unsent(10.0), 10.1) == 0
    assert told.compute_check("bookings", 10.1) == met.compute_check("bookings", 10.1) == 0.06
    invalid = [FullTargetNotice("bookings", "plain-a", 0.0, check) for check in (-1.0, math.nan)]
    assert (
        told.merge_notices([*invalid, FullTargetNotice("bookings", "plain-a", 0.0, 9.0)], 10.1) == 2
    )
    assert told.compute_check("bookings", 10.1) == MAX_CHECK_S


# Guards against long checks that never end, since instances tell each other of them in turn.
def test_a_longer_check_that_was_told_is_not_passed_on() -> None:
    met, told = ConnectionLimitTracker(), ConnectionLimitTracker()
    met.record_reset_age("bookings", 0.03, 10.0)
    met.record_reset("bookings", "plain-a", 1, 10.0)
    told.merge_notices(met.pop_unsent(10.0), 10.0)
    told.record_reset("bookings", "plain-a", 1, 20.0)
    assert [notice.check for notice in told.pop_unsent(20.0)] == [0.0]
