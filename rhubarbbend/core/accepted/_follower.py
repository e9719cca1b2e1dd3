"""Replicates the accepted configuration to this instance.

An instance reads only the changes after its own version. They come from the change table, from
the instance that accepted a change and broadcasts it, or from any peer whose heartbeat or zone
message shows a newer version.
"""

from __future__ import annotations

from typing import Final

import attrs
import msgspec

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.accepted._snapshots import Snapshot, SnapshotWriter
from rhubarbbend.core.configuration import Item, Position
from rhubarbbend.core.members._poll_scheduler import ZonePollScheduler
from rhubarbbend.core.messages import ConfigItem, ConfigQuery, ConfigReply, Message
from rhubarbbend.decoding import decode_json, decode_msgpack

CHANGE_TABLE: Final = "changes"
CHANGE_SCAN_OP: Final = "config:scan"
MAX_SCAN_ROWS: Final = 100
# Limits of one page sent to a peer, well below the size of a peer frame. The last declaration of a
# page may exceed the limit in bytes.
MAX_PAGE_ITEMS: Final = 500
MAX_PAGE_BYTES: Final = 65_536
# A change up to this size is sent whole to every instance when it is accepted. For a larger change
# only the version is sent.
MAX_PUSH_BYTES: Final = 8_192
# A table scan or peer query without a reply is abandoned after this time.
SCAN_TIMEOUT_S: Final = 5.0
PEER_QUERY_TIMEOUT_S: Final = 1.0
# Number of peers that an instance queries at once until its configuration is ready.
STARTUP_PEERS: Final = 3
# An instance that starts waits this long for a reply of a peer before it trusts the table alone.
STARTUP_PEER_TIMEOUT_S: Final = 3.0


class Change(msgspec.Struct, frozen=True):
    """An accepted change set as stored in the change table.

    An item is a kind, a name and an encoded declaration; an empty value removes the declaration.
    """

    version: int
    change_id: str
    author: str
    items: list[tuple[str, str, bytes]]

    def list_items(self) -> list[Item]:
        """Return the items, each with the version of this change set."""
        return [Item(kind, name, self.version, value) for kind, name, value in self.items]


@attrs.define(slots=True)
class Download:
    """Pages received from one peer that are not applied yet.

    The pages hold the changes after version `after`; `position` is the position of the last item
    received, from which the next page is requested.
    """

    peer: str
    after: int
    position: Position
    items: list[Item] = attrs.Factory(list)


def make_change_key(version: int) -> str:
    """Return the table key of a version, zero-padded so that keys sort in order of version."""
    return f"{version:016d}"


