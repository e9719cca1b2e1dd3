"""Records in the store which versions of each service may have begun streams that are still open.

After a loss of all instances nobody remembers which version began a stream. An instance that reads
these records knows at least whether more than one can have.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import msgspec

from rhubarbbend.core.streams import (
    STREAM_RETENTION_S,
    UNKNOWN_VERSION,
    VersionRecord,
    extend_record,
    reduce_record,
)
from rhubarbbend.decoding import decode_json
from rhubarbbend.gateway._state import VERSION_TABLE, State, read_clock
from rhubarbbend.storage import RowPut, RowStore, RowVersion, StoreError

# How often expired versions are looked for.
CHECK_INTERVAL_S: Final = 1.0
# After a call that failed, the store is left alone for this long.
BACKOFF_S: Final = 1.0

# Returns the new record of a service, given the present one.
RecordUpdate = Callable[[VersionRecord | None], VersionRecord | None]


class VersionRecorder:
    """Keeps the records of all services.

    Invariant: a write replaces only the record that it is based on, so a version that another
    instance has recorded meanwhile is not lost.
    """

    def __init__(self, state: State, store: RowStore) -> None:
        self._state = state
        self._store = store
        self._retry_at = -math.inf

    async def run(self) -> None:
        """Record versions that have registered and remove those that expired, until the stop."""
        while not self._state.stopping:
            if read_clock() >= self._retry_at:
                await self._update_all()
            await self._state.changed.wait(CHECK_INTERVAL_S)

    async def _update_all(self) -> None:
        if not self._state.version_history.is_known:
            try:
                await self.read_table()
            except StoreError as error:
                self._retry_at = read_clock() + BACKOFF_S
                self._log("versions_not_read", reason=str(error))
        if self._state.version_history.is_known:
            await self._record_missing(read_clock())
            await self._remove_expired(read_clock())

    async def read_table(self) -> None:
        """Read the records of all services; raise `StoreError` on failure."""
        page = await self._store.read_table(VERSION_TABLE)
        records: dict[str, VersionRecord] = {}
        for row in page.rows:
            try:
                record = decode_record(row.value)
            except msgspec.MsgspecError as error:
                # Without a readable record, no version of the service counts as the only one.
                self._log("row_unreadable", row=row.key, reason=str(error))
                record = VersionRecord((UNKNOWN_VERSION,))
            if record is not None:
                records[row.key] = record
        self._state.version_history.record_table(records)
        self._state.changed.notify_all()

    async def _record_missing(self, now: float) -> None:
        registry, history = self._state.registry, self._state.version_history
        registered = registry.list_versions()
        for service in history.list_missing(registered, self._state.list_instance_ids(), now):
            is_first_start = self._state.settings.is_first_start
            extend = partial(
                extend_record, versions=registered[service], is_first_start=is_first_start
            )
            await self._update(service, extend)

    async def _remove_expired(self, now: float) -> None:
        registry, history = self._state.registry, self._state.version_history
        if not registry.has_followed(STREAM_RETENTION_S, now):
            return
        for service in registry.list_versions():
            seen = registry.list_versions_since(service, STREAM_RETENTION_S, now)
            expired = history.list_expired(service, seen)
            if expired:
                await self._update(service, partial(reduce_record, expired=expired))

    async def _update(self, service: str, update: RecordUpdate) -> None:
        """Replace a service's record, unless another instance does so at the same time."""
        try:
            row = await self._store.read_row(VERSION_TABLE, service)
            before = decode_record(row.value)
            after = update(before)
            if after is not None and after != before:
                await self._store.write_rows(
                    [RowPut(VERSION_TABLE, service, msgspec.json.encode(after))],
                    [RowVersion(VERSION_TABLE, service, row.version)],
                )
                self._log("versions_recorded", service=service, versions=list(after.versions))
        except (StoreError, msgspec.MsgspecError) as error:
            self._retry_at = read_clock() + BACKOFF_S
            self._log("versions_not_recorded", service=service, reason=str(error))
        else:
            self._state.version_history.record_row(service, after)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)


def decode_record(value: bytes | None) -> VersionRecord | None:
    """Return the record in a row, None if there is none; raise `MsgspecError` if it is invalid."""
    return None if value is None else decode_json(value, type=VersionRecord)
