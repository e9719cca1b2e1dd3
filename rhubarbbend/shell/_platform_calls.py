"""Carry out the core's calls to the platform and report the result of each as an event."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.shell._metrics import Metrics
from rhubarbbend.storage import PlatformClient, PlatformError

SNAPSHOT_OBJECT: Final = "configuration-snapshot"

SubmitEvent = Callable[[events.Event], None]
Spawn = Callable[[Coroutine[Any, Any, None]], None]


class PlatformCalls:
    """Make one call to the platform for each action.

    Invariant: each call whose result the core waits for ends in an event.
    """

    def __init__(
        self, client: PlatformClient, submit_event: SubmitEvent, spawn: Spawn, metrics: Metrics
    ) -> None:
        self._client = client
        self._submit_event = submit_event
        self._spawn = spawn
        self._metrics = metrics

    def get_action_handlers(self) -> dict[type[actions.Action], Callable[[Any], None]]:
        """Return the handlers of the platform actions, by action class."""
        return {
            actions.ReadList: lambda action: self._spawn(self._read_list()),
            actions.WriteRows: lambda action: self._spawn(self._write_rows(action)),
            actions.ReadRow: lambda action: self._spawn(self._read_row(action)),
            actions.ScanRows: lambda action: self._spawn(self._scan_rows(action)),
            actions.ReadSnapshot: lambda action: self._spawn(self._read_snapshot()),
            actions.WriteSnapshot: lambda action: self._spawn(self._write_snapshot(action)),
        }

    async def _read_list(self) -> None:
        try:
            entries = await self._client.read_instance_list()
        except PlatformError:
            self._metrics.add(codes.PLATFORM_ERRORS)
            return
        self._submit_event(events.ListRead(entries))

    async def _write_rows(self, action: actions.WriteRows) -> None:
        try:
            applied, rows = await self._client.write_rows(action.writes, action.atomic)
        except PlatformError:
            self._submit_event(events.WriteDone(action.op, "unknown"))
            return
        self._submit_event(events.WriteDone(action.op, "done", applied, rows))

    async def _read_row(self, action: actions.ReadRow) -> None:
        try:
            row = await self._client.read_row(action.table, action.key)
        except PlatformError:
            self._submit_event(events.RowsRead(action.op, "failed"))
            return
        self._submit_event(events.RowsRead(action.op, "done", [] if row is None else [row]))

    async def _scan_rows(self, action: actions.ScanRows) -> None:
        try:
            rows = await self._client.scan_rows(action.table, action.after, action.limit)
        except PlatformError:
            self._submit_event(events.RowsRead(action.op, "failed"))
            return
        self._submit_event(events.RowsRead(action.op, "done", rows))

    async def _read_snapshot(self) -> None:
        try:
            data = await self._client.read_object(SNAPSHOT_OBJECT)
        except PlatformError:
            self._submit_event(events.SnapshotRead("failed"))
            return
        self._submit_event(events.SnapshotRead("done", data))

    async def _write_snapshot(self, action: actions.WriteSnapshot) -> None:
        try:
            await self._client.write_object(SNAPSHOT_OBJECT, action.data)
        except PlatformError:
            self._metrics.add(codes.PLATFORM_ERRORS)
            self._submit_event(events.SnapshotWritten("failed"))
            return
        self._submit_event(events.SnapshotWritten("done"))
