"""Carries out the core's calls to the platform; what came of each goes back as an event."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.shell._metrics import Metrics
from rhubarbbend.storage import PlatformClient, PlatformError

SNAPSHOT_OBJECT: Final = "configuration-snapshot"

Feed = Callable[[events.Event], None]
Spawn = Callable[[Coroutine[Any, Any, None]], None]


class PlatformCalls:
    """One call for each action. Invariant: each that the core waits for ends in an event."""

    def __init__(self, client: PlatformClient, feed: Feed, spawn: Spawn, metrics: Metrics) -> None:
        self._platform = client
        self._feed = feed
        self._spawn = spawn
        self._metrics = metrics

    def list_performers(self) -> dict[type[actions.Action], Callable[[Any], None]]:
        """Map the actions of the platform to what carries them out."""
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
            entries = await self._platform.read_list()
        except PlatformError:
            self._metrics.add(codes.PLATFORM_ERRORS)
            return
        self._feed(events.ListRead(entries))

    async def _write_rows(self, action: actions.WriteRows) -> None:
        try:
            applied, rows = await self._platform.write_rows(action.writes, action.atomic)
        except PlatformError:
            self._feed(events.WriteDone(action.op, "unknown"))
            return
        self._feed(events.WriteDone(action.op, "done", applied, rows))

    async def _read_row(self, action: actions.ReadRow) -> None:
        try:
            row = await self._platform.read_row(action.table, action.key)
        except PlatformError:
            self._feed(events.RowsRead(action.op, "failed"))
            return
        self._feed(events.RowsRead(action.op, "done", [] if row is None else [row]))

    async def _scan_rows(self, action: actions.ScanRows) -> None:
        try:
            rows = await self._platform.scan_rows(action.table, action.after, action.limit)
        except PlatformError:
            self._feed(events.RowsRead(action.op, "failed"))
            return
        self._feed(events.RowsRead(action.op, "done", rows))

    async def _read_snapshot(self) -> None:
        try:
            data = await self._platform.read_object(SNAPSHOT_OBJECT)
        except PlatformError:
            self._feed(events.SnapshotRead("failed"))
            return
        self._feed(events.SnapshotRead("done", data))

    async def _write_snapshot(self, action: actions.WriteSnapshot) -> None:
        try:
            await self._platform.write_object(SNAPSHOT_OBJECT, action.data)
        except PlatformError:
            self._metrics.add(codes.PLATFORM_ERRORS)
            self._feed(events.SnapshotWritten("failed"))
            return
        self._feed(events.SnapshotWritten("done"))
