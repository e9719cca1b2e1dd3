"""Keeps this instance on the list of instances, and this instance's copy of the list up to date.

The list is a table of the store that only instances use. It determines how the fleet's limits are
divided and which instances read the store for a zone. Rows of instances that are permanently gone
expire.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Final

import msgspec

from rhubarbbend.core.mirror import MirroredRow
from rhubarbbend.core.readers import RENEW_INTERVAL_S, InstanceLeaseTracker, InstanceRow
from rhubarbbend.gateway._peers import JoinNotice, PeerClient
from rhubarbbend.gateway._state import INSTANCE_TABLE, State, read_clock
from rhubarbbend.gateway._state_updater import StateUpdater
from rhubarbbend.storage import RowStore, StoreError, VersionConflict

# This long interval is enough: the list only divides limits among the instances, and instances that
# join announce themselves.
LIST_READ_INTERVAL_S: Final = 20.0
# When instances start together, the first of them reads a list without the others. It may then take
# a large zone for a small one, in which no reader would relay updates to it. All start within 0.3 s
# of one another.
FIRST_READ_INTERVALS_S: Final = (1.0, 2.0)
JOIN_RETRY_DELAY_S: Final = 1.0
# How often an instance checks whether its row is on the list and due to be renewed. It must not be
# shorter than the interval at which the list is read, or a missing row would be written twice.
ROW_CHECK_INTERVAL_S: Final = 30.0


class InstanceListMaintainer:
    """Registers this instance in the store and follows the list of instances.

    Invariant: from `join` to `leave` the instance is listed, or retries writing its row until it
    is.
    """

    def __init__(
        self,
        state: State,
        store: RowStore,
        updater: StateUpdater,
        peers: PeerClient,
        on_failure: Callable[[str, StoreError], None],
    ) -> None:
        self._state = state
        self._store = store
        self._updater = updater
        self._peers = peers
        # Called with the table and the error when reading the list fails.
        self._on_failure = on_failure
        self._leases = InstanceLeaseTracker()
        # Whether the list has been read after all instances that started together are on it.
        self.has_converged = False

    async def join(self, row: InstanceRow) -> None:
        """Register this instance, read the list, announce the instance, and keep it registered.

        The row is written before the list is read: of two instances that join at the same time, at
        least the later one reads the other's row and notifies it.
        """
        own_id = self._state.settings.instance
        value = msgspec.json.encode(row)
        while True:
            try:
                await self._store.put_row(INSTANCE_TABLE, own_id, value)
                await self._read()
            except StoreError as error:
                self._log("join_failed", reason=str(error))
                await asyncio.sleep(JOIN_RETRY_DELAY_S)
                continue
            break
        await self._peers.broadcast_join(JoinNotice(own_id, row))
        await self._renew_row(own_id, value)

    async def _renew_row(self, own_id: str, value: bytes) -> None:
        """Write this instance's row again at intervals, and when it is missing, until the stop.

        If the instance could not write the row for long, the others have removed it by the time the
        store is reachable again.
        """
        written_at = read_clock()
        while not self._state.stopping:
            await asyncio.sleep(ROW_CHECK_INTERVAL_S * self._state.random.uniform(0.8, 1.2))
            now = read_clock()
            is_listed = own_id in self._state.instances
            if self._state.stopping or (is_listed and now - written_at < RENEW_INTERVAL_S):
                continue
            if not is_listed:
                self._log("row_missing")
            try:
                await self._store.put_row(INSTANCE_TABLE, own_id, value)
            except StoreError as error:
                self._log("renewal_failed", reason=str(error))
            else:
                written_at = now

    async def leave(self) -> None:
        """Remove this instance from the list.

        A call without an answer may be carried out seconds later, when the next process of this
        instance has written its row, so only the row as it is now is removed.
        """
        own_id = self._state.settings.instance
        try:
            row = await self._store.read_row(INSTANCE_TABLE, own_id)
            if row.value is not None:
                await self._store.remove_row(INSTANCE_TABLE, own_id, row.version)
        except StoreError as error:
            self._log("leave_failed", reason=str(error))

    async def follow(self, reads_directly: asyncio.Event) -> None:
        """Read the list at intervals, and when instances join, while `reads_directly` is set.

        While it is not set, this instance receives the list from its zone's reader.
        """
        intervals = itertools.chain(FIRST_READ_INTERVALS_S, itertools.repeat(LIST_READ_INTERVAL_S))
        due_at = read_clock()
        while True:
            now = read_clock()
            if now >= due_at:
                interval = next(intervals)
                self.has_converged = interval == LIST_READ_INTERVAL_S
                due_at = now + interval * self._state.random.uniform(0.8, 1.2)
            # A join triggers a read at once but does not postpone the next scheduled one, since
            # other instances may have joined without this one being notified.
            await self._state.instance_joined.wait(due_at - now)
            if not reads_directly.is_set():
                continue
            try:
                await self._read()
            except StoreError as error:
                self._on_failure(INSTANCE_TABLE, error)

    async def _read(self) -> None:
        page = await self._store.read_table(INSTANCE_TABLE)
        self._updater.apply_pages({INSTANCE_TABLE: page}, "store")
        own_id = self._state.settings.instance
        for row in self._leases.observe(page.rows, read_clock()):
            if row.key != own_id:
                await self._remove_expired_row(row)

    async def _remove_expired_row(self, row: MirroredRow) -> None:
        """Remove an expired row from the list, unless its instance has just renewed it."""
        try:
            await self._store.remove_row(INSTANCE_TABLE, row.key, row.version)
        except VersionConflict:
            self._log("row_renewed", row=row.key)
        else:
            self._log("row_lapsed", row=row.key)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)
