"""The follower duty: keeps the configuration at the newest accepted version.

A change is accepted by one conditional insert of version n+1 in the platform's table, together
with a row for its change id, so that a retry finds the version it already has. Instances read
only the changes after their own version, from the table or, when it is away, from one another.
"""

from __future__ import annotations

from typing import Final

import attrs
import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.configuration import KINDS, Item, decode_declaration
from rhubarbbend.core.messages import ConfigItem, ConfigQuery, ConfigReply, Message

CHANGE_TABLE: Final = "changes"
CHANGE_ID_TABLE: Final = "change_ids"
SCAN_OP: Final = "config:scan"
OP_PREFIX: Final = "config:write:"
SCAN_LIMIT: Final = 100
PAGE_ITEMS: Final = 500
REPEAT_INTERVAL: Final = 0.2

ERROR_INVALID: Final = "invalid_change"
ERROR_CONFLICT: Final = "version_conflict"
ERROR_UNKNOWN: Final = "outcome_unknown"


class Change(msgspec.Struct, frozen=True):
    """An accepted change set as stored; an item's empty value removes the declaration."""

    version: int
    change_id: str
    author: str
    items: list[tuple[str, str, bytes]]


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration at a version, for instances that start."""

    version: int
    items: list[Item]


@attrs.define(slots=True)
class Proposal:
    """An operator's change on its way to the table."""

    op: str
    change: Change
    since: float


def make_change_key(version: int) -> str:
    """Make the table key of a version; keys sort as versions do."""
    return f"{version:016d}"


