"""Tests of following the store's tables, with a scripted store in memory and without sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence

import pytest

from rhubarbbend import codes
from rhubarbbend.core.mirror import MirroredRow, RowChange, TablePage
from rhubarbbend.core.readers import InstanceRow, PeerUpdatePage, ReaderSelector
from rhubarbbend.core.stop_schedule import StopSchedule
from rhubarbbend.gateway import _instance_list
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._follower import StateFollower
from rhubarbbend.gateway._interfaces import StateChange, StateDecoder, ZoneServiceChanged
from rhubarbbend.gateway._peers import ChangesReply, PeerClient
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.gateway._state import ROLLOUT_TABLE, State
from rhubarbbend.gateway._state_updater import StateUpdater
from rhubarbbend.http import ConnectionPool
from rhubarbbend.storage import (
    RowPut,
    RowStore,
    RowVersion,
    StoredRow,
    StoreError,
    VersionConflict,
)
from tests.gateway.harness import run, wait_until

TABLES = ("config", "targets")


class EmptyDecoder(StateDecoder):
    """Decodes no row into a change."""

    tables = TABLES

    def decode(self, table: str, changes: object) -> list[StateChange]:
        return []


class ScriptedStore(RowStore):
    """A store in memory.

    The next watch on a table in `silent_watches` gets no answer until the client's time-out, as on
    a connection that has gone silent. Reads of a table in `stuck_reads` time out. While `failing`
    is set, every call is refused. Keys in `renewed` have been written again when they are removed.
    """

    def __init__(self) -> None:
        self.pages = {
            name: TablePage([], 1, True) for name in (*TABLES, ROLLOUT_TABLE, "instances")
        }
        self.silent_watches: set[str] = set()
        self.stuck_reads: set[str] = set()
        self.failing = False
        self.calls = 0
        self.watched: list[str] = []
        self.written: list[str] = []
        self.removed: list[tuple[str, int | None]] = []
        self.renewed: set[str] = set()
        self.rows: dict[str, StoredRow] = {}
        self.closures = 0

    async def read_table(self, table: str) -> TablePage:
        self.calls += 1
        if self.failing:
            raise StoreError("away")
        if table in self.stuck_reads:
            await asyncio.sleep(1.0)
            raise StoreError("timeout")
        return self.pages[table]

    async def watch_table(self, table: str, after_version: int, wait: float) -> TablePage:
        self.calls += 1
        self.watched.append(table)
        if self.failing:
            raise StoreError("away")
        if table in self.silent_watches:
            # No answer until the client times out; its next call is on a new connection.
            self.silent_watches.discard(table)
            await asyncio.sleep(wait + 0.6)
            raise StoreError("timeout")
        ends_at = asyncio.get_running_loop().time() + wait
        closures = self.closures
        while self.pages[table].position <= after_version:
            if self.closures > closures:
                raise StoreError("given up")
            if asyncio.get_running_loop().time() >= ends_at:
                return TablePage([], after_version, False)
            await asyncio.sleep(0.02)
        page = self.pages[table]
        return TablePage(page.rows, page.position, False)

    async def read_row(self, table: str, key: str) -> StoredRow:
        self.calls += 1
        return self.rows.get(key, StoredRow(None, 0, 0.0))

    async def write_rows(self, puts: Sequence[RowPut], expected: Sequence[RowVersion]) -> None:
        self.calls += 1
        self.written += [put.key for put in puts]

    async def put_row(self, table: str, key: str, value: bytes) -> None:
        self.calls += 1
        self.written.append(key)

    async def remove_row(self, table: str, key: str, version: int | None = None) -> None:
        self.calls += 1
        self.removed.append((key, version))
        if key in self.renewed:
            raise VersionConflict(key)

    def close_connections(self) -> None:
        self.closures += 1


def make_follower(store: RowStore) -> tuple[State, StateFollower]:
    address = ("127.0.0.1", 1)
    settings = GatewaySettings("front-0", "zone-a", address, address, address)
    state = State(settings, TABLES, EventLog("front-0", descriptor=2))
    selector = ReaderSelector("front-0", "zone-a")
    peers = PeerClient(state, ConnectionPool(1.0), selector)
    return state, StateFollower(state, store, EmptyDecoder(), peers, selector)


def run_with_follower(work: Callable[[State, ScriptedStore], Awaitable[None]]) -> None:
    async def start_and_run() -> None:
        store = ScriptedStore()
        state, follower = make_follower(store)
        follower.start()
        await asyncio.sleep(0.1)
        try:
            await work(state, store)
        finally:
            follower.stop()

    run(start_and_run)


def test_single_silent_watch_is_detected() -> None:
    # The connection on which changes of targets are watched goes silent for good, while that of the
    # configuration still works. A target starts to drain. An instance that does not learn of it
    # sends requests to the target until the watch times out, which took 25 s, and by then the
    # target is gone.
    async def work(state: State, store: ScriptedStore) -> None:
        store.silent_watches.add("targets")
        await asyncio.sleep(state.replication_timeouts.watch_timeout_s)
        row = MirroredRow("target-0", b"leaving", 7)
        store.pages["targets"] = TablePage([row], 7, True)

        async def is_known() -> bool:
            return state.mirror.tables["targets"].position == 7

        await wait_until("the change is known", is_known, 3.0)

    run_with_follower(work)


def test_list_is_read_again_soon_after_others_have_joined() -> None:
    # Six instances start together. The first reads an empty list, and the two that follow announce
    # themselves to it. The last ones see a large zone and announce themselves only to its reader.
    # The first must still read the list again soon, or for 20 s it takes too large a share of every
    # limit and waits at no reader.
    async def work(state: State, store: ScriptedStore) -> None:
        for number in range(2):
            row = InstanceRow("zone-a", "127.0.0.1", 1)
            state.add_instance(f"front-{number + 1}", row)
            state.instance_joined.notify_all()
            await asyncio.sleep(0.2)
        value = b'{"zone":"zone-a","host":"127.0.0.1","port":1}'
        rows = [MirroredRow(f"front-{number}", value, 3) for number in range(6)]
        store.pages["instances"] = TablePage(rows, 3, True)

        async def is_known() -> bool:
            return len(state.instances) == 6

        await wait_until("all that joined are known", is_known, 4.0)

    run_with_follower(work)


def test_only_one_call_at_a_time_retries_an_unavailable_store() -> None:
    # The store refuses every call at once, and each call costs it something. So one watch checks
    # whether the store has recovered, and the others wait for that.
    async def work(state: State, store: ScriptedStore) -> None:
        store.failing = True
        await asyncio.sleep(2.5)
        before = store.calls
        await asyncio.sleep(2.0)
        assert store.calls - before <= 6
        store.failing = False
        store.pages["targets"] = TablePage([], 9, True)

        async def is_known() -> bool:
            return state.mirror.tables["targets"].position == 9

        await wait_until("what changed meanwhile is known", is_known, 1.0)

    run_with_follower(work)


def test_instance_without_a_configuration_queries_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A whole fleet restarts and reads its large configuration at once. A few instances have it in
    # 0.1 s; the calls of the others got stuck, and for 0.9 s, or until the calls timed out, they
    # refused all callers, although another instance could have sent them the configuration.
    query_times: list[float] = []

    async def answer(self: PeerClient, peer: object) -> ChangesReply:
        query_times.append(asyncio.get_running_loop().time())
        pages = {"config": TablePage([], 1, True)}
        return ChangesReply(pages, 0.0, 0.0, None, PeerUpdatePage([], 0), [], 0.0)

    monkeypatch.setattr(PeerClient, "query_changes", answer)

    async def work() -> None:
        store = ScriptedStore()
        store.stuck_reads.add("config")
        state, follower = make_follower(store)
        state.add_instance("front-1", InstanceRow("zone-a", "127.0.0.1", 2))
        started_at = asyncio.get_running_loop().time()
        follower.start()
        await asyncio.sleep(0.45)
        assert state.mirror.tables["config"].known
        assert query_times[0] - started_at < 0.25
        # Once it has the configuration, it sends no more queries.
        assert len(query_times) == 1
        follower.stop()

    run(work)


def make_instance_page(version: int, *names: str) -> TablePage:
    row = json.dumps({"zone": "zone-a", "host": "127.0.0.1", "port": 2}).encode()
    return TablePage([MirroredRow(name, row, version) for name in names], version, True)


def test_expired_row_is_removed_unless_renewed_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two instances crashed; their rows made every instance's share of the limits smaller for good.
    # One of them is back and renews its row just as it is found expired. The store refuses to
    # remove that row, and this refusal must not count as a failure of the store.
    monkeypatch.setattr("rhubarbbend.core.readers._leases.ROW_LIFETIME_S", 0.0)

    async def work(state: State, store: ScriptedStore) -> None:
        store.pages["instances"] = make_instance_page(7, "front-0", "front-8", "front-9")
        store.renewed.add("front-9")
        state.instance_joined.notify_all()
        await wait_until("both are judged", lambda: has_removed(store, 2), 2.0)
        assert store.removed[:2] == [("front-8", 7), ("front-9", 7)]
        assert store.closures == 0

    run_with_follower(work)


async def has_removed(store: ScriptedStore, count: int) -> bool:
    return len(store.removed) >= count


def test_instance_writes_its_missing_row_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The instance was cut off from the store for so long that the others removed its row. If it
    # stayed off the list, it would use a share of the limits without being counted.
    monkeypatch.setattr(_instance_list, "ROW_CHECK_INTERVAL_S", 0.05)

    async def work() -> None:
        store = ScriptedStore()
        state, follower = make_follower(store)
        store.pages["instances"] = make_instance_page(2, "front-0")
        joining = asyncio.create_task(
            follower.instance_list.join(InstanceRow("zone-a", "127.0.0.1", 1))
        )
        await asyncio.sleep(0.3)
        assert store.written == ["front-0"]
        state.remove_instance("front-0", 0.0)
        await asyncio.sleep(0.3)
        assert len(store.written) > 1
        state.stop = StopSchedule(0.0, 0.0, 0.0)
        await asyncio.wait_for(joining, 1.0)

    run(work)


# Guards against an instance that is missing from the list for half a minute after a quick restart:
# the deletion of its row by the process before it took effect late, on the new row.
def test_stopping_instance_removes_only_the_row_that_it_has_read() -> None:
    async def work() -> None:
        store = ScriptedStore()
        _, follower = make_follower(store)
        await follower.instance_list.leave()
        assert store.removed == []
        store.rows["front-0"] = StoredRow(b"{}", 7, 0.0)
        await follower.instance_list.leave()
        assert store.removed == [("front-0", 7)]

    run(work)


def make_zone_page_with_reader() -> TablePage:
    """Return a list of six instances; front-1 is their reader because it has the most capacity."""
    row = '{"zone":"zone-a","host":"127.0.0.1","port":1,"link":%d,"cores":%d}'
    rows = [(f"front-{number}", (200, 2) if number == 1 else (10, 1)) for number in range(6)]
    return TablePage([MirroredRow(name, (row % size).encode(), 3) for name, size in rows], 3, True)


@pytest.mark.parametrize("is_reader_alive", [True, False])
def test_starting_instance_watches_no_table_that_its_reader_watches(
    monkeypatch: pytest.MonkeyPatch, is_reader_alive: bool
) -> None:
    # A fleet of hundreds restarts. Each instance started a watch on every table, and cancelled it a
    # moment later when its reader replied. An instance whose reader is gone must soon watch the
    # tables itself.
    async def answer(
        self: PeerClient, peer: object, hold: float, at: object
    ) -> ChangesReply | None:
        await asyncio.sleep(0.05)
        reply = ChangesReply({}, 0.0, 0.0, None, PeerUpdatePage([], 0), [], 0.0)
        return reply if is_reader_alive else None

    monkeypatch.setattr(PeerClient, "poll_reader", answer)

    async def work() -> None:
        store = ScriptedStore()
        store.pages["instances"] = make_zone_page_with_reader()
        state, follower = make_follower(store)
        follower.start()
        row = InstanceRow("zone-a", "127.0.0.1", 1)
        joining = asyncio.ensure_future(follower.instance_list.join(row))
        await asyncio.sleep(0.6)
        joining.cancel()
        follower.stop()
        assert all(state.mirror.tables[table].known for table in TABLES)
        assert sorted(store.watched) == ([] if is_reader_alive else list(TABLES))

    run(work)


class FailingDecoder(StateDecoder):
    """Raises an unexpected error for one row, and decodes the others."""

    tables = TABLES

    def decode(self, table: str, changes: Sequence[RowChange]) -> list[StateChange]:
        if any(change.key == "bad" for change in changes):
            raise RuntimeError("unexpected")
        return [ZoneServiceChanged(change.key, True) for change in changes]


# Guards against a row whose handling fails and that keeps the other rows of its page from being
# applied: they count as read already.
def test_the_other_rows_of_a_page_are_applied_after_an_error() -> None:
    async def work() -> None:
        state, _ = make_follower(ScriptedStore())
        rows = [MirroredRow(key, b"{}", 2) for key in ("zone-1", "bad", "zone-2")]
        taken_out: list[str] = []
        state.registry.take_zone_out_of_service = lambda zone, now: taken_out.append(zone)
        pages = {TABLES[0]: TablePage(rows, 2, True)}
        assert StateUpdater(state, FailingDecoder()).apply_pages(pages, "store") == 3
        assert sorted(taken_out) == ["zone-1", "zone-2"]
        assert state.metrics.read_counter(codes.INTERNAL_ERRORS) == 1

    run(work)


# Guards against a table that is no longer followed after one unexpected error (review/2), with
# nothing logged.
def test_a_table_is_followed_after_an_unexpected_error() -> None:
    async def work(state: State, store: ScriptedStore) -> None:
        async def are_watched() -> bool:
            return set(TABLES) <= set(store.watched)

        async def is_counted() -> bool:
            return state.metrics.read_counter(codes.INTERNAL_ERRORS) == 1

        async def fail_once(table: str, after_version: int, wait: float) -> TablePage:
            store.watch_table = watch_table  # type: ignore[method-assign]
            raise RuntimeError("unexpected")

        watch_table = store.watch_table
        await wait_until("the tables are watched", are_watched)
        store.watch_table = fail_once  # type: ignore[method-assign]
        await wait_until("the error is counted", is_counted)
        store.watched.clear()
        await wait_until("both tables are watched again", are_watched)

    run_with_follower(work)
