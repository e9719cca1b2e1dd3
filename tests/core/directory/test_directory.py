"""Target registrations that expire, arrive late or belong to an earlier start of the target."""

from __future__ import annotations

from rhubarbbend.core.directory import TargetRecord, TargetRegistry, TargetState


def make_record(
    state: TargetState = TargetState.READY, boot: int = 1, cold: float = 0.0
) -> TargetRecord:
    return TargetRecord("t-1", "llm", "10.0.0.1", 8000, "a", 64, state, cold, boot)


def list_available_ids(directory: TargetRegistry, now: float) -> list[str]:
    return [target.id for target in directory.list_available("llm", now)]


def test_late_write_does_not_make_a_draining_target_ready_again() -> None:
    # A registration that the target wrote before it started to drain arrives after the one that
    # says that it drains.
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.register(make_record(TargetState.DRAINING), 1.0)
    directory.register(make_record(), 1.1)
    assert list_available_ids(directory, 1.2) == []
    # The same holds when the registration has been removed in between.
    directory.unregister("t-1", 2.0)
    directory.register(make_record(), 2.1)
    assert list_available_ids(directory, 2.2) == []
    # A new start under the same id counts as another target.
    directory.register(make_record(boot=2), 3.0)
    assert list_available_ids(directory, 3.1) == ["t-1"]


def test_write_of_an_earlier_start_is_ignored() -> None:
    directory = TargetRegistry()
    directory.register(make_record(boot=5), 0.0)
    directory.register(make_record(TargetState.DRAINING, boot=4), 1.0)
    assert list_available_ids(directory, 1.1) == ["t-1"]


def test_target_expired_in_a_store_outage_is_used_until_the_window_ends() -> None:
    # During a store outage the target cannot renew its registration, and the store drops it on
    # recovery although the target is healthy. Without the grace period every target would be
    # removed at once.
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.record_store_recovery(10.0)
    directory.unregister("t-1", 10.1)
    assert list_available_ids(directory, 11.7) == ["t-1"]
    directory.register(make_record(), 11.8)
    assert directory.expire_unregistered(20.0) == []
    directory.record_store_recovery(30.0)
    directory.unregister("t-1", 30.1)
    assert list_available_ids(directory, 32.4) == []
    assert [target.id for target in directory.expire_unregistered(32.4)] == ["t-1"]


def test_target_that_leaves_right_after_store_recovery_is_removed_in_time() -> None:
    # An instance loses its connection to the store for a while. A second after the recovery a
    # target leaves and its registration is removed, which looks like an expired one. The target
    # may receive requests for at most two seconds more.
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.record_store_recovery(14.1)
    directory.unregister("t-1", 15.0)
    assert list_available_ids(directory, 16.4) == []
    # The same holds for a target that leaves at the moment of the recovery.
    directory.register(make_record(boot=2), 20.0)
    directory.record_store_recovery(20.0)
    directory.unregister("t-1", 20.0)
    assert list_available_ids(directory, 21.6) == ["t-1"]
    assert list_available_ids(directory, 21.8) == []


def test_unregistered_target_is_removed_at_once_while_the_store_answers() -> None:
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.unregister("t-1", 10.0)
    assert list_available_ids(directory, 10.0) == []


def test_zone_gets_no_requests_while_out_of_service_and_is_cold_after() -> None:
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.take_zone_out_of_service("a", 1.0)
    assert list_available_ids(directory, 1.0) == []
    directory.return_zone_to_service("a", 5.0)
    assert list_available_ids(directory, 5.0) == ["t-1"]
    target = directory.find("t-1")
    assert target is not None
    assert target.is_cold(5.1) and not target.is_cold(8.0)


def test_registration_updates_service_address_zone_and_slots() -> None:
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    moved = TargetRecord("t-1", "other", "10.0.0.2", 8001, "b", 6, TargetState.READY, 0.0, 1)
    directory.register(moved, 1.0)
    assert list_available_ids(directory, 1.0) == []
    target = directory.list_available("other", 1.0)[0]
    assert (target.address, target.zone, target.slots) == (("10.0.0.2", 8001), "b", 6)


