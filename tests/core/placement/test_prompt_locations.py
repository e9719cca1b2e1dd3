"""The targets that prompts were sent to, by this instance and by other instances."""

from __future__ import annotations

from rhubarbbend.core.placement import PromptLocation, PromptLocationTracker


def list_target_ids(tracker: PromptLocationTracker, key: str, now: float) -> list[str]:
    return [target for target, _ in tracker.list_targets(key, now)]


def test_latest_target_comes_first_and_the_one_before_is_kept() -> None:
    # When the latest target crashes, the one before still has the prompt cached.
    tracker = PromptLocationTracker()
    tracker.record_sent("chat", "a", False, 1.0)
    tracker.record_sent("chat", "b", True, 2.0)
    assert list_target_ids(tracker, "chat", 3.0) == ["b", "a"]
    tracker.record_sent("chat", "a", False, 4.0)
    assert list_target_ids(tracker, "chat", 5.0) == ["a", "b"]


def test_received_locations_are_ordered_by_age_and_not_by_arrival() -> None:
    tracker = PromptLocationTracker()
    tracker.record_sent("chat", "a", False, 10.0)
    tracker.merge_locations([PromptLocation("chat", "b", 5.0)], 11.0)
    assert list_target_ids(tracker, "chat", 11.0) == ["a", "b"]
    tracker.merge_locations([PromptLocation("chat", "c", 0.1)], 11.0)
    assert list_target_ids(tracker, "chat", 11.0) == ["c", "a", "b"]


def test_pending_locations_are_returned_once_with_the_latest_target() -> None:
    notified: list[int] = []
    tracker = PromptLocationTracker()
    tracker.on_update = lambda: notified.append(1)
    tracker.record_sent("chat", "home", False, 0.0)
    assert tracker.pop_updates(0.0) == [] and notified == []
    tracker.record_sent("chat", "a", True, 1.0)
    tracker.record_sent("chat", "b", True, 1.5)
    assert tracker.pop_updates(2.0) == [PromptLocation("chat", "b", 0.5)] and len(notified) == 2
    assert tracker.pop_updates(2.0) == []


def test_locations_expire_and_recent_ones_are_listed() -> None:
    # The recent locations are sent to an instance that has just joined.
    tracker = PromptLocationTracker()
    tracker.record_sent("old", "a", False, 0.0)
    tracker.record_sent("new", "b", False, 50.0)
    assert list_target_ids(tracker, "old", 70.0) == []
    assert tracker.list_recent(70.0) == [PromptLocation("new", "b", 20.0)]


def test_number_of_prompts_is_bounded() -> None:
    tracker = PromptLocationTracker()
    for number in range(10_000):
        tracker.record_sent(f"chat-{number}", "a", False, 1.0)
    assert len(tracker.list_recent(1.0)) == 4_096
    assert list_target_ids(tracker, "chat-0", 1.0) == []