class FollowerDuty:
    """Follows accepted changes. Invariant: the version in force only grows."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._proposals: dict[str, Proposal] = {}
        self._next_op = 0
        self._scanning_since = -1.0
        self._snapshot_version = 0

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start, the platform's answers and operators' changes."""
        return {
            events.Started: self._start,
            events.SnapshotRead: self._handle_snapshot,
            events.RowsRead: self._handle_rows,
            events.WriteDone: self._handle_write,
            events.ChangeProposed: self._handle_proposal,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle what peers ask and tell of the configuration."""
        return {ConfigQuery: self._handle_query, ConfigReply: self._handle_reply}

    def _start(self, event: events.Started, now: float) -> None:
        self._context.emit(actions.ReadSnapshot())
        self._context.repeat(self._context.options.config_interval, self._scan, now)

    def _scan(self, now: float) -> None:
        """Read the changes after the version in force, unless a read is under way."""
        if not self._context.config_ready:
            self._ask_peers()
        if self._scanning_since >= 0:
            return
        self._scanning_since = now
        after = make_change_key(self._context.configuration.version)
        self._context.emit(actions.ScanRows(SCAN_OP, CHANGE_TABLE, after, SCAN_LIMIT))

    def _ask_peers(self) -> None:
        """Ask every known instance; an instance that starts may find the platform away."""
        context = self._context
        query = ConfigQuery(instance=context.identity.instance, after=context.configuration.version)
        for peer in context.fleet.instances:
            if peer != context.identity.instance:
                context.send(peer, query)

    def _handle_snapshot(self, event: events.SnapshotRead, now: float) -> None:
        if not event.data:
            return
        try:
            snapshot = msgspec.msgpack.decode(event.data, type=Snapshot)
        except msgspec.MsgspecError:
            self._context.log("snapshot_unreadable")
            return
        self._apply(snapshot.version, snapshot.items)
        self._snapshot_version = max(self._snapshot_version, snapshot.version)

    def _handle_rows(self, event: events.RowsRead, now: float) -> None:
        if event.op != SCAN_OP:
            return
        self._scanning_since = -1.0
        context = self._context
        if event.status != "done":
            context.platform_failed = now
            context.count(codes.PLATFORM_ERRORS)
            return
        context.platform_worked = now
        for row in event.rows:
            self._apply_row(row)
        if len(event.rows) >= SCAN_LIMIT:
            self._scan(now)
        elif not context.config_ready:
            self._set_ready()

    def _set_ready(self) -> None:
        context = self._context
        context.config_ready = True
        context.log("configuration_ready", version=str(context.configuration.version))
        if not context.stopping:
            context.emit(actions.SetReady(True))

    def _apply_row(self, row: events.Row) -> None:
        try:
            change = msgspec.json.decode(row.value, type=Change)
        except msgspec.MsgspecError:
            self._context.log("change_unreadable", key=row.key)
            return
        self._apply_change(change)

    def _apply_change(self, change: Change) -> None:
        version = self._context.configuration.version
        if change.version != version + 1:
            # A copy of the table that lags may serve old rows, or rows with a gap.
            if change.version <= version:
                self._context.count(codes.CONFIG_STALE)
            return
        items = [Item(kind, name, change.version, value) for kind, name, value in change.items]
        self._apply(change.version, items)

    def _apply(self, version: int, items: list[Item]) -> None:
        if not self._context.configuration.apply(version, items):
            self._context.count(codes.CONFIG_STALE)
            return
        self._context.count(codes.CONFIG_APPLIED)
        self._context.log("configuration_applied", version=str(version))

    # Peers.

    def _handle_query(self, sender: str, message: ConfigQuery, now: float) -> None:
        """Give a peer what changed after its version, in pages that end between versions."""
        configuration = self._context.configuration
        if configuration.version <= message.after or not self._context.config_ready:
            return
        changed = configuration.list_after(message.after)
        page = changed[:PAGE_ITEMS]
        version = configuration.version
        if len(changed) > len(page):
            last = page[-1].version
            page = [item for item in changed if item.version <= last]
            version = last
        items = [ConfigItem(i.kind, i.name, i.version, i.value) for i in page]
        self._context.send(sender, ConfigReply(after=message.after, version=version, items=items))

    def _handle_reply(self, sender: str, message: ConfigReply, now: float) -> None:
        context = self._context
        version = context.configuration.version
        if message.version <= version or message.after > version:
            context.count(codes.CONFIG_STALE)
            return
        items = [Item(i.kind, i.name, i.version, i.value) for i in message.items]
        self._apply(message.version, items)
        context.count(codes.CONFIG_FROM_PEER)
        if not context.config_ready:
            self._set_ready()
        query = ConfigQuery(instance=context.identity.instance, after=context.configuration.version)
        context.send(sender, query)

    # Operators.

    def _handle_proposal(self, event: events.ChangeProposed, now: float) -> None:
        problem = self._check_items(event.items)
        if problem:
            self._context.emit(actions.AnswerOperator(event.op, f"{ERROR_INVALID}: {problem}", 0))
            return
        change = Change(event.base_version + 1, event.change_id, event.author, event.items)
        self._write(Proposal(event.op, change, now))

    def _check_items(self, items: list[tuple[str, str, bytes]]) -> str:
        if not items:
            return "the change set is empty"
        for kind, name, value in items:
            if kind not in KINDS:
                return f"unknown kind {kind!r}"
            if not value:
                continue
            try:
                declared = decode_declaration(kind, value)
            except msgspec.MsgspecError as error:
                return f"{kind} {name!r}: {error}"
            if declared.name != name:
                return f"{kind} {name!r} is named {declared.name!r} inside"
        return ""

    def _write(self, proposal: Proposal) -> None:
        """Insert the next version and the change id; both or neither."""
        self._next_op += 1
        op = f"{OP_PREFIX}{self._next_op}"
        self._proposals[op] = proposal
        change = proposal.change
        writes = [
            actions.Write(
                CHANGE_TABLE, make_change_key(change.version), msgspec.json.encode(change), 0
            ),
            actions.Write(
                CHANGE_ID_TABLE, change.change_id, str(change.version).encode("ascii"), 0
            ),
        ]
        self._context.emit(actions.WriteRows(op, writes, atomic=True))

    def _handle_write(self, event: events.WriteDone, now: float) -> None:
        proposal = self._proposals.pop(event.op, None)
        if proposal is None:
            return
        if event.status != "done":
            self._repeat(proposal, now)
            return
        change = proposal.change
        winner, accepted = event.rows
        if all(event.applied):
            self._accept(proposal, change.version, now)
        elif accepted is not None:
            # The same change id was accepted before: the answer to that write was lost.
            self._accept(proposal, int(accepted.value), now)
        else:
            author = _read_author(winner)
            answer = actions.AnswerOperator(proposal.op, ERROR_CONFLICT, change.version, author)
            self._context.emit(answer)
            self._scan(now)

    def _repeat(self, proposal: Proposal, now: float) -> None:
        """Send the same write again: it is accepted once however often it arrives."""
        if now - proposal.since < self._context.options.config_write_timeout:
            self._context.set_timer(now + REPEAT_INTERVAL, lambda at: self._write(proposal))
            return
        self._context.emit(actions.AnswerOperator(proposal.op, ERROR_UNKNOWN, 0))

    def _accept(self, proposal: Proposal, version: int, now: float) -> None:
        if version == proposal.change.version:
            self._apply_change(proposal.change)
        self._context.log("change_accepted", version=str(version), author=proposal.change.author)
        self._context.emit(actions.AnswerOperator(proposal.op, "", version))
        self._scan(now)
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        configuration = self._context.configuration
        due = self._snapshot_version + self._context.options.snapshot_every
        if configuration.version < due:
            return
        self._snapshot_version = configuration.version
        snapshot = Snapshot(configuration.version, configuration.list_after(0))
        self._context.emit(actions.WriteSnapshot(msgspec.msgpack.encode(snapshot)))


def _read_author(row: events.Row | None) -> str:
    if row is None:
        return ""
    try:
        return msgspec.json.decode(row.value, type=Change).author
    except msgspec.MsgspecError:
        return ""
