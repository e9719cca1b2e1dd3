"""Replication of the accepted configuration: starts, stale tables, pages, pushes and snapshots."""

from __future__ import annotations

import msgspec

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.configuration import Item
from rhubarbbend.core.messages import ConfigQuery, ConfigReply, Heartbeat
from rhubarbbend.peers._codec import MAX_FRAME_BYTES, FrameAuthenticator, encode_frame
from tests.core.core_helpers import (
    add_seed,
    answer_scan,
    deliver_messages,
    filter_actions,
    make_core,
    make_row,
    make_zone,
    run_timers,
    start_core,
)


def make_ready_and_starting_core(version: int = 2) -> tuple[Core, Core]:
    """Return a core that is ready at a version and one that has just started beside it."""
    ready = start_core("e1")
    starter = start_core("e2", now=0.0)
    add_seed(ready, starter)
    add_seed(starter, ready)
    rows = [make_row(n, make_zone("a", n % 2 == 1)) for n in range(1, version + 1)]
    answer_scan(ready, 3.5, *rows)
    return ready, starter


def test_a_start_from_a_stale_table_waits_for_a_peer() -> None:
    """An instance that restarts while the table returns stale reads must not trust them alone.

    Operators took zone a out of service in version 2, but the scan ends at version 1. Trusting
    that, the instance would send work to the zone again. A peer has version 2.
    """
    ready, starter = make_ready_and_starting_core()
    emitted = answer_scan(starter, 0.1, make_row(1, make_zone("a", True)))
    assert not starter.context.config_ready, "ready from a table that may be stale"
    emitted = run_timers(starter, 1.5)
    deliver_messages({"e1": ready, "e2": starter}, "e2", emitted, 1.5)
    assert starter.context.config_ready
    assert starter.context.configuration.version == 2
    assert not starter.context.configuration.is_zone_in_service("a")


def test_a_start_without_any_peer_trusts_the_table_after_a_timeout() -> None:
    _, starter = make_ready_and_starting_core()
    answer_scan(starter, 0.1, make_row(1, make_zone("a", True)))
    emitted = run_timers(starter, 4.5)
    assert starter.context.config_ready
    assert filter_actions(emitted, actions.SetReady) == [actions.SetReady(True)]


def test_a_start_without_the_platform_uses_the_configuration_of_a_peer() -> None:
    ready, starter = make_ready_and_starting_core()
    emitted = run_timers(starter, 1.5)
    answer_scan(starter, 1.5, status="failed")
    assert not starter.context.config_ready
    deliver_messages({"e1": ready, "e2": starter}, "e2", emitted, 1.5)
    assert starter.context.config_ready
    assert starter.context.configuration.version == 2


def test_a_start_is_not_ready_before_it_knows_any_target() -> None:
    """A new instance may have the configuration before it has read the list of targets.

    If it became ready then, it would refuse all requests from the load balancer, although the
    instance that it replaces would have served them.
    """
    core = make_core("e1")
    core.handle(events.Started(1_000.0), 0.0)
    core.handle(events.SnapshotRead("done"), 0.0)
    answer_scan(core, 4.0, make_row(1, make_zone("a", True)))
    assert core.context.configuration.version == 1
    assert not core.context.config_ready
    target = events.Listed("t1", "target", "a", "h", 80, service_name="booking")
    emitted = core.handle(events.ListRead([target]), 4.1)
    assert filter_actions(emitted, actions.SetReady) == [actions.SetReady(True)]


def test_a_start_without_the_list_learns_the_targets_from_a_seed() -> None:
    """The platform is unavailable when an instance starts; its settings name one seed instance.

    With the configuration alone it would know no target and refuse every request, or never become
    ready.
    """
    ready, _ = make_ready_and_starting_core()
    target = events.Listed("t1", "target", "a", "h", 80, service_name="booking")
    ready.handle(events.ListRead([target]), 4.0)
    starter = make_core("e9")
    starter.handle(events.Started(1_000.0), 4.0)
    starter.handle(events.SnapshotRead("failed"), 4.0)
    add_seed(starter, ready, 4.0)
    add_seed(ready, starter, 4.0)
    for now in (5.5, 7.0):
        emitted = run_timers(starter, now)
        deliver_messages({"e1": ready, "e9": starter}, "e9", emitted, now)
    run_timers(starter, 8.5)
    assert list(starter.context.fleet.targets) == ["t1"]
    assert starter.context.config_ready


