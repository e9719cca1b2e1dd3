"""Messages between instances: changes of the store's tables, crashes, prompt locations, joins.

An instance that reads the store and gets answers queries no other instance. One that waits at its
zone's reader, or whose store is down, refuses its calls or is partitioned from it, learns from
other instances what has come into force. Updates for all instances are sent to one or two relays
per zone, which pass them on to the instances that wait there.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Final

import msgspec

from rhubarbbend.core.mirror import TablePage
from rhubarbbend.core.placement import TargetLoad
from rhubarbbend.core.readers import InstanceRow, PeerUpdatePage, ReaderSelector
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._detour_messages import is_detour
from rhubarbbend.gateway._peer_updates import PeerUpdate, apply_crash_findings, make_crash_update
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import ROLLOUT_TABLE, State, read_clock
from rhubarbbend.http import ConnectionPool, Exchange, HttpFailure, InputTimeout, Response, fetch

CHANGES_PATH: Final = "/peer/changes"
UPDATE_PATH: Final = "/peer/note"
JOIN_PATH: Final = "/peer/hello"
ROLLOUT_PATH: Final = "/peer/rollout"
CHECK_PATH: Final = "/peer/check"
CRASHES_PATH: Final = "/peer/crashes"
STREAMS_PATH: Final = "/peer/streams"
TRIAL_PATH: Final = "/peer/trial"
CONTENT_TYPE: Final = "application/msgpack"
# An instance in the same region replies in about 3 ms. If it does not reply within this time, it is
# queried again later, and another instance is queried at once.
REPLY_TIMEOUT_S: Final = 0.4
# Minimum size of replies that are compressed: a configuration of 65 KB shrinks to 11 KB in 0.5 ms,
# and the slowest known links carry 0.6 MB a second.
MIN_COMPRESSED_BYTES: Final = 2_048
COMPRESSION_LEVEL: Final = 1
COMPRESSED_ENCODING: Final = "deflate"
# The grace period after a recovery of the store lasts 2 s, so an older recovery is not reported.
MAX_RECOVERY_AGE_S: Final = 5.0


class ChangesQuery(msgspec.Struct, array_like=True):
    """A request for everything that changed after the sender's positions in its tables.

    `max_wait` is how many seconds the reply may be held back while nothing has changed.
    `updates_position` is the sender's position in the receiver's log of peer updates, None if it
    has none. `loads` holds the load reports that the sender got from targets since its last query.
    `loads_received_until` is the receiver's time up to which the sender has its load reports.
    """

    sender: str
    positions: dict[str, int]
    max_wait: float = 0.0
    updates_position: int | None = None
    loads: list[TargetLoad] = []
    loads_received_until: float = 0.0


class ChangesReply(msgspec.Struct, array_like=True):
    """The responder's table changes after the positions of a query, peer updates and load reports.

    `staleness` is how many seconds ago the responder last knew its data to be current, `held_s` how
    many seconds the reply was held back, `since_recovery` how many seconds ago the store recovered
    as seen by the responder, None if that is long ago. `responder_time` is the responder's clock.
    """

    pages: dict[str, TablePage]
    staleness: float
    held_s: float
    since_recovery: float | None
    updates: PeerUpdatePage[PeerUpdate]
    loads: list[TargetLoad]
    responder_time: float


class ReaderCursor(msgspec.Struct):
    """How far an instance has read its reader's data, and when it last sent its load reports."""

    reader: str = ""
    updates_position: int | None = None
    loads_received_until: float = 0.0
    loads_sent_at: float = 0.0


class JoinNotice(msgspec.Struct, array_like=True):
    """Announces an instance that has joined."""

    instance: str
    row: InstanceRow


