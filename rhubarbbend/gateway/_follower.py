"""Keeps the mirror up to date: from the store, from the zone's reader, or from any other instance.

In a large zone an instance waits for changes at a reader and makes no calls to the store. It reads
the store itself as soon as its data is older than the limits allow. While the store does not answer
either, it queries other instances, one after another.
"""

from __future__ import annotations

import asyncio
import math
from functools import partial
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.readers import ReaderSelector
from rhubarbbend.gateway._instance_list import InstanceListMaintainer
from rhubarbbend.gateway._interfaces import StateDecoder
from rhubarbbend.gateway._peer_updates import PeerUpdate
from rhubarbbend.gateway._peers import ChangesReply, PeerClient, ReaderCursor
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import INSTANCE_TABLE, ROLLOUT_TABLE, State, read_clock
from rhubarbbend.gateway._state_updater import StateUpdater
from rhubarbbend.gateway._store_availability import StoreAvailabilityTracker
from rhubarbbend.storage import HistoryCompacted, RowStore, StoreError

# Delay after a change, so that changes in quick succession are read with one call: a call costs the
# store the same for one change as for several.
COALESCE_DELAY_S: Final = 0.15
# Backoff after a call that failed, doubled each time up to a maximum. An instance with a reader
# learns from it when the store has recovered, so it calls the store less often itself.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5
MAX_LISTENER_BACKOFF_S: Final = 1.5
# Interval at which one peer is queried while the store does not answer. A reader whose calls the
# store refuses for some seconds still has to apply changes within 2 s.
PEER_QUERY_INTERVAL_S: Final = 0.4
# The same interval while a table is still being read for the first time, during the first seconds
# after the start: a call for a large row can get stuck while other calls are answered.
STARTUP_QUERY_INTERVAL_S: Final = 0.1
# An instance that has read a table for the first time starts watching it after this time, unless by
# then it has a reader that sends it changes.
FIRST_READER_REPLY_TIMEOUT_S: Final = 0.3
# Until the list of instances has been read, only the seeds are known. When all instances start at
# once, the seeds cannot serve them all, so they are queried only if the store has not returned the
# list within this time.
SEED_QUERY_DELAY_S: Final = 0.5
STARTUP_PERIOD_S: Final = 3.0
# How long a reader holds a query while nothing changes. Together with the time-out for its reply, a
# reader that hangs is detected within 0.8 s. A target's load report takes half of this time to
# reach the reader, and half to reach the other instances.
LONG_POLL_S: Final = 0.4
# How long a call waits for changes of the records of roll-outs. The instances also tell one another
# of these, so the calls need not be frequent enough to show that the connection still works.
ROLLOUT_WATCH_TIMEOUT_S: Final = 25.0
# How often an instance that reads the store itself checks whether it should wait at a reader.
READER_CHECK_INTERVAL_S: Final = 0.5


