"""The follower duty: keeps the configuration at the newest accepted version.

Instances read only the changes after their own version: from the table, from the instance that
accepted a change and sends it on, or from any peer whose heartbeat shows a newer version.
"""

from __future__ import annotations

from typing import Final

import attrs
import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.accepted._snapshots import Snapshot, SnapshotDuty
from rhubarbbend.core.configuration import Item, Position
from rhubarbbend.core.members._polls import SharedPoll
from rhubarbbend.core.messages import ConfigItem, ConfigQuery, ConfigReply, Message

CHANGE_TABLE: Final = "changes"
SCAN_OP: Final = "config:scan"
SCAN_LIMIT: Final = 100
# A page is bounded in bytes well below a peer frame; one declaration may go over it.
PAGE_ITEMS: Final = 500
PAGE_BYTES: Final = 65_536
# A change up to this size is sent to every instance at once; of a larger one, only the version.
PUSH_BYTES: Final = 8_192
# A read whose answer never came is given up after this long.
SCAN_TIMEOUT: Final = 5.0
FOLLOW_TIMEOUT: Final = 1.0
START_PEERS: Final = 3
# An instance that starts waits this long for a peer's word before it trusts the table alone.
START_PATIENCE: Final = 3.0


class Change(msgspec.Struct, frozen=True):
    """An accepted change set as stored; an item's empty value removes the declaration."""

    version: int
    change_id: str
    author: str
    items: list[tuple[str, str, bytes]]

    def list_items(self) -> list[Item]:
        """List the items with the version that they came in."""
        return [Item(kind, name, self.version, value) for kind, name, value in self.items]


@attrs.define(slots=True)
class Download:
    """Pages of one peer that are not in force yet; `position` is the last item's."""

    peer: str
    after: int
    position: Position
    items: list[Item] = attrs.Factory(list)


def make_change_key(version: int) -> str:
    """Make the table key of a version; keys sort as versions do."""
    return f"{version:016d}"


