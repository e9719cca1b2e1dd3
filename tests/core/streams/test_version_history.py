"""Which versions may have begun a stream that nobody knows."""

from __future__ import annotations

from rhubarbbend.core.streams import (
    UNKNOWN_VERSION,
    VersionHistory,
    VersionRecord,
    extend_record,
    reduce_record,
)

SERVICE = "llm"
INSTANCES = ("front-0", "front-1", "front-2")


def make_history(*versions: str) -> VersionHistory:
    history = VersionHistory("front-0")
    history.record_table({SERVICE: VersionRecord(versions)})
    return history


def find_only(history: VersionHistory, seen: set[str]) -> str | None:
    return history.find_only_version(SERVICE, seen, is_first_start=False)


# Guards against a stream that goes on at the version that is left, at an instance that started
# after the targets of the version that began it had gone.
def test_version_is_the_only_one_if_neither_the_record_nor_this_instance_knows_another() -> None:
    assert find_only(make_history("v1"), {"v1"}) == "v1"
    assert find_only(make_history("v1", "v2"), {"v2"}) is None
    assert find_only(make_history("v1"), {"v2"}) is None
    assert find_only(make_history("v1"), {"v1", "v2"}) is None
    assert find_only(make_history("v1"), set()) == "v1"


# Guards against a missing record that is taken for a record of no other version, and against the
# refusal of streams in the first moments of a system, before its versions are recorded.
def test_without_a_record_nothing_served_before_only_if_the_system_has_just_begun() -> None:
    history = VersionHistory("front-0")
    assert history.find_only_version(SERVICE, {"v1"}, is_first_start=True) is None
    history.record_table({})
    assert find_only(history, {"v1"}) is None
    assert history.find_only_version(SERVICE, {"v1"}, is_first_start=True) == "v1"
    history.record_table({SERVICE: VersionRecord(("v1", "v2"))})
    assert history.find_only_version(SERVICE, {"v1"}, is_first_start=True) is None
    history.forget()
    assert history.find_only_version(SERVICE, {"v1"}, is_first_start=True) is None
    assert find_only(history, {"v1"}) is None


# Guards against a write by each of many instances for each new version.
def test_instances_record_a_missing_version_one_after_the_other() -> None:
    registered = {SERVICE: ["v1", "v2"]}
    due_at = []
    for name in INSTANCES:
        history = VersionHistory(name)
        history.record_row(SERVICE, VersionRecord(("v1",)))
        times = (10.0, 10.6, 11.1)
        due_at.append([t for t in times if history.list_missing(registered, INSTANCES, t)][0])
    assert sorted(due_at) == [10.0, 10.6, 11.1]


def test_recorded_versions_are_not_missing() -> None:
    history = make_history("v1", "v2")
    assert history.list_missing({SERVICE: ["v1", "v2"]}, INSTANCES, 10.0) == []


# Guards against a record that begins in the middle of a system's life and tells of no version of
# before, while streams of it are open.
def test_record_that_begins_late_holds_an_unknown_version() -> None:
    late = extend_record(None, ["v2"], is_first_start=False)
    assert find_only(make_history(*late.versions), {"v2"}) is None
    first = extend_record(None, ["v1"], is_first_start=True)
    assert first.versions == ("v1",)
    assert extend_record(first, ["v2"], is_first_start=True).versions == ("v1", "v2")


def test_expired_versions_are_those_that_were_not_seen() -> None:
    history = make_history(UNKNOWN_VERSION, "v1", "v2")
    expired = history.list_expired(SERVICE, {"v2"})
    assert expired == [UNKNOWN_VERSION, "v1"]
    reduced = reduce_record(VersionRecord((UNKNOWN_VERSION, "v1", "v2", "v3")), expired)
    assert reduced == VersionRecord(("v2", "v3"))
