"""Keeps the origins of streams in the store while targets of several versions serve.

The instances that know an origin may all be lost at once, or be restarted one after the other. Each
writes the origins of the streams that it began lately into a row of its own, at intervals. The rows
of all are read at the start, and for a stream that no instance knows. No stream that begins waits
for the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.streams import (
    USUAL_STREAM_AGE_S,
    OriginBatch,
    StreamOrigin,
    compute_write_interval,
    have_several,
)
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.storage import RowStore, StoreError

# The table in which each instance keeps the origins of the streams that it began.
ORIGIN_TABLE: Final = "origins"
# After a call that failed, the store is left alone for this long.
BACKOFF_S: Final = 1.0
# How long the end of a planned stop waits for the last write.
FLUSH_TIMEOUT_S: Final = 0.3
# How often it is checked whether several versions serve.
CHECK_INTERVAL_S: Final = 1.0


class OriginStore:
    """Writes this instance's row, and reads those of all.

    Invariants: there is no row of this instance once one version alone has served for a while; the
    row that an earlier process of this instance wrote is not replaced before it was read.
    """

    def __init__(self, state: State, store: RowStore) -> None:
        self._state = state
        self._store = store
        self._batch = OriginBatch()
        self._has_row = False
        # Whether the rows were read, or need not be.
        self.is_loaded = False
        # Called with the origins that the store held at the start; set by the instance.
        self.on_loaded: Callable[[list[StreamOrigin]], None] = lambda origins: None

    def record(self, stream: int, origin: int) -> None:
        """Record a stream that has begun here."""
        self._batch.record(StreamOrigin(stream, origin), read_clock())

    def forget(self, streams: Collection[int]) -> None:
        """Remove streams whose origins may be others than were recorded."""
        self._batch.forget(streams)

    async def run(self) -> None:
        """Read the rows of all, then keep this instance's row.

        It is kept during a planned stop too: the stop cuts the streams that began after it had
        begun, if any, so these are the ones that callers take up elsewhere.
        """
        await self._load()
        while True:
            interval = CHECK_INTERVAL_S
            try:
                if self._versions_differ():
                    interval = compute_write_interval(len(self._state.list_instance_ids()))
                    await self._write()
                elif self._has_row:
                    await self._remove()
            except StoreError as error:
                self._log("origins_not_written", reason=str(error))
                interval = BACKOFF_S
            await asyncio.sleep(interval)

    async def flush(self) -> None:
        """Write at once what is new; a failure is only logged."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                if self._versions_differ():
                    await self._write()
        except (StoreError, TimeoutError) as error:
            self._log("origins_not_written", reason=str(error) or "no answer within the time-out")

    def _versions_differ(self) -> bool:
        registry, now = self._state.registry, read_clock()
        return have_several(
            registry.list_versions_since(service, USUAL_STREAM_AGE_S, now)
            for service in registry.list_versions()
        )

    def _are_several_recorded(self) -> bool:
        return have_several(self._state.version_history.list_recorded())

    async def _load(self) -> None:
        """Read the rows of all if streams of several versions may be open."""
        while not self._state.version_history.is_known:
            await self._state.changed.wait(CHECK_INTERVAL_S)
        if self._are_several_recorded():
            rows = await self._read_until_answered()
            for entry in rows.get(self._state.settings.instance, ()):
                # Written by an earlier process; its streams can still be taken up.
                self._batch.record(entry, read_clock())
            self.on_loaded([entry for row in rows.values() for entry in row])
            self._log("origins_read", count=sum(len(row) for row in rows.values()))
        self.is_loaded = True
        self._state.changed.notify_all()

    async def read(self) -> dict[int, int]:
        """Return the origins of streams in the store, if several versions may have begun them.

        Raise `StoreError` on failure.
        """
        if not self._versions_differ() and not self._are_several_recorded():
            return {}
        rows = await self._read_rows()
        return {entry.stream: entry.origin for row in rows.values() for entry in row}

    async def _read_until_answered(self) -> dict[str, list[StreamOrigin]]:
        while True:
            try:
                return await self._read_rows()
            except StoreError as error:
                self._log("origins_not_read", reason=str(error))
            await asyncio.sleep(BACKOFF_S)

    async def _read_rows(self) -> dict[str, list[StreamOrigin]]:
        """Return the entries in the store by the instance that wrote them."""
        page = await self._store.read_table(ORIGIN_TABLE)
        rows: dict[str, list[StreamOrigin]] = {}
        for row in page.rows:
            try:
                rows[row.key] = decode_msgpack(row.value or b"\x90", type=list[StreamOrigin])
            except msgspec.MsgspecError as error:
                self._log("row_unreadable", row=row.key, reason=str(error))
            if row.key == self._state.settings.instance:
                self._has_row = True
        return rows

    async def _write(self) -> None:
        if not self._batch.has_new:
            return
        data = msgspec.msgpack.encode(self._batch.list_recent(read_clock()))
        self._has_row = True
        try:
            await self._store.put_row(ORIGIN_TABLE, self._state.settings.instance, data)
        except BaseException:
            # Without this, the streams would not be written until another one begins.
            self._batch.has_new = True
            raise
        self._state.metrics.increment_counter(codes.ORIGINS_WRITTEN)

    async def _remove(self) -> None:
        await self._store.remove_row(ORIGIN_TABLE, self._state.settings.instance)
        self._has_row = False

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)