def test_target_that_says_it_leaves_is_not_ready_until_its_next_start() -> None:
    # The answer may arrive after the registration has expired, has come back, or belongs to a new
    # start; an answer of an earlier start says nothing about the new one.
    directory = TargetRegistry()
    first = directory.register(make_record(), 0.0)
    assert directory.record_leaving(first) and not directory.record_leaving(first)
    directory.register(make_record(), 1.0)
    assert list_available_ids(directory, 1.0) == []
    second = directory.register(make_record(boot=2), 2.0)
    directory.record_leaving(first)
    assert list_available_ids(directory, 2.0) == ["t-1"]
    directory.unregister("t-1", 3.0)
    assert directory.record_leaving(second)
    directory.register(make_record(boot=2), 4.0)
    assert list_available_ids(directory, 4.0) == []


def test_answer_of_a_request_from_before_the_registration_came_back_counts() -> None:
    directory = TargetRegistry()
    chosen = directory.register(make_record(), 0.0)
    directory.unregister("t-1", 1.0)
    directory.register(make_record(), 2.0)
    assert directory.record_leaving(chosen)
    assert list_available_ids(directory, 2.0) == []


def register_version(directory: TargetRegistry, target: str, version: str, now: float) -> None:
    record = TargetRecord(
        target, "llm", "10.0.0.1", 8000, "a", 64, TargetState.READY, 0.0, 1, version
    )
    directory.register(record, now)


# Guards against a stream that goes on at the version that is left, shortly after its own has gone.
def test_version_counts_as_present_for_a_time_after_its_last_target() -> None:
    directory = TargetRegistry()
    register_version(directory, "t-1", "v1", 0.0)
    assert directory.list_versions_since("llm", 20.0, 1.0) == {"v1"}
    register_version(directory, "t-2", "v2", 10.0)
    assert directory.list_versions_since("llm", 20.0, 11.0) == {"v1", "v2"}
    directory.unregister("t-1", 12.0)
    assert directory.list_versions_since("llm", 20.0, 32.0) == {"v1", "v2"}
    assert directory.list_versions_since("llm", 20.0, 32.1) == {"v2"}
    assert directory.list_versions_since("another", 20.0, 40.0) == set()
    assert directory.list_versions() == {"llm": ["v2"]}


def test_target_that_changes_its_version_leaves_the_old_one() -> None:
    directory = TargetRegistry()
    register_version(directory, "t-1", "v1", 0.0)
    register_version(directory, "t-1", "v2", 5.0)
    assert directory.list_versions_since("llm", 20.0, 6.0) == {"v1", "v2"}
    assert directory.list_versions_since("llm", 20.0, 25.1) == {"v2"}


# Guards against an instance that was paused and takes what it knows for all that has happened.
def test_registrations_are_followed_from_the_first_reading_or_the_last_gap_on() -> None:
    directory = TargetRegistry()
    assert not directory.has_followed(20.0, 100.0)
    directory.mark_initial_read_complete(10.0)
    directory.mark_initial_read_complete(29.0)
    assert not directory.has_followed(20.0, 29.9) and directory.has_followed(20.0, 30.0)
    directory.record_gap(40.0)
    directory.mark_initial_read_complete(41.0)
    assert not directory.has_followed(20.0, 59.0) and directory.has_followed(20.0, 60.0)


# Guards against an instance that takes a version off the record, whose streams are still open: the
# version came and went while the store was out of the instance's reach.
def test_registrations_were_not_followed_during_an_outage_of_the_store() -> None:
    directory = TargetRegistry()
    directory.record_store_recovery(5.0)
    assert not directory.has_followed(20.0, 100.0)
    directory.mark_initial_read_complete(10.0)
    directory.record_store_recovery(40.0)
    assert not directory.has_followed(20.0, 59.0) and directory.has_followed(20.0, 60.0)


# Guards against a target that gets nothing since another writer has replaced its entry, and against
# one that gets requests for good after that.
def test_target_with_an_unreadable_registration_is_used_for_a_moment() -> None:
    directory = TargetRegistry()
    directory.register(make_record(), 0.0)
    directory.record_unreadable("t-1", 10.0)
    directory.record_unreadable("t-1", 11.0)
    assert directory.list_available("llm", 11.6)
    directory.register(make_record(), 11.6)
    assert not directory.expire_unregistered(20.0)
    directory.record_unreadable("t-1", 20.0)
    assert not directory.list_available("llm", 21.8)
    assert [target.id for target in directory.expire_unregistered(21.8)] == ["t-1"]
    directory.register(make_record(boot=2, state=TargetState.DRAINING), 30.0)
    directory.record_unreadable("t-1", 30.1)
    assert directory.find("t-1") is None