def test_old_rows_and_version_gaps_are_ignored() -> None:
    ready, _ = make_ready_and_starting_core()
    answer_scan(ready, 4.0, make_row(1, make_zone("a", True)), make_row(5, make_zone("a", True)))
    assert ready.context.configuration.version == 2
    assert not ready.context.configuration.is_zone_in_service("a")


def test_unreadable_rows_are_not_scanned_again_at_once() -> None:
    """A full page of rows that cannot be applied must not cause scans in an endless loop."""
    ready, _ = make_ready_and_starting_core()
    rows = [events.Row(f"{n:016d}", b"?", 1) for n in range(3, 103)]
    run_timers(ready, 5.0)
    assert filter_actions(answer_scan(ready, 5.0, *rows), actions.ScanRows) == []


def test_a_change_larger_than_a_page_is_applied_in_one_step() -> None:
    """A change set of 1,200 accounts is split into pages, and one account is changed later.

    An instance that applied a single page as version 1 would become ready with a part of the
    accounts and refuse the callers whose accounts are on later pages.
    """
    items = [
        ("account", f"n{i:04d}", msgspec.json.encode({"name": f"n{i:04d}", "key_digest": f"{i:x}"}))
        for i in range(1_200)
    ]
    ready = start_core("e1")
    answer_scan(ready, 3.5, make_row(1, *items))
    assert answer_scan(ready, 4.0, make_row(2, items[7]))
    starter = start_core("e2")
    add_seed(ready, starter)
    add_seed(starter, ready)
    first = filter_actions(run_timers(starter, 1.2), actions.SendPeer)
    query = [a for a in first if a.peer == "e1" and type(a.message).__name__ == "ConfigQuery"][:1]
    sizes: list[int] = []
    cores = {"e1": ready, "e2": starter}
    sender: str = "e2"
    waiting: list[actions.Action] = list(query)
    while waiting:
        action = filter_actions(waiting, actions.SendPeer)[0]
        if isinstance(action.message, ConfigReply):
            sizes.append(len(action.message.items))
            assert starter.context.configuration.version == 0
            assert not starter.context.config_ready
        waiting = list(cores[action.peer].handle(events.PeerSaid(sender, action.message), 1.3))
        waiting = list(filter_actions(waiting, actions.SendPeer))
        sender = action.peer
    assert len(sizes) > 2 and max(sizes) <= 500
    assert starter.context.config_ready
    assert starter.context.configuration.list_changes_after(
        0
    ) == ready.context.configuration.list_changes_after(0)


def test_a_lost_page_is_fetched_again() -> None:
    """A page that is lost with its connection must not block the download forever."""
    ready, starter = make_ready_and_starting_core(2)
    answer_scan(starter, 3.6, make_row(1, make_zone("a", True)))
    heartbeat = Heartbeat(instance="e1", zone="a", config_version=2, host="127.0.0.1", peer_port=2)
    run_timers(starter, 5.0)

    def count_queries(now: float) -> int:
        emitted = filter_actions(
            starter.handle(events.PeerSaid("e1", heartbeat), now), actions.SendPeer
        )
        return sum(isinstance(action.message, ConfigQuery) for action in emitted)

    assert count_queries(5.0) == 1
    # Heartbeats of every other instance show the same version; one query is enough.
    assert count_queries(5.1) == 0
    again = starter.handle(events.PeerSaid("e1", heartbeat), 6.5)
    deliver_messages({"e1": ready, "e2": starter}, "e2", again, 6.5)
    assert starter.context.configuration.version == 2


def propose(
    core: Core, now: float, *items: tuple[str, str, bytes], **fields: object
) -> list[actions.Action]:
    """Propose a change based on the core's current version."""
    values: dict[str, object] = {"op": "o1", "change_id": "c1", "author": "ana"}
    values["base_version"] = core.context.configuration.version
    values |= fields
    return core.handle(events.ChangeProposed(items=list(items), **values), now)  # type: ignore[arg-type]