class FollowerDuty:
    """Follows accepted changes. Invariant: the version in force only grows."""

    def __init__(self, context: Context, snapshots: SnapshotDuty) -> None:
        self._context = context
        self._snapshots = snapshots
        self._poll = SharedPoll(context, context.options.config_interval)
        self._started_at = 0.0
        self._scanning_since = -1.0
        self._table_read = False
        self._list_read = False
        self._peer_heard = False
        self._peer_complete = False
        self._download: Download | None = None
        self._following_until = 0.0
        self._unreadable_key = ""

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start and the platform's answers."""
        return {
            events.Started: self._start,
            events.ListRead: self._handle_list,
            events.SnapshotRead: self._handle_snapshot,
            events.RowsRead: self._handle_rows,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle what peers ask and tell of the configuration."""
        return {ConfigQuery: self._handle_query, ConfigReply: self._handle_reply}

    def scan(self, now: float) -> None:
        """Read the changes after the version in force, unless a read is under way."""
        if self._scanning_since >= 0 and now - self._scanning_since < SCAN_TIMEOUT:
            return
        self._scanning_since = now
        after = make_change_key(self._context.configuration.version)
        self._context.emit(actions.ScanRows(SCAN_OP, CHANGE_TABLE, after, SCAN_LIMIT))

    def take_change(self, change: Change) -> None:
        """Put the change after the version in force in force; any other changes nothing."""
        version = self._context.configuration.version
        if change.version == version + 1:
            self._apply(change.version, change.list_items())
        elif change.version <= version:
            # A copy of the table that lags serves old rows.
            self._context.count(codes.CONFIG_STALE)

    def push(self, change: Change, now: float) -> None:
        """Send a change that was just accepted here to every instance.

        The platform may fail between the acceptance and the next read of the others. Heartbeats
        would bring it to the own zone in a second and to the rest in some more; a zone that is
        out of service would get work in between.
        """
        context = self._context
        size = sum(len(value) for _, _, value in change.items)
        message = ConfigReply(after=change.version, version=change.version)
        if size <= PUSH_BYTES:
            message = _make_reply(change.version - 1, change.version, change.list_items())
        for peer in context.fleet.instances:
            if peer != context.identity.instance:
                context.send(peer, message)
                context.count(codes.CONFIG_PUSHED)

    def follow(self, peer: str, version: int, now: float) -> None:
        """Ask a peer for what it has beyond the version in force.

        One peer is asked at a time: after a change every heartbeat shows a newer version, and the
        same pages would otherwise come from each instance of the zone.
        """
        if version > self._context.configuration.version and now >= self._following_until:
            self._ask(peer, now)

    # The table and the snapshot.

    def _start(self, event: events.Started, now: float) -> None:
        self._started_at = now
        # The first scan starts where the snapshot ends.
        self._scanning_since = now
        self._context.emit(actions.ReadSnapshot())
        self._context.repeat(self._context.options.config_interval, self._tick, now)

    def _tick(self, now: float) -> None:
        if not self._context.config_ready:
            self._ask_some(now)
            self._check_ready(now)
        if self._poll.take_turn(now) or not self._context.config_ready:
            self.scan(now)

    def _handle_list(self, event: events.ListRead, now: float) -> None:
        if not self._list_read:
            self._list_read = True
            self._ask_some(now)
            self._check_ready(now)

    def _handle_snapshot(self, event: events.SnapshotRead, now: float) -> None:
        self._scanning_since = -1.0
        if event.data:
            self._take_snapshot(event.data)
        self.scan(now)

    def _take_snapshot(self, data: bytes) -> None:
        try:
            snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        except msgspec.MsgspecError:
            self._context.log("snapshot_unreadable")
            return
        self._apply(snapshot.version, snapshot.items)
        self._snapshots.note_stored(snapshot.version)

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
        before = context.configuration.version
        for row in event.rows:
            self._take_row(row)
        if len(event.rows) >= SCAN_LIMIT and context.configuration.version > before:
            self.scan(now)
            return
        self._table_read = True
        self._check_ready(now)
        self._snapshots.check(now)

    def _take_row(self, row: events.Row) -> None:
        try:
            change = msgspec.json.decode(row.value, type=Change)
        except msgspec.MsgspecError:
            self._context.count(codes.CONFIG_UNREADABLE)
            if self._unreadable_key != row.key:
                self._unreadable_key = row.key
                self._context.log("change_unreadable", key=row.key)
            return
        self.take_change(change)

    def _apply(self, version: int, items: list[Item]) -> None:
        configuration = self._context.configuration
        unreadable = len(configuration.unreadable)
        if not configuration.apply(version, items):
            self._context.count(codes.CONFIG_STALE)
            return
        self._context.count(codes.CONFIG_APPLIED)
        self._context.log("configuration_applied", version=str(version))
        if len(configuration.unreadable) > unreadable:
            self._context.count(codes.CONFIG_UNREADABLE)
            self._context.log("declaration_unreadable", version=str(version))

    def _check_ready(self, now: float) -> None:
        """Become ready once there is reason to think that no newer version was accepted.

        A table that serves old reads looks complete. Taken alone, it would bring a change that
        operators have made back to what it was, for callers of an instance that was restarted;
        hence a peer is asked too, whose version never went down.
        """
        context = self._context
        if context.config_ready or not context.members_known:
            # Without any target known every request would be refused, which others could serve.
            return
        alone = self._list_read and len(context.fleet.instances) <= 1
        late = now - self._started_at >= START_PATIENCE
        checked = self._table_read and (self._peer_heard or alone or late)
        if not checked and not self._peer_complete:
            return
        context.config_ready = True
        context.log("configuration_ready", version=str(context.configuration.version))
        if not context.stopping:
            context.emit(actions.SetReady(True))

    # Peers.

    def _ask_some(self, now: float) -> None:
        """Ask a few instances, the own zone's first; one that starts may find no platform."""
        context = self._context
        own = context.identity
        peers = [view for view in context.fleet.instances.values() if view.id != own.instance]
        context.random.shuffle(peers)
        peers.sort(key=lambda view: view.zone != own.zone)
        for view in [*peers[: START_PEERS - 1], *peers[-1:]]:
            self._ask(view.id, now)

    def _ask(self, peer: str, now: float) -> None:
        self._following_until = now + FOLLOW_TIMEOUT
        version = self._context.configuration.version
        self._send_query(peer, version, Position(version + 1))

    def _send_query(self, peer: str, after: int, position: Position) -> None:
        query = ConfigQuery(
            instance=self._context.identity.instance,
            after=after,
            from_version=position.version,
            from_kind=position.kind,
            from_name=position.name,
        )
        self._context.send(peer, query)

    def _handle_query(self, sender: str, message: ConfigQuery, now: float) -> None:
        """Give a peer one page of what changed after its version."""
        configuration = self._context.configuration
        if not self._context.config_ready:
            self._context.send(sender, ConfigReply(after=message.after, ready=False))
            return
        position = Position(message.from_version, message.from_kind, message.from_name)
        position = max(position, Position(message.after + 1))
        page: list[Item] = []
        size = 0
        found = configuration.list_from(position, PAGE_ITEMS + 1)
        for item in found[:PAGE_ITEMS]:
            if size >= PAGE_BYTES:
                break
            page.append(item)
            size += len(item.value) + len(item.name)
        reply = _make_reply(message.after, configuration.version, page)
        reply.more = len(page) < len(found)
        reply.from_version, reply.from_kind, reply.from_name = position
        self._context.send(sender, reply)

    def _handle_reply(self, sender: str, message: ConfigReply, now: float) -> None:
        self._peer_heard = True
        version = self._context.configuration.version
        if message.ready and message.version > version:
            self._take_page(sender, message, now)
        elif message.ready:
            self._peer_complete = True
            self._following_until = now
            if message.version < version:
                self._context.count(codes.CONFIG_STALE)
        self._check_ready(now)

    def _take_page(self, sender: str, message: ConfigReply, now: float) -> None:
        """Collect pages and put them in force together, as one step to the sender's version.

        A page taken alone would claim a version some of whose declarations come only with a
        later page, because the sender holds just the newest value of each.
        """
        if message.after > self._context.configuration.version:
            self.follow(sender, message.version, now)
            return
        position = Position(message.from_version, message.from_kind, message.from_name)
        download = self._find_download(sender, message.after, position)
        if download is None:
            return
        download.items.extend(Item(i.kind, i.name, i.version, i.value) for i in message.items)
        if message.more and message.items:
            last = download.items[-1]
            download.position = Position(last.version, last.kind, last.name)
            self._download = download
            self._following_until = now + FOLLOW_TIMEOUT
            self._send_query(sender, message.after, download.position)
            return
        self._following_until = now
        self._context.count(codes.CONFIG_FROM_PEER)
        self._apply(message.version, download.items)
        self._peer_complete = True

    def _find_download(self, sender: str, after: int, position: Position) -> Download | None:
        """Find the download that a page continues; None for a page of one that was given up."""
        if position <= Position(after + 1):
            return Download(sender, after, position)
        known = self._download
        if known is None or known.peer != sender or known.after != after:
            return None
        return known if known.position == position else None


def _make_reply(after: int, version: int, items: list[Item]) -> ConfigReply:
    return ConfigReply(
        after=after,
        version=version,
        items=[ConfigItem(i.kind, i.name, i.version, i.value) for i in items],
    )