class StateFollower:
    """Keeps the copies of the decoder's tables and of the list of instances up to date."""

    def __init__(
        self,
        state: State,
        store: RowStore,
        decoder: StateDecoder,
        peers: PeerClient,
        selector: ReaderSelector,
    ) -> None:
        self._state = state
        self._store = store
        self._tables = decoder.tables
        self.updater = StateUpdater(state, decoder)
        self.instance_list = InstanceListMaintainer(
            state, store, self.updater, peers, self._record_store_failure
        )
        self._peers = peers
        self._selector = selector
        self._store_availability = StoreAvailabilityTracker()
        # Set while this instance reads the store itself.
        self._reads_directly = asyncio.Event()
        self._reads_directly.set()
        self._background = BackgroundTasks(state.report_internal_error)
        self._started_at = 0.0
        # Whether the reader has been queried at least once, whether or not it replied.
        self._reader_queried = False

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last call to the store was answered.

        True while this instance waits at a reader, which reads the store for it.
        """
        if not self._reads_directly.is_set():
            return True
        return self._store_availability.has_answered and self._store_availability.lost_at is None

    @property
    def reads_store(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._reads_directly.is_set()

    def start(self) -> None:
        """Start the background tasks."""
        self._started_at = read_clock()
        run = self._background.spawn_loop
        for table in self._tables:
            run(partial(self._follow_table, table))
        run(self._follow_rollouts)
        run(partial(self.instance_list.follow, self._reads_directly))
        run(self._follow_reader)
        run(self._relay_load_reports)
        run(self._query_peers)
        run(self._expire_targets)

    def stop(self) -> None:
        """Cancel the background tasks."""
        self._background.cancel()

    def refresh(self) -> None:
        """Read everything again over new connections, after this process was paused."""
        self._state.up_to_date_at = -math.inf
        self._start_reading_store("paused")
        self._store.close_connections()

    # Reading the store.

    async def read_targets(self) -> None:
        """Read the registrations of targets now, whoever sends their changes to this instance.

        Raise `StoreError` on failure.
        """
        for table in self._tables:
            if table != self._state.config_table:
                page = await self._store.read_table(table)
                self._record_store_answer(read_clock())
                self.updater.apply_pages({table: page}, "store")

    async def _wait_for_first_reader_reply(self, until: float) -> None:
        """Wait until the reader was queried for the first time, if there is a reader.

        When all instances start at once, each would otherwise start a watch on every table, only to
        cancel it as soon as its reader replies.
        """
        while not self._reader_queried and (now := read_clock()) < until:
            is_listed = self._state.mirror.tables[INSTANCE_TABLE].known
            if is_listed and not self._has_reader():
                return
            await self._state.changed.wait(until - now)

    async def _follow_rollouts(self) -> None:
        """Follow the records of roll-outs from the first one that is ordered."""
        await self._state.rollout_ordered.wait()
        await self._follow_table(ROLLOUT_TABLE)

    async def _follow_table(self, table: str) -> None:
        backoff = MIN_BACKOFF_S
        reads_whole_table = False
        while True:
            await self._reads_directly.wait()
            is_first = not self._state.mirror.tables[table].known
            try:
                changed = await self._read_once(table, reads_whole_table)
            except HistoryCompacted:
                # The whole table is read next. Until then, what is known stays in force.
                self._log("history_gone", table=table)
                self._state.registry.record_gap(read_clock())
                reads_whole_table = True
                continue
            except StoreError as error:
                if not self._reads_directly.is_set():
                    # The call was cancelled because a reader now sends the changes.
                    continue
                self._record_store_failure(table, error)
                await asyncio.sleep(backoff * self._state.random.uniform(0.7, 1.3))
                backoff = min(self._get_max_backoff(), 2.0 * backoff)
                if table != self._state.config_table:
                    # One call at a time is enough to detect that the store has recovered.
                    await self._store_availability.wait_until_recovered()
                continue
            backoff = MIN_BACKOFF_S
            reads_whole_table = False
            if is_first:
                await self._wait_for_first_reader_reply(read_clock() + FIRST_READER_REPLY_TIMEOUT_S)
            elif changed:
                await asyncio.sleep(COALESCE_DELAY_S)

    def _get_max_backoff(self) -> float:
        return MAX_LISTENER_BACKOFF_S if self._has_reader() else MAX_BACKOFF_S

    def _has_reader(self) -> bool:
        return self._selector.select_reader(self._state.instances, read_clock()) is not None

    async def _read_once(self, table: str, reads_whole_table: bool) -> bool:
        """Read a table, or wait for changes in it, and return whether there were any."""
        mirrored = self._state.mirror.tables[table]
        queried_at = read_clock()
        wait = 0.0
        if reads_whole_table or not mirrored.known:
            page = await self._store.read_table(table)
        else:
            wait = self._compute_watch_timeout(table, queried_at)
            page = await self._store.watch_table(table, mirrored.position, wait)
        now = read_clock()
        self._record_store_answer(now)
        if table == self._state.config_table:
            # The store answers a watch at its time-out at the latest. An answer that arrives later
            # describes the store at that time only, because it may have been delayed in transit.
            self._state.up_to_date_at = max(self._state.up_to_date_at, min(now, queried_at + wait))
        return bool(self.updater.apply_pages({table: page}, "store"))

    def _compute_watch_timeout(self, table: str, now: float) -> float:
        timeouts = self._state.replication_timeouts
        if self._store_availability.lost_at is not None:
            return 0.0
        if table == ROLLOUT_TABLE:
            return ROLLOUT_WATCH_TIMEOUT_S
        if table != self._state.config_table:
            return timeouts.watch_timeout_s
            # An instance that does not know yet whether others wait at it uses the short time-out
            # of a reader. During a longer watch it could not prove that its data is current, so its
            # first listeners would all read the store themselves.
        may_read = not self.instance_list.has_converged or self._selector.is_reader(
            self._state.instances, now
        )
        return timeouts.reader_watch_timeout_s if may_read else timeouts.watch_timeout_s

    def _record_store_answer(self, now: float) -> None:
        outage = self._store_availability.record_answer(now)
        if outage is None:
            return
        self._state.registry.record_store_recovery(now)
        self._log("store_regained", away=round(outage, 3))

    def _record_store_failure(self, table: str, error: StoreError) -> None:
        now = read_clock()
        self._state.metrics.increment_counter(codes.PLATFORM_ERRORS)
        if self._store_availability.record_failure(now):
            self._log("store_lost", table=table, reason=str(error))
            # Calls that wait on other connections may have been lost in the same failure.
            self._store.close_connections()

    # Waiting at the zone's reader.

    async def _follow_reader(self) -> None:
        """Wait for changes at the zone's reader, if there is one other than this instance."""
        cursor = ReaderCursor()
        while True:
            now = read_clock()
            reader = self._selector.select_reader(self._state.instances, now)
            if reader is None:
                self._start_reading_store("no reader available")
                await self._state.changed.wait(READER_CHECK_INTERVAL_S)
                continue
            if cursor.reader != reader:
                cursor = ReaderCursor(reader)
            reply = await self._query_reader(cursor)
            if reply is None or self._is_starting(read_clock()):
                continue
            if any(update.is_urgent for update in reply.updates.items):
                continue
            if reply.pages or reply.updates.items:
                await asyncio.sleep(COALESCE_DELAY_S)
            elif self._reads_directly.is_set():
                await asyncio.sleep(PEER_QUERY_INTERVAL_S)

    async def _query_reader(self, cursor: ReaderCursor) -> ChangesReply | None:
        """Query the reader once, and decide whether this instance has to read the store itself."""
        reader = cursor.reader
        row = self._state.instances[reader]
        queried_at = read_clock()
        is_starting = self._is_starting(queried_at)
        is_listener = not self._reads_directly.is_set() and cursor.updates_position is not None
        max_wait = LONG_POLL_S if is_listener or (is_starting and self._reader_queried) else 0.0
        reply = await self._peers.poll_reader((row.host, row.port), max_wait, cursor)
        now = read_clock()
        if not self._reader_queried:
            self._reader_queried = True
            self._state.changed.notify_all()
        if reply is None and is_starting:
            # The reader may be starting too; meanwhile this instance reads the store.
            await asyncio.sleep(STARTUP_QUERY_INTERVAL_S)
            return None
        if reply is None:
            self._selector.record_no_answer(reader, now)
            self._log(
                "reader_silent", reader=reader, known_age=self._state.get_logged_staleness(now)
            )
        else:
            self._selector.record_answer(reader)
            self._apply_reply(reply, queried_at, now)
        max_staleness_s = self._state.replication_timeouts.max_staleness_s
        if self._state.compute_staleness(now) > max_staleness_s:
            self._start_reading_store("reader's data is too old")
        elif reply is not None and reply.staleness <= max_staleness_s:
            self._stop_reading_store(reader)
        return reply

    def _apply_reply(self, reply: ChangesReply, queried_at: float, now: float) -> None:
        """Apply the reply of an instance, and update how current this instance's data is."""
        travel_time = max(0.0, now - queried_at - reply.held_s)
        up_to_date_at = now - reply.staleness - travel_time
        if now - up_to_date_at <= self._state.replication_timeouts.max_staleness_s:
            # The sender's data is current, so the store answers it. Registrations that lapsed while
            # the store was unreachable do not mean that their targets are gone.
            self._record_store_answer(now)
        self._record_store_recovery(reply, queried_at)
        self._state.up_to_date_at = max(self._state.up_to_date_at, up_to_date_at)
        if reply.pages:
            self.updater.apply_pages(reply.pages, "peer")
        self._state.loads.merge_reports(reply.loads, True, now)
        for update in reply.updates.items:
            self._state.apply_peer_update(update, now)

    def _record_store_recovery(self, reply: ChangesReply, queried_at: float) -> None:
        """Record a recent recovery of the store, so that lapsed registrations are still used."""
        if reply.since_recovery is not None:
            self._state.registry.record_store_recovery(queried_at - reply.since_recovery)

    def _start_reading_store(self, reason: str) -> None:
        if not self._reads_directly.is_set():
            self._reads_directly.set()
            self._state.metrics.increment_counter(codes.DIRECT_STORE_READS_STARTED)
            self._log(
                "reads_store",
                reason=reason,
                known_age=self._state.get_logged_staleness(read_clock()),
            )

    def _stop_reading_store(self, reader: str) -> None:
        if self._reads_directly.is_set():
            self._reads_directly.clear()
            self._store.close_connections()
            self._log("waits_at_reader", reader=reader)

    async def _relay_load_reports(self) -> None:
        """While this instance is a reader, send other zones the load reports of this zone."""
        loads_sent_at = read_clock()
        while True:
            await asyncio.sleep(LONG_POLL_S)
            now = read_clock()
            if self._selector.is_reader(self._state.instances, now):
                loads = self._state.loads.list_reports_since(loads_sent_at, False, now)
                if loads:
                    await self._peers.broadcast(PeerUpdate(loads=loads))
            loads_sent_at = now

    # Querying any other instance.

    async def _query_peers(self) -> None:
        queue: list[Address] = []
        while True:
            is_starting = self._is_starting(read_clock())
            interval = STARTUP_QUERY_INTERVAL_S if is_starting else PEER_QUERY_INTERVAL_S
            await asyncio.sleep(interval * self._state.random.uniform(0.8, 1.2))
            if self.is_store_reachable and self._knows_tables():
                continue
            if not self._state.instances and not self._may_query_seeds(read_clock()):
                continue
            # All peers in turn, so that unreachable ones do not keep others from being queried.
            queue = queue or self._shuffle_peers()
            if not queue:
                continue
            queried_at = read_clock()
            reply = await self._peers.query_changes(queue.pop())
            if reply is not None and reply.pages:
                self._record_store_recovery(reply, queried_at)
                self.updater.apply_pages(reply.pages, "peer")

    def _may_query_seeds(self, now: float) -> bool:
        is_lost = self._store_availability.lost_at is not None
        return is_lost or now - self._started_at >= SEED_QUERY_DELAY_S

    def _is_starting(self, now: float) -> bool:
        """Return whether a table is still missing in the first seconds after the start."""
        return now - self._started_at < STARTUP_PERIOD_S and not self._knows_tables()

    def _knows_tables(self) -> bool:
        """Return whether each table has been read or received from another instance."""
        return all(self._state.mirror.tables[table].known for table in self._tables)

    def _shuffle_peers(self) -> list[Address]:
        peers = self._state.list_peer_addresses()
        self._state.random.shuffle(peers)
        return peers

    async def _expire_targets(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for target in self._state.registry.expire_unregistered(read_clock()):
                self._state.placement.record_departure(target, read_clock())
                self._log("target_gone", target=target.id)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)
