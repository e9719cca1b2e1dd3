"""Keeps the mirror up to date: from the store, and while that gives no answer from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.mirror import Change, TablePage
from rhubarbbend.gateway._interfaces import (
    CatalogRead,
    StateChange,
    StateDecoder,
    TargetMissing,
    TargetRead,
    Unreadable,
    ZoneMoved,
)
from rhubarbbend.gateway._peers import Hello, PeerClient
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import INSTANCE_TABLE, InstanceRow, State, read_clock
from rhubarbbend.storage import HistoryGone, RowStore, StoreError

# A wait for changes of the configuration is also the check that the store still answers: a call
# may be lost without a sign, and what comes into force must be so within 2 s.
CONFIG_WAIT: Final = 2.0
# Other tables are waited for as long as the store allows; a failing check ends these waits too.
TABLE_WAIT: Final = 25.0
# Changes that come in quick succession are read together: each call has its price, and the
# shortest bound on a change is 2 s.
COALESCE: Final = 0.15
# Pauses after a call that failed, doubled each time.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 0.5
# While the store gives no answer, one peer is asked this often. A reader that is turned away for
# some seconds still has to follow within 2 s.
PEER_INTERVAL: Final = 0.4
# The list of instances only divides bounds among them, and those that join say so themselves.
INSTANCES_INTERVAL: Final = 20.0
JOIN_PAUSE: Final = 1.0


class StoreContact:
    """Whether the store answers this instance. Invariant: `lost_at` is None while it does."""

    def __init__(self) -> None:
        self.lost_at: float | None = None
        self.reached = False

    def note_answer(self, now: float) -> float | None:
        """Note an answer; gives for how long there was none if this is the first after it."""
        self.reached = True
        lost_at, self.lost_at = self.lost_at, None
        return None if lost_at is None else now - lost_at

    def note_failure(self, now: float) -> bool:
        """Note a failed call; tells whether it is the first."""
        if self.lost_at is not None:
            return False
        self.lost_at = now
        return True


class StateFollower:
    """Follows every table of the decoder, and the list of instances."""

    def __init__(
        self, state: State, store: RowStore, decoder: StateDecoder, peers: PeerClient
    ) -> None:
        self._state = state
        self._store = store
        self._decoder = decoder
        self._peers = peers
        self._contact = StoreContact()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def store_reached(self) -> bool:
        """Whether the store answered last."""
        return self._contact.reached and self._contact.lost_at is None

    def start(self) -> None:
        """Begin to follow."""
        for table in self._decoder.tables:
            self._spawn(self._follow(table))
        self._spawn(self._follow_instances())
        self._spawn(self._ask_peers())
        self._spawn(self._drop_gone())

    def stop(self) -> None:
        """End all following."""
        for task in self._tasks:
            task.cancel()

    def refresh(self) -> None:
        """Ask for everything anew, over new connections: this process has been away."""
        self._store.reset()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    # The store.

    async def _follow(self, table: str) -> None:
        wait = CONFIG_WAIT if table == self._state.config_table else TABLE_WAIT
        pause = FIRST_PAUSE
        whole = False
        while True:
            try:
                changed = await self._read_once(table, wait, whole)
            except HistoryGone:
                # The whole table is read next; until then what is known holds.
                self._log("history_gone", table=table)
                whole = True
                continue
            except StoreError as error:
                self._note_failure(table, error)
                await asyncio.sleep(pause * self._state.random.uniform(0.7, 1.3))
                pause = min(LONGEST_PAUSE, 2.0 * pause)
                continue
            pause = FIRST_PAUSE
            whole = False
            if changed:
                await asyncio.sleep(COALESCE)

    async def _read_once(self, table: str, wait: float, whole: bool) -> bool:
        """Read a table, or wait for what changes in it; tells whether anything has."""
        mirrored = self._state.mirror.tables[table]
        if whole or not mirrored.known:
            page = await self._store.read_table(table)
        else:
            page = await self._store.follow_table(table, mirrored.position, wait)
        self._note_answer()
        return bool(self.take_pages({table: page}, "store"))

    def _note_answer(self) -> None:
        now = read_clock()
        away = self._contact.note_answer(now)
        if away is None:
            return
        self._state.directory.note_store_returned(now)
        self._state.journal.write("store_regained", now, away=round(away, 3))

    def _note_failure(self, table: str, error: StoreError) -> None:
        now = read_clock()
        self._state.metrics.add(codes.PLATFORM_ERRORS)
        if self._contact.note_failure(now):
            self._state.journal.write("store_lost", now, table=table, reason=str(error))
            # Waits on other connections may have been lost with this one.
            self._store.reset()

    async def join(self, row: InstanceRow) -> None:
        """Tell the other instances where this one is reached, and learn of them.

        The row is written before the list is read: of two that join at once, at least the later
        one reads of the other, and tells it.
        """
        own = self._state.settings.instance
        value = msgspec.json.encode(row)
        while True:
            try:
                await self._store.put_row(INSTANCE_TABLE, own, value)
                await self._read_instances()
            except StoreError as error:
                self._log("join_failed", reason=str(error))
                await asyncio.sleep(JOIN_PAUSE)
                continue
            await self._peers.tell_hello(Hello(own, row))
            return

    async def leave(self) -> None:
        """Take this instance off the list."""
        try:
            await self._store.remove_row(INSTANCE_TABLE, self._state.settings.instance)
        except StoreError as error:
            self._log("leave_failed", reason=str(error))

    async def _follow_instances(self) -> None:
        while True:
            await asyncio.sleep(INSTANCES_INTERVAL * self._state.random.uniform(0.8, 1.2))
            try:
                await self._read_instances()
            except StoreError as error:
                self._note_failure(INSTANCE_TABLE, error)

    async def _read_instances(self) -> None:
        page = await self._store.read_table(INSTANCE_TABLE)
        self.take_pages({INSTANCE_TABLE: page}, "store")

    # Peers.

    async def _ask_peers(self) -> None:
        queue: list[Address] = []
        while True:
            await asyncio.sleep(PEER_INTERVAL * self._state.random.uniform(0.8, 1.2))
            if self.store_reached:
                continue
            # In turn, so that some that are gone do not keep the others from being asked.
            queue = queue or self._shuffle_peers()
            if not queue:
                continue
            pages = await self._peers.ask_changes(queue.pop())
            if pages:
                self.take_pages(pages, "peer")

    def _shuffle_peers(self) -> list[Address]:
        peers = self._state.list_peers()
        self._state.random.shuffle(peers)
        return peers

    # What has changed.

    def take_pages(self, pages: dict[str, TablePage], source: str) -> int:
        """Take pages in, act on what they change, and give the number of changes."""
        count = 0
        for table, changes in self._state.mirror.merge(pages).items():
            count += len(changes)
            if table == INSTANCE_TABLE:
                self._take_instances(changes)
                continue
            for change in self._decoder.decode(table, changes):
                self._take(change, source)
        if all(table.known for table in self._state.mirror.tables.values()):
            self._state.directory.finish_first_read()
        return count

    def _take_instances(self, changes: list[Change]) -> None:
        for change in changes:
            self._state.instances.pop(change.key, None)
            if change.value is None:
                continue
            try:
                row = msgspec.json.decode(change.value, type=InstanceRow)
            except msgspec.MsgspecError as error:
                self._log("row_unreadable", row=change.key, reason=str(error))
                continue
            self._state.instances[change.key] = row

    def _take(self, change: StateChange, source: str) -> None:
        now = read_clock()
        if isinstance(change, CatalogRead):
            self._take_catalog(change, source)
        elif isinstance(change, TargetRead):
            self._take_target(change, source, now)
        elif isinstance(change, TargetMissing):
            self._state.directory.unregister(change.target, now)
            if self._state.directory.find(change.target) is None:
                self._state.placement.forget(change.target)
            self._log("target_unregistered", target=change.target, source=source)
        elif isinstance(change, ZoneMoved):
            if change.out:
                self._state.directory.take_zone_out(change.zone, now)
            else:
                self._state.directory.take_zone_in(change.zone, now)
            self._log("zone_out" if change.out else "zone_in", zone=change.zone, source=source)
        elif isinstance(change, Unreadable):
            self._state.metrics.add(codes.CONFIG_UNREADABLE)
            self._log("row_unreadable", row=change.row, reason=change.reason, source=source)

    def _take_catalog(self, change: CatalogRead, source: str) -> None:
        known = self._state.catalog
        if known is not None and change.catalog.version <= known.version:
            self._state.metrics.add(codes.CONFIG_STALE)
            return
        self._state.catalog = change.catalog
        self._state.metrics.add(codes.CONFIG_APPLIED)
        self._log(
            "config_applied",
            version=change.catalog.version,
            before=None if known is None else known.version,
            routes=change.catalog.route_count,
            source=source,
        )

    def _take_target(self, change: TargetRead, source: str, now: float) -> None:
        record = change.record
        target = self._state.directory.register(record, now)
        self._log(
            "target_registered",
            target=record.id,
            service=record.service,
            address=f"{record.host}:{record.port}",
            zone=record.zone,
            state=target.state.value,
            cold_left=record.cold_left or None,
            boot=record.boot,
            source=source,
        )

    async def _drop_gone(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for target in self._state.directory.drop_gone(read_clock()):
                self._state.placement.forget(target)
                self._log("target_gone", target=target)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.journal.write(event, read_clock(), **fields)
