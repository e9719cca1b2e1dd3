"""Keeps a recent snapshot of the whole configuration in the object store.

An instance that starts loads the snapshot and then reads only the changes after it.
"""

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
# Each instance that finds the snapshot outdated checks the stored version after a random delay of
# up to this time, so that usually only one instance writes a new snapshot.
MAX_CHECK_DELAY_S: Final = 20.0


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration at a version, loaded by instances that start."""

    version: int
    items: list[Item]


class SnapshotWriter:
    """Stores a snapshot when none is recent.

    Invariant: at most one check or write is in progress on this instance.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._stored_version = 0
        self._check_in_progress = False
        self._writing_version = 0

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return handlers of replies of the table and of the object store."""
        return {
            events.RowsRead: self._handle_row,
            events.SnapshotWritten: self._handle_written,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return no handlers: no peer messages are needed."""
        return {}

    def record_stored(self, version: int) -> None:
        """Record that the object store holds a snapshot of a version."""
        self._stored_version = max(self._stored_version, version)

    def schedule_check(self, now: float) -> None:
        """Schedule a check, after a random delay, of whether a new snapshot has to be written.

        Every instance does this, because the one that accepted the changes may have stopped.
        Without a recent snapshot, each instance that starts would read every change since the
        first. Nothing is scheduled if the newest known snapshot is recent enough.
        """
        due = self._stored_version + self._context.options.snapshot_every
        if self._check_in_progress or self._context.configuration.version < due:
            return
        self._check_in_progress = True
        delay = self._context.random.uniform(0.0, MAX_CHECK_DELAY_S)
        self._context.set_timer(now + delay, self._read_row)

    def _read_row(self, now: float) -> None:
        self._context.emit(actions.ReadRow(SNAPSHOT_READ_OP, STATE_TABLE, SNAPSHOT_ROW))

    def _handle_row(self, event: events.RowsRead, now: float) -> None:
        if event.op != SNAPSHOT_READ_OP:
            return
        if event.status != "done":
            self._check_in_progress = False
            return
        if event.rows:
            value = event.rows[0].value
            row_version = int(value) if value.isdigit() else 0
            self._stored_version = max(self._stored_version, row_version)
        configuration = self._context.configuration
        if configuration.version < self._stored_version + self._context.options.snapshot_every:
            self._check_in_progress = False
            return
        self._writing_version = configuration.version
        snapshot = Snapshot(configuration.version, configuration.list_changes_after(0))
        self._context.emit(actions.WriteSnapshot(msgspec.msgpack.encode(snapshot)))

    def _handle_written(self, event: events.SnapshotWritten, now: float) -> None:
        self._check_in_progress = False
        if event.status != "done":
            return
        self._stored_version = max(self._stored_version, self._writing_version)
        self._context.count(codes.CONFIG_SNAPSHOTS)
        value = str(self._writing_version).encode("ascii")
        write = actions.Write(STATE_TABLE, SNAPSHOT_ROW, value, -1)
        self._context.emit(actions.WriteRows(SNAPSHOT_WRITE_OP, [write]))