class PeerServer:
    """Serves the requests of other instances."""

    def __init__(self, state: State) -> None:
        self._state = state
        # Handles a report on a roll-out and returns the reply, both encoded; set by the instance
        # once it knows of one. Until then the reply is empty.
        self.on_rollout_report: Callable[[bytes], bytes] = lambda report: b""
        # Contacts a target for another instance and returns the reply, both encoded; set by the
        # instance.
        self.on_target_check: Callable[[bytes], Awaitable[bytes]] = _check_nothing
        # Answers a query for the origin of a stream, both encoded; set by the instance.
        self.on_stream_query: Callable[[bytes], bytes] = lambda query: b""
        # Answers a question for a trial of a cause of crashes, both encoded; set by the instance.
        self.on_trial_query: Callable[[bytes], bytes] = lambda query: b""
        # Serves a request that another instance cannot send to a target; set by the instance.
        self.serve_detour: Callable[[Exchange], Awaitable[None]] = _reject_detour

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; the handler of the HTTP server for other instances."""
        try:
            if is_detour(exchange.headers):
                await self.serve_detour(exchange)
            elif exchange.memory_refusal:
                exchange.respond(503, [], b"")
            elif exchange.target == CHANGES_PATH:
                query = decode_msgpack(exchange.body, type=ChangesQuery)
                await self._serve_changes(exchange, query)
            elif exchange.target == UPDATE_PATH:
                update = decode_msgpack(exchange.body, type=PeerUpdate)
                self._state.apply_peer_update(update, read_clock())
                _respond(exchange, b"")
            elif exchange.target == ROLLOUT_PATH:
                _respond(exchange, self.on_rollout_report(exchange.body))
            elif exchange.target == CHECK_PATH:
                _respond(exchange, await self.on_target_check(exchange.body))
            elif exchange.target == STREAMS_PATH:
                _respond(exchange, self.on_stream_query(exchange.body))
            elif exchange.target == TRIAL_PATH:
                _respond(exchange, self.on_trial_query(exchange.body))
            elif exchange.target == CRASHES_PATH:
                known = make_crash_update(self._state.crashes, read_clock())
                _respond(exchange, msgspec.msgpack.encode(known))
            elif exchange.target == JOIN_PATH:
                notice = decode_msgpack(exchange.body, type=JoinNotice)
                self._state.add_instance(notice.instance, notice.row)
                self._state.instance_joined.notify_all_soon()
                _respond(exchange, msgspec.msgpack.encode(self._make_join_reply(read_clock())))
            else:
                exchange.respond(404, [], b"")
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", read_clock(), reason=str(error))
            exchange.respond(400, [], b"")

    def _make_join_reply(self, now: float) -> PeerUpdate:
        locations = self._state.placement.prompt_locations.list_recent(now)
        known = make_crash_update(self._state.crashes, now)
        reach = self._state.reach.list_notices(now)
        return msgspec.structs.replace(known, locations=locations, reach=reach)

    async def _serve_changes(self, exchange: Exchange, query: ChangesQuery) -> None:
        received_at = read_clock()
        self._state.loads.merge_reports(query.loads, False, received_at)
        # A sender that lacks a table has no use for the staleness yet, only for the table as soon
        # as it is available.
        lacks_table = any(
            position < 0 for name, position in query.positions.items() if name != ROLLOUT_TABLE
        )
        while not exchange.closed.is_set():
            now = read_clock()
            pages = self._state.mirror.list_changes(query.positions)
            updates = self._state.peer_updates.list_after(query.updates_position)
            staleness = self._state.compute_staleness(now)
            remaining = query.max_wait - (now - received_at)
            if not lacks_table:
                # The sender acts on the staleness, so it must learn at once that it is too high.
                remaining = min(
                    remaining, self._state.replication_timeouts.max_staleness_s - staleness
                )
            if pages or updates.items or remaining <= 0.0:
                break
            await self._state.changed.wait(remaining)
        recovery_age = now - self._state.registry.store_recovered_at
        since_recovery = recovery_age if recovery_age <= MAX_RECOVERY_AGE_S else None
        aged_updates = PeerUpdatePage(
            [update.add_age(now) for update in updates.items], updates.position
        )
        if query.updates_position is None:
            known = make_crash_update(self._state.crashes, now)
            reach = self._state.reach.list_notices(now)
            aged_updates.items.append(msgspec.structs.replace(known, reach=reach))
        loads = self._state.loads.list_reports_since(query.loads_received_until, True, now)
        reply = ChangesReply(
            pages, staleness, now - received_at, since_recovery, aged_updates, loads, now
        )
        _respond(exchange, msgspec.msgpack.encode(reply))


class PeerClient:
    """Queries and notifies other instances. Every call ends within its time-out."""

    def __init__(self, state: State, pool: ConnectionPool, selector: ReaderSelector) -> None:
        self._state = state
        self._pool = pool
        self._selector = selector
        self._silent: set[Address] = set()
        # Called when an instance replies again that was silent; set by the instance.
        self.on_regained: Callable[[Address], None] = lambda peer: None
        self._name = state.settings.instance

    async def query_changes(self, peer: Address) -> ChangesReply | None:
        """Query an instance for table changes, without waiting; return None if it fails."""
        return await self._query(peer, ChangesQuery(self._name, self._get_table_positions()))

    async def poll_reader(
        self, peer: Address, max_wait: float, cursor: ReaderCursor
    ) -> ChangesReply | None:
        """Query the reader that this instance waits at, and exchange load reports and updates.

        The reader holds its reply for up to `max_wait` seconds while nothing changes. `cursor` is
        advanced if it replies; return None if it does not.
        """
        now = read_clock()
        loads = self._state.loads.list_reports_since(cursor.loads_sent_at, False, now)
        positions = self._get_table_positions()
        query = ChangesQuery(
            self._name,
            positions,
            max_wait,
            cursor.updates_position,
            loads,
            cursor.loads_received_until,
        )
        reply = await self._query(peer, query)
        if reply is not None:
            cursor.loads_sent_at = now
            cursor.updates_position = reply.updates.position
            cursor.loads_received_until = reply.responder_time
        return reply

    def _get_table_positions(self) -> dict[str, int]:
        tables = self._state.mirror.tables
        return {name: table.position for name, table in tables.items()}

    async def _query(self, peer: Address, query: ChangesQuery) -> ChangesReply | None:
        data = msgspec.msgpack.encode(query)
        body = await self._send(peer, CHANGES_PATH, data, query.max_wait + REPLY_TIMEOUT_S)
        if body is None:
            return None
        try:
            return decode_msgpack(body, type=ChangesReply)
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", read_clock(), reason=str(error))
            return None

    async def ask(self, peer: Address, path: str, body: bytes) -> bytes | None:
        """Send an instance a query and return its reply, None if it fails."""
        return await self._send(peer, path, body)

    async def fetch_crashes(self, peer: Address) -> bool:
        """Learn from an instance what it knows of crashes; return whether it replied."""
        reply = await self._send(peer, CRASHES_PATH, b"")
        if not reply:
            return False
        try:
            update = decode_msgpack(reply, type=PeerUpdate)
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", read_clock(), reason=str(error))
            return False
        apply_crash_findings(self._state.crashes, update, read_clock())
        return True

    async def report_rollout(self, peer: Address, report: bytes) -> bytes | None:
        """Send a report on a roll-out to its coordinator and return the reply, None if it fails."""
        return await self._send(peer, ROLLOUT_PATH, report)

    async def broadcast(self, update: PeerUpdate) -> None:
        """Send an update to all other instances; some may not get it."""
        await self.deliver(update)

    async def deliver(self, update: PeerUpdate, also: Collection[str] = ()) -> set[str]:
        """Send an update to all other instances, including those that wait at this one.

        Return the relays that did not reply. From then on this instance uses others in their place,
        but some may be slow only, and instances still wait there: `also` are those to send to as
        well.
        """
        now = read_clock()
        self._state.queue_for_listeners(update, now)
        relays = self._selector.list_relays(self._state.instances, now)
        names = sorted({*relays, *also} & self._state.instances.keys())
        data = msgspec.msgpack.encode(update)
        replies = await asyncio.gather(*(self._send_to_relay(n, UPDATE_PATH, data) for n in names))
        return {name for name, reply in zip(names, replies, strict=True) if reply is None}

    async def broadcast_join(self, notice: JoinNotice) -> None:
        """Notify all other known instances that this one takes its share of the limits from now on.

        The others' list of instances may be outdated; until they read it again, their shares and
        this one's would add up to more than the limit. They do not count this instance yet, so the
        relays are determined from the list without it.
        """
        rows = self._state.instances.items()
        others = {name: row for name, row in rows if name != notice.instance}
        data = msgspec.msgpack.encode(notice)
        replies = await self._send_to_relays(JOIN_PATH, data, others)
        for reply in replies:
            if reply:
                update = decode_msgpack(reply, type=PeerUpdate)
                self._state.apply_peer_update(update, read_clock())
        self._state.crashes_learned.set()

    async def _send_to_relays(
        self, path: str, body: bytes, instances: Mapping[str, InstanceRow]
    ) -> list[bytes | None]:
        names = self._selector.list_relays(instances, read_clock())
        return await asyncio.gather(*(self._send_to_relay(name, path, body) for name in names))

    async def _send_to_relay(self, name: str, path: str, body: bytes) -> bytes | None:
        row = self._state.instances.get(name)
        if row is None:
            return None
        reply = await self._send((row.host, row.port), path, body)
        if reply is None:
            # The next instance in the order is the relay from now on.
            self._selector.record_no_answer(name, read_clock())
        return reply

    async def _send(
        self, peer: Address, path: str, body: bytes, timeout: float = REPLY_TIMEOUT_S
    ) -> bytes | None:
        headers = [("Content-Type", CONTENT_TYPE)]
        now = read_clock()
        try:
            async with InputTimeout(now + timeout):
                response, data = await fetch(
                    self._pool, peer, "POST", path, now, body, headers, timeout=timeout
                )
            data = _decompress(response, data)
        except TimeoutError:
            self._mark_silent(peer, "no reply within the time-out")
            return None
        except (HttpFailure, zlib.error) as failure:
            self._mark_silent(peer, str(failure))
            return None
        if peer in self._silent:
            self._silent.discard(peer)
            self._state.event_log.write("peer_regained", read_clock(), peer=f"{peer[0]}:{peer[1]}")
            self.on_regained(peer)
        return data if response.status == 200 else None

    def _mark_silent(self, peer: Address, reason: str) -> None:
        """Log a peer that does not reply, once until it replies again."""
        if peer not in self._silent:
            self._silent.add(peer)
            self._state.event_log.write(
                "peer_silent", read_clock(), peer=f"{peer[0]}:{peer[1]}", reason=reason
            )


async def _check_nothing(query: bytes) -> bytes:
    return b""


async def _reject_detour(exchange: Exchange) -> None:
    exchange.respond(404, [], b"")


def _respond(exchange: Exchange, body: bytes) -> None:
    headers = [("Content-Type", CONTENT_TYPE)]
    if len(body) >= MIN_COMPRESSED_BYTES:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        headers.append(("Content-Encoding", COMPRESSED_ENCODING))
    exchange.respond(200, headers, body)


def _decompress(response: Response, body: bytes) -> bytes:
    is_compressed = response.headers.get("content-encoding") == COMPRESSED_ENCODING
    return zlib.decompress(body) if is_compressed else body
