"""Keeps this instance on the list of instances, and that list up to date.

The list lies in the store, in a table of the system's own. It divides the bounds among all and says
who reads for a zone; rows of instances that are gone for good lapse.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Final

import msgspec

from rhubarbbend.core.mirror import MirroredRow
from rhubarbbend.core.readers import RENEW_INTERVAL_S, InstanceLeaseTracker, InstanceRow
from rhubarbbend.gateway._intake import StateIntake
from rhubarbbend.gateway._peers import Hello, PeerClient
from rhubarbbend.gateway._state import INSTANCE_TABLE, State, read_clock
from rhubarbbend.storage import RowStore, StoreError, VersionConflict

# The list of instances only divides bounds among them, and those that join say so themselves.
INSTANCES_INTERVAL: Final = 20.0
# Of those that start together the first read a list without the others, and may take a large zone
# for a small one, in which nobody would tell them more. All start within 0.3 s of one another.
FIRST_INTERVALS: Final = (1.0, 2.0)
JOIN_PAUSE: Final = 1.0
# How often an instance looks whether its row is on the list and due to be written again: not more
# often than the list is read, or one that is missed would be written twice.
ROW_CHECK_INTERVAL: Final = 30.0


class InstanceList:
    """Invariant: from `join` to `leave` this instance is listed, or writes its row until it is."""

    def __init__(
        self,
        state: State,
        store: RowStore,
        intake: StateIntake,
        peers: PeerClient,
        on_failure: Callable[[str, StoreError], None],
    ) -> None:
        self._state = state
        self._store = store
        self._intake = intake
        self._peers = peers
        # Told of a table and why a call for it failed.
        self._on_failure = on_failure
        self._leases = InstanceLeaseTracker()
        # Whether the list has been read after all that started together are on it.
        self.is_settled = False

    async def join(self, row: InstanceRow) -> None:
        """Tell the other instances where this one is reached, learn of them, stay on the list.

        The row is written before the list is read: of two that join at once, at least the later
        one reads of the other, and tells it.
        """
        own = self._state.settings.instance
        value = msgspec.json.encode(row)
        while True:
            try:
                await self._store.put_row(INSTANCE_TABLE, own, value)
                await self._read()
            except StoreError as error:
                self._log("join_failed", reason=str(error))
                await asyncio.sleep(JOIN_PAUSE)
                continue
            break
        await self._peers.tell_hello(Hello(own, row))
        await self._keep_row(own, value)

    async def _keep_row(self, own: str, value: bytes) -> None:
        """Write the own row anew now and then, and as soon as it is missed, until it is to go.

        One that could not write it for long finds it dropped when the store is back.
        """
        written_at = read_clock()
        while not self._state.stopping:
            await asyncio.sleep(ROW_CHECK_INTERVAL * self._state.random.uniform(0.8, 1.2))
            now = read_clock()
            is_listed = own in self._state.instances
            if self._state.stopping or (is_listed and now - written_at < RENEW_INTERVAL_S):
                continue
            if not is_listed:
                self._log("row_missing")
            try:
                await self._store.put_row(INSTANCE_TABLE, own, value)
            except StoreError as error:
                self._log("renewal_failed", reason=str(error))
            else:
                written_at = now

    async def leave(self) -> None:
        """Take this instance off the list."""
        try:
            await self._store.remove_row(INSTANCE_TABLE, self._state.settings.instance)
        except StoreError as error:
            self._log("leave_failed", reason=str(error))

    async def follow(self, reads: asyncio.Event) -> None:
        """Read the list on its schedule, and as others join, while `reads` is set.

        An instance that waits at its zone's reader has the list from there.
        """
        intervals = itertools.chain(FIRST_INTERVALS, itertools.repeat(INSTANCES_INTERVAL))
        due_at = read_clock()
        while True:
            now = read_clock()
            if now >= due_at:
                interval = next(intervals)
                self.is_settled = interval == INSTANCES_INTERVAL
                due_at = now + interval * self._state.random.uniform(0.8, 1.2)
            # One that joins is read at once, and puts off nothing: others may have joined unheard.
            await self._state.joined.wait(due_at - now)
            if not reads.is_set():
                continue
            try:
                await self._read()
            except StoreError as error:
                self._on_failure(INSTANCE_TABLE, error)

    async def _read(self) -> None:
        page = await self._store.read_table(INSTANCE_TABLE)
        self._intake.take_pages({INSTANCE_TABLE: page}, "store")
        own = self._state.settings.instance
        for row in self._leases.observe(page.rows, read_clock()):
            if row.key != own:
                await self._drop_lapsed(row)

    async def _drop_lapsed(self, row: MirroredRow) -> None:
        """Take a lost instance off the list, unless it has just written its row again."""
        try:
            await self._store.remove_row(INSTANCE_TABLE, row.key, row.version)
        except VersionConflict:
            self._log("row_renewed", row=row.key)
        else:
            self._log("row_lapsed", row=row.key)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.journal.write(event, read_clock(), **fields)