def confirm_write(core: Core, emitted: list[actions.Action], now: float) -> list[actions.Action]:
    """Reply to the write of a proposal that it was applied."""
    write = filter_actions(emitted, actions.WriteRows)[0]
    rows: list[events.Row | None] = [events.Row(w.key, w.value, 1) for w in write.writes]
    return core.handle(events.WriteDone(write.op, "done", [True, True], rows), now)


def test_an_accepted_change_reaches_the_others_without_the_platform() -> None:
    """The platform fails after a zone was taken out of service and before others read the change.

    Instances of other zones would learn of the change only from a random query some seconds later
    and send work to the zone until then. The accepting instance pushes the change at once.
    """
    ready, starter = make_ready_and_starting_core()
    other = start_core("e3", zone="b")
    add_seed(ready, other)
    add_seed(other, ready)
    for core in (starter, other):
        answer_scan(
            core, 3.6, make_row(1, make_zone("a", True)), make_row(2, make_zone("a", False))
        )
    emitted = confirm_write(ready, propose(ready, 4.0, make_zone("b", False)), 4.1)
    answers = filter_actions(emitted, actions.AnswerOperator)
    assert [(a.error, a.version) for a in answers] == [("", 3)]
    deliver_messages({"e1": ready, "e2": starter, "e3": other}, "e1", emitted, 4.1)
    assert [core.context.configuration.version for core in (starter, other)] == [3, 3]
    assert not other.context.configuration.is_zone_in_service("b")


def test_a_large_change_is_announced_and_fetched() -> None:
    ready, starter = make_ready_and_starting_core()
    answer_scan(starter, 3.6, make_row(1, make_zone("a", True)), make_row(2, make_zone("a", False)))
    items = [make_zone(f"z{i}", True) for i in range(400)]
    emitted = confirm_write(ready, propose(ready, 5.5, *items), 5.6)
    deliver_messages({"e1": ready, "e2": starter}, "e1", emitted, 5.6)
    assert starter.context.configuration.version == 3
    assert len(starter.context.configuration.zones) == 401


def test_a_version_conflict_names_the_author_of_the_accepted_change() -> None:
    ready, _ = make_ready_and_starting_core()
    write = filter_actions(propose(ready, 4.0, make_zone("b", False)), actions.WriteRows)[0]
    accepted_row = make_row(3, make_zone("b", True), author="berta")
    emitted = ready.handle(
        events.WriteDone(write.op, "done", [False, False], [accepted_row, None]), 4.1
    )
    answers = filter_actions(emitted, actions.AnswerOperator)
    assert [(a.error, a.version, a.author) for a in answers] == [("version_conflict", 3, "berta")]


def test_a_retried_change_gets_its_accepted_version() -> None:
    """The write took effect but its reply was lost, and the operator sends the change id again.

    Other changes were accepted meanwhile, so the change is no longer based on the newest version.
    """
    ready, _ = make_ready_and_starting_core()
    write = filter_actions(propose(ready, 4.0, make_zone("b", False)), actions.WriteRows)[0]
    stored = [events.Row(w.key, w.value, 1) for w in write.writes]
    unanswered = ready.handle(events.WriteDone(write.op, "unknown"), 4.5)
    assert filter_actions(unanswered, actions.AnswerOperator) == []
    again = filter_actions(run_timers(ready, 5.0), actions.WriteRows)[0]
    rows: list[events.Row | None] = list(stored)
    emitted = ready.handle(events.WriteDone(again.op, "done", [False, False], rows), 5.0)
    assert [(a.error, a.version) for a in filter_actions(emitted, actions.AnswerOperator)] == [
        ("", 3)
    ]
    answer_scan(ready, 5.1, make_row(4, make_zone("c", True)))
    fields = {"op": "o2", "base_version": 2}
    write = filter_actions(propose(ready, 6.0, make_zone("b", False), **fields), actions.WriteRows)[
        0
    ]
    emitted = ready.handle(events.WriteDone(write.op, "done", [False, False], rows), 6.0)
    assert [(a.error, a.version) for a in filter_actions(emitted, actions.AnswerOperator)] == [
        ("", 3)
    ]
    # The same id with different content is not a retry.
    fields["op"] = "o3"
    write = filter_actions(propose(ready, 7.0, make_zone("b", True), **fields), actions.WriteRows)[
        0
    ]
    emitted = ready.handle(events.WriteDone(write.op, "done", [False, False], rows), 7.0)
    error = filter_actions(emitted, actions.AnswerOperator)[0].error
    assert error.startswith("invalid_change") and "version 3" in error


