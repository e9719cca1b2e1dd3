"""Registrations that lapse, lie, come late or belong to a former start of their target."""

from __future__ import annotations

from rhubarbbend.core.directory import Directory, TargetRecord, TargetState


def make(state: TargetState = TargetState.READY, boot: int = 1, cold: float = 0.0) -> TargetRecord:
    return TargetRecord("t-1", "llm", "10.0.0.1", 8000, "a", 64, state, cold, boot)


def list_ids(directory: Directory, now: float) -> list[str]:
    return [target.id for target in directory.list_service("llm", now)]


def test_a_target_that_leaves_is_not_ready_again_by_a_late_write() -> None:
    # The target says that it drains; a heartbeat it wrote before arrives after that.
    directory = Directory()
    directory.register(make(), 0.0)
    directory.register(make(TargetState.DRAINING), 1.0)
    directory.register(make(), 1.1)
    assert list_ids(directory, 1.2) == []
    # Nor when its entry has been removed in between.
    directory.unregister("t-1", 2.0)
    directory.register(make(), 2.1)
    assert list_ids(directory, 2.2) == []
    # A new start of it under the same id is another target.
    directory.register(make(boot=2), 3.0)
    assert list_ids(directory, 3.1) == ["t-1"]


def test_a_write_of_a_former_start_is_ignored() -> None:
    directory = Directory()
    directory.register(make(boot=5), 0.0)
    directory.register(make(TargetState.DRAINING, boot=4), 1.0)
    assert list_ids(directory, 1.1) == ["t-1"]


def test_an_entry_that_lapsed_with_the_store_is_used_until_it_is_back_or_late() -> None:
    # The store was away, so the target could not renew its entry; the store drops it on its
    # return although the target is well. Without the grace every target would be gone at once.
    directory = Directory()
    directory.register(make(), 0.0)
    directory.note_store_returned(10.0)
    directory.unregister("t-1", 10.1)
    assert list_ids(directory, 11.7) == ["t-1"]
    directory.register(make(), 11.8)
    assert directory.drop_gone(20.0) == []
    directory.note_store_returned(30.0)
    directory.unregister("t-1", 30.1)
    assert list_ids(directory, 32.4) == []
    assert [target.id for target in directory.drop_gone(32.4)] == ["t-1"]


def test_a_target_that_leaves_right_after_the_store_s_return_is_gone_in_time() -> None:
    # An instance is cut off from the store for a while. A second after its return a target leaves
    # and its entry goes, which looks like a lapse. It may get work for two seconds at the most.
    directory = Directory()
    directory.register(make(), 0.0)
    directory.note_store_returned(14.1)
    directory.unregister("t-1", 15.0)
    assert list_ids(directory, 16.4) == []
    # Right at the return as well.
    directory.register(make(boot=2), 20.0)
    directory.note_store_returned(20.0)
    directory.unregister("t-1", 20.0)
    assert list_ids(directory, 21.6) == ["t-1"]
    assert list_ids(directory, 21.8) == []


def test_an_entry_that_is_removed_while_the_store_is_well_is_gone_at_once() -> None:
    directory = Directory()
    directory.register(make(), 0.0)
    directory.unregister("t-1", 10.0)
    assert list_ids(directory, 10.0) == []


def test_a_zone_gets_nothing_while_it_is_out_and_little_right_after() -> None:
    directory = Directory()
    directory.register(make(), 0.0)
    directory.take_zone_out("a", 1.0)
    assert list_ids(directory, 1.0) == []
    directory.take_zone_in("a", 5.0)
    assert list_ids(directory, 5.0) == ["t-1"]
    target = directory.find("t-1")
    assert target is not None
    assert target.is_cold(5.1) and not target.is_cold(8.0)


def test_a_target_changes_its_service_and_address_with_its_entry() -> None:
    directory = Directory()
    directory.register(make(), 0.0)
    moved = TargetRecord("t-1", "other", "10.0.0.2", 8001, "b", 6, TargetState.READY, 0.0, 1)
    directory.register(moved, 1.0)
    assert list_ids(directory, 1.0) == []
    target = directory.list_service("other", 1.0)[0]
    assert (target.address, target.zone, target.slots) == (("10.0.0.2", 8001), "b", 6)
