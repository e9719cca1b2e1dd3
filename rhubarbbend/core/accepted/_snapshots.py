"""The snapshot duty: keeps a recent copy of the whole configuration in the object store."""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.configuration import Item
from rhubarbbend.core.messages import Message

STATE_TABLE: Final = "config_state"
SNAPSHOT_ROW: Final = "snapshot"
SNAPSHOT_READ_OP: Final = "config:snapshot:read"
SNAPSHOT_WRITE_OP: Final = "config:snapshot:write"
# Instances that notice an old snapshot look again within this time, so that one writes it.
SNAPSHOT_SPREAD: Final = 20.0


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration at a version, for instances that start."""

    version: int
    items: list[Item]


class SnapshotDuty:
    """Stores a snapshot when none is recent. Invariant: at most one look or write is under way."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._stored = 0
        self._checking = False
        self._writing = 0

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the row that tells the newest snapshot, and the object store's answer."""
        return {
            events.RowsRead: self._handle_row,
            events.SnapshotWritten: self._handle_written,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle no messages."""
        return {}

    def note_stored(self, version: int) -> None:
        """Note a version whose snapshot is in the object store."""
        self._stored = max(self._stored, version)

    def check(self, now: float) -> None:
        """Look, at a time drawn at random, whether another has stored a snapshot already.

        Whoever accepted the changes may be gone; without a recent snapshot each start would read
        every change since the first.
        """
        due = self._stored + self._context.options.snapshot_every
        if self._checking or self._context.configuration.version < due:
            return
        self._checking = True
        delay = self._context.random.uniform(0.0, SNAPSHOT_SPREAD)
        self._context.set_timer(now + delay, self._read_row)

    def _read_row(self, now: float) -> None:
        self._context.emit(actions.ReadRow(SNAPSHOT_READ_OP, STATE_TABLE, SNAPSHOT_ROW))

    def _handle_row(self, event: events.RowsRead, now: float) -> None:
        if event.op != SNAPSHOT_READ_OP:
            return
        if event.status != "done":
            self._checking = False
            return
        if event.rows:
            stored = event.rows[0].value
            known = int(stored) if stored.isdigit() else 0
            self._stored = max(self._stored, known)
        configuration = self._context.configuration
        if configuration.version < self._stored + self._context.options.snapshot_every:
            self._checking = False
            return
        self._writing = configuration.version
        snapshot = Snapshot(configuration.version, configuration.list_after(0))
        self._context.emit(actions.WriteSnapshot(msgspec.msgpack.encode(snapshot)))

    def _handle_written(self, event: events.SnapshotWritten, now: float) -> None:
        self._checking = False
        if event.status != "done":
            return
        self._stored = max(self._stored, self._writing)
        self._context.count(codes.CONFIG_SNAPSHOTS)
        value = str(self._writing).encode("ascii")
        write = actions.Write(STATE_TABLE, SNAPSHOT_ROW, value, -1)
        self._context.emit(actions.WriteRows(SNAPSHOT_WRITE_OP, [write]))