def test_a_change_based_on_an_unknown_version_is_not_written() -> None:
    """An operator read the configuration from an instance that is ahead of this one.

    If the change were inserted, version 10 would be in the table without its predecessors. No
    instance could apply it, and at version 9 every further change would conflict with it.
    """
    ready, _ = make_ready_and_starting_core()
    emitted = propose(ready, 4.0, make_zone("b", False), base_version=9)
    assert filter_actions(emitted, actions.WriteRows) == []
    assert [a.error for a in filter_actions(emitted, actions.AnswerOperator)] == ["behind"]


def test_only_one_instance_stores_a_due_snapshot() -> None:
    """The instance that accepted the changes has stopped; the others find no recent snapshot."""
    cores = [start_core(f"e{n}", snapshot_every=2) for n in (1, 2)]
    rows = [make_row(n, make_zone("a", n % 2 == 1)) for n in (1, 2, 3)]
    stored: list[bytes] = []
    row: list[events.Row] = []
    for core in cores:
        answer_scan(core, 1.0, *rows)
    for core in cores:
        for action in run_timers(core, 30.0):
            if isinstance(action, actions.ReadRow):
                emitted = core.handle(events.RowsRead(action.op, "done", row), 30.0)
                for write in filter_actions(emitted, actions.WriteSnapshot):
                    stored.append(write.data)
                    done = core.handle(events.SnapshotWritten("done"), 30.0)
                    value = filter_actions(done, actions.WriteRows)[0].writes[0].value
                    row = [events.Row("snapshot", value, 1)]
    assert len(stored) == 1
    fresh = start_core("e9")
    fresh.handle(events.SnapshotRead("done", stored[0]), 1.0)
    assert fresh.context.configuration.version == 3
    assert fresh.context.configuration.list_changes_after(0) == [
        Item("zone", "a", 3, rows[2] and make_zone("a", True)[2])
    ]


def test_a_configuration_larger_than_a_peer_frame_arrives_in_pages() -> None:
    """The whole configuration of a fleet may exceed the maximum size of a peer frame.

    An instance that starts without the platform gets it from a peer. If it were sent as one frame,
    the receiver would close the connection each time, and the start would never complete.
    """
    operations = [{"path": f"/{number:04d}/{'x' * 60}"} for number in range(300)]
    names = [f"service-{number:03d}" for number in range(400)]
    items = [
        ("service", name, msgspec.json.encode({"name": name, "operations": operations}))
        for name in names
    ]
    ready = start_core("e1")
    answer_scan(ready, 3.5, make_row(1, *items))
    starter = start_core("e2")
    add_seed(ready, starter)
    add_seed(starter, ready)
    cores = {"e1": ready, "e2": starter}
    first = filter_actions(run_timers(starter, 1.2), actions.SendPeer)
    waiting = [action for action in first if isinstance(action.message, ConfigQuery)][:1]
    sender = "e2"
    sizes: list[int] = []
    while waiting:
        action = waiting[0]
        sizes.append(len(FrameAuthenticator(b"secret").sign(encode_frame(sender, action.message))))
        emitted = cores[action.peer].handle(events.PeerSaid(sender, action.message), 1.3)
        waiting = filter_actions(emitted, actions.SendPeer)
        sender = action.peer
    assert sum(sizes) > MAX_FRAME_BYTES
    assert max(sizes) < MAX_FRAME_BYTES // 50
    assert sorted(starter.context.configuration.services) == names