class ConfigurationFollower:
    """Replicates accepted changes. Invariant: the version of the configuration never decreases."""

    def __init__(self, context: Context, snapshots: SnapshotWriter) -> None:
        self._context = context
        self._snapshots = snapshots
        self._poll_scheduler = ZonePollScheduler(context, context.options.config_interval)
        self._started_at = 0.0
        self._scan_started_at = -1.0
        self._table_scanned = False
        self._list_read = False
        self._peer_replied = False
        self._synced_with_peer = False
        self._download: Download | None = None
        self._peer_query_deadline = 0.0
        self._last_unreadable_key = ""

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return handlers of the start and of replies of the platform."""
        return {
            events.Started: self._start,
            events.ListRead: self._handle_list,
            events.SnapshotRead: self._handle_snapshot,
            events.RowsRead: self._handle_rows,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return handlers of peers' configuration queries and replies."""
        return {ConfigQuery: self._handle_query, ConfigReply: self._handle_reply}

    def scan(self, now: float) -> None:
        """Read the changes after the current version, unless a scan is in progress."""
        if self._scan_started_at >= 0 and now - self._scan_started_at < SCAN_TIMEOUT_S:
            return
        self._scan_started_at = now
        after = make_change_key(self._context.configuration.version)
        self._context.emit(actions.ScanRows(CHANGE_SCAN_OP, CHANGE_TABLE, after, MAX_SCAN_ROWS))

    def apply_change(self, change: Change) -> None:
        """Apply a change if it directly follows the current version; ignore any other."""
        version = self._context.configuration.version
        if change.version == version + 1:
            self._apply_items(change.version, change.list_items())
        elif change.version <= version:
            # A replica of the table that lags behind returns old rows.
            self._context.count(codes.CONFIG_STALE)

    def push(self, change: Change, now: float) -> None:
        """Send a change that this instance has just accepted to every other instance.

        The platform may fail between the acceptance and the next scan of the other instances.
        Heartbeats would then bring the change to this availability zone within a second and to
        the other zones some seconds later. Until then, a zone that the change takes out of
        service would still get work.
        """
        context = self._context
        size = sum(len(value) for _, _, value in change.items)
        message = ConfigReply(after=change.version, version=change.version)
        if size <= MAX_PUSH_BYTES:
            message = _make_reply(change.version - 1, change.version, change.list_items())
        for peer in context.fleet.instances:
            if peer != context.identity.instance:
                context.send(peer, message)
                context.count(codes.CONFIG_PUSHED)

    def handle_peer_version(self, peer: str, version: int, now: float) -> None:
        """Query a peer for the changes after the current version if the peer has a newer one.

        Only one query is in flight at a time: after a change every heartbeat shows a newer
        version, and each instance of the zone would otherwise send the same pages.
        """
        if version > self._context.configuration.version and now >= self._peer_query_deadline:
            self._query_peer(peer, now)

    # The change table and the snapshot.

    def _start(self, event: events.Started, now: float) -> None:
        self._started_at = now
        # The first scan starts where the snapshot ends.
        self._scan_started_at = now
        self._context.emit(actions.ReadSnapshot())
        self._context.repeat(self._context.options.config_interval, self._poll_changes, now)

    def _poll_changes(self, now: float) -> None:
        if not self._context.config_ready:
            self._query_startup_peers(now)
            self._check_ready(now)
        if self._poll_scheduler.acquire_turn(now) or not self._context.config_ready:
            self.scan(now)

    def _handle_list(self, event: events.ListRead, now: float) -> None:
        if not self._list_read:
            self._list_read = True
            self._query_startup_peers(now)
            self._check_ready(now)

    def _handle_snapshot(self, event: events.SnapshotRead, now: float) -> None:
        self._scan_started_at = -1.0
        if event.data:
            self._apply_snapshot(event.data)
        self.scan(now)

    def _apply_snapshot(self, data: bytes) -> None:
        try:
            snapshot = decode_msgpack(data, type=Snapshot)
        except msgspec.MsgspecError:
            self._context.log("snapshot_unreadable")
            return
        self._apply_items(snapshot.version, snapshot.items)
        self._snapshots.record_stored(snapshot.version)

    def _handle_rows(self, event: events.RowsRead, now: float) -> None:
        if event.op != CHANGE_SCAN_OP:
            return
        self._scan_started_at = -1.0
        context = self._context
        if event.status != "done":
            context.last_platform_failure = now
            context.count(codes.PLATFORM_ERRORS)
            return
        context.last_platform_success = now
        version_before = context.configuration.version
        for row in event.rows:
            self._apply_row(row)
        if len(event.rows) >= MAX_SCAN_ROWS and context.configuration.version > version_before:
            self.scan(now)
            return
        self._table_scanned = True
        self._check_ready(now)
        self._snapshots.schedule_check(now)

    def _apply_row(self, row: events.Row) -> None:
        try:
            change = decode_json(row.value, type=Change)
        except msgspec.MsgspecError:
            self._context.count(codes.CONFIG_UNREADABLE)
            if self._last_unreadable_key != row.key:
                self._last_unreadable_key = row.key
                self._context.log("change_unreadable", key=row.key)
            return
        self.apply_change(change)

    def _apply_items(self, version: int, items: list[Item]) -> None:
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
        """Mark the configuration ready once it is unlikely that a newer version was accepted.

        A table that returns stale reads looks complete. An instance that restarts and trusts it
        alone would revert a change of operators for its callers. So a peer is queried too, because
        the version of a running instance never decreases.
        """
        context = self._context
        if context.config_ready or not context.are_members_known:
            # With no target known, this instance would refuse every request, although other
            # instances could serve it.
            return
        is_alone = self._list_read and len(context.fleet.instances) <= 1
        has_timed_out = now - self._started_at >= STARTUP_PEER_TIMEOUT_S
        is_confirmed = self._table_scanned and (self._peer_replied or is_alone or has_timed_out)
        if not is_confirmed and not self._synced_with_peer:
            return
        context.config_ready = True
        context.log("configuration_ready", version=str(context.configuration.version))
        if not context.stopping:
            context.emit(actions.SetReady(True))

    # Peers.

    def _query_startup_peers(self, now: float) -> None:
        """Query a few instances, those of this zone first, as the platform may be unavailable."""
        context = self._context
        own = context.identity
        peers = [view for view in context.fleet.instances.values() if view.id != own.instance]
        context.random.shuffle(peers)
        peers.sort(key=lambda view: view.zone != own.zone)
        for view in [*peers[: STARTUP_PEERS - 1], *peers[-1:]]:
            self._query_peer(view.id, now)

    def _query_peer(self, peer: str, now: float) -> None:
        self._peer_query_deadline = now + PEER_QUERY_TIMEOUT_S
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
        """Send a peer one page of the items that changed after its version."""
        configuration = self._context.configuration
        if not self._context.config_ready:
            self._context.send(sender, ConfigReply(after=message.after, ready=False))
            return
        position = Position(message.from_version, message.from_kind, message.from_name)
        position = max(position, Position(message.after + 1))
        page: list[Item] = []
        size = 0
        found = configuration.list_changes_from(position, MAX_PAGE_ITEMS + 1)
        for item in found[:MAX_PAGE_ITEMS]:
            if size >= MAX_PAGE_BYTES:
                break
            page.append(item)
            size += len(item.value) + len(item.name)
        reply = _make_reply(message.after, configuration.version, page)
        reply.more = len(page) < len(found)
        reply.from_version, reply.from_kind, reply.from_name = position
        self._context.send(sender, reply)

    def _handle_reply(self, sender: str, message: ConfigReply, now: float) -> None:
        self._peer_replied = True
        version = self._context.configuration.version
        if message.ready and message.version > version:
            self._handle_page(sender, message, now)
        elif message.ready:
            self._synced_with_peer = True
            self._peer_query_deadline = now
            if message.version < version:
                self._context.count(codes.CONFIG_STALE)
        self._check_ready(now)

    def _handle_page(self, sender: str, message: ConfigReply, now: float) -> None:
        """Collect pages and apply them together, in one step to the sender's version.

        The sender holds only the newest value of each declaration. A page applied alone would set
        a version some of whose declarations arrive only with a later page.
        """
        if message.after > self._context.configuration.version:
            self.handle_peer_version(sender, message.version, now)
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
            self._peer_query_deadline = now + PEER_QUERY_TIMEOUT_S
            self._send_query(sender, message.after, download.position)
            return
        self._peer_query_deadline = now
        self._context.count(codes.CONFIG_FROM_PEER)
        self._apply_items(message.version, download.items)
        self._synced_with_peer = True

    def _find_download(self, sender: str, after: int, position: Position) -> Download | None:
        """Return the download that a page continues, or None if that download was abandoned."""
        if position <= Position(after + 1):
            return Download(sender, after, position)
        download = self._download
        if download is None or download.peer != sender or download.after != after:
            return None
        return download if download.position == position else None


def _make_reply(after: int, version: int, items: list[Item]) -> ConfigReply:
    return ConfigReply(
        after=after,
        version=version,
        items=[ConfigItem(i.kind, i.name, i.version, i.value) for i in items],
    )
