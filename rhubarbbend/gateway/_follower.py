"""Keeps the mirror up to date: from the store, from the zone's reader, or from any other instance.

In a large zone an instance waits at a reader and leaves the store alone. It reads the store itself
as soon as what it knows is older than the bounds allow, and while the store gives no answer
either it asks whoever may know more.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core.readers import ReaderSelector
from rhubarbbend.gateway._instance_list import InstanceList
from rhubarbbend.gateway._intake import StateIntake
from rhubarbbend.gateway._interfaces import StateDecoder
from rhubarbbend.gateway._peers import ChangesReply, PeerClient, ReaderPosition
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import INSTANCE_TABLE, Note, State, read_clock
from rhubarbbend.storage import HistoryCompacted, RowStore, StoreError

# Changes that come in quick succession are read together: each call costs the store as much as
# one with more of them.
COALESCE: Final = 0.15
# Pauses after a call that failed, doubled each time up to the longest. One that has a reader to
# wait at learns from that when the store is back, so it calls less often itself.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 0.5
LONGEST_LISTENER_PAUSE: Final = 1.5
# While the store gives no answer, one peer is asked this often. A reader that is turned away for
# some seconds still has to follow within 2 s.
PEER_INTERVAL: Final = 0.4
# The same while the first reading of a table is under way, for the first seconds: a call for a
# large row can get stuck while others are answered.
START_INTERVAL: Final = 0.1
# One that has read a table for the first time begins to follow it after this time, unless it has
# a reader that tells it of changes by then.
READER_HEAD: Final = 0.3
# Until the list of instances is read only the seeds are known. Where all start at once these cannot
# tell everyone, so they are asked only if the store has given no list in this time.
SEED_PATIENCE: Final = 0.5
START_SECONDS: Final = 3.0
# How long a reader holds a question while nothing changes. With the time that it then has to
# answer, a reader that stands still is found out within 0.8 s; and what targets say of their load
# takes half of this time to the reader and half to the others.
HOLD: Final = 0.4
# How often an instance that reads for itself looks whether it should.
PLAN_INTERVAL: Final = 0.5


class StoreContact:
    """Whether the store answers this instance. Invariant: `lost_at` is None while it does."""

    def __init__(self) -> None:
        self.lost_at: float | None = None
        self.reached = False
        self._regained = asyncio.Event()

    def note_answer(self, now: float) -> float | None:
        """Note an answer; gives for how long there was none if this is the first after it."""
        self.reached = True
        self._regained.set()
        lost_at, self.lost_at = self.lost_at, None
        return None if lost_at is None else now - lost_at

    def note_failure(self, now: float) -> bool:
        """Note a failed call; tells whether it is the first."""
        if self.lost_at is not None:
            return False
        self.lost_at = now
        self._regained.clear()
        return True

    async def wait_regained(self) -> None:
        """Wait until the store answers again."""
        if self.lost_at is not None:
            await self._regained.wait()


class StateFollower:
    """Follows every table of the decoder, and the list of instances."""

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
        self._intake = StateIntake(state, decoder)
        self.instances = InstanceList(state, store, self._intake, peers, self._note_failure)
        self._peers = peers
        self._selector = selector
        self._contact = StoreContact()
        # Set while this instance reads the store itself.
        self._reads = asyncio.Event()
        self._reads.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._started_at = 0.0
        # Whether the reader has been asked once, whatever it answered.
        self._reader_asked = False

    @property
    def store_reached(self) -> bool:
        """Whether the store answered last, this instance or the reader it waits at."""
        if not self._reads.is_set():
            return True
        return self._contact.reached and self._contact.lost_at is None

    @property
    def reads_store(self) -> bool:
        """Whether this instance reads the store itself."""
        return self._reads.is_set()

    def start(self) -> None:
        """Begin to follow."""
        self._started_at = read_clock()
        for table in self._tables:
            self._spawn(self._follow(table))
        self._spawn(self.instances.follow(self._reads))
        self._spawn(self._listen())
        self._spawn(self._share_loads())
        self._spawn(self._ask_peers())
        self._spawn(self._drop_gone())

    def stop(self) -> None:
        """End all following."""
        for task in self._tasks:
            task.cancel()

    def refresh(self) -> None:
        """Ask for everything anew, over new connections: this process has been away."""
        self._state.known_at = -math.inf
        self._begin_reading("paused")
        self._store.close_connections()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    # The store.

    async def _await_reader(self, until: float) -> None:
        """Wait for the first answer of the reader, if there is one.

        Where all start at once each would call the store for every table's changes, only to give
        the calls up as soon as its reader answers.
        """
        while not self._reader_asked and (now := read_clock()) < until:
            is_listed = self._state.mirror.tables[INSTANCE_TABLE].known
            if is_listed and not self._has_reader():
                return
            await self._state.changed.wait(until - now)

    async def _follow(self, table: str) -> None:
        pause = FIRST_PAUSE
        whole = False
        while True:
            await self._reads.wait()
            is_first = not self._state.mirror.tables[table].known
            try:
                changed = await self._read_once(table, whole)
            except HistoryCompacted:
                # The whole table is read next; until then what is known holds.
                self._log("history_gone", table=table)
                whole = True
                continue
            except StoreError as error:
                if not self._reads.is_set():
                    # The call was given up because a reader tells what it would have.
                    continue
                self._note_failure(table, error)
                await asyncio.sleep(pause * self._state.random.uniform(0.7, 1.3))
                pause = min(self._find_longest_pause(), 2.0 * pause)
                if table != self._state.config_table:
                    # One call at a time is enough to see when the store is back.
                    await self._contact.wait_regained()
                continue
            pause = FIRST_PAUSE
            whole = False
            if is_first:
                await self._await_reader(read_clock() + READER_HEAD)
            elif changed:
                await asyncio.sleep(COALESCE)

    def _find_longest_pause(self) -> float:
        return LONGEST_LISTENER_PAUSE if self._has_reader() else LONGEST_PAUSE

    def _has_reader(self) -> bool:
        return self._selector.select_reader(self._state.instances, read_clock()) is not None

    async def _read_once(self, table: str, whole: bool) -> bool:
        """Read a table, or wait for what changes in it; tells whether anything has."""
        mirrored = self._state.mirror.tables[table]
        asked = read_clock()
        wait = 0.0
        if whole or not mirrored.known:
            page = await self._store.read_table(table)
        else:
            wait = self._choose_wait(table, asked)
            page = await self._store.watch_table(table, mirrored.position, wait)
        now = read_clock()
        self._note_answer(now)
        if table == self._state.config_table:
            # The store spoke at the end of the wait, if it did not speak before.
            self._state.known_at = max(self._state.known_at, min(now, asked + wait))
        return bool(self._intake.take_pages({table: page}, "store"))

    def _choose_wait(self, table: str, now: float) -> float:
        timings = self._state.timings
        if self._contact.lost_at is not None:
            return 0.0
        if table != self._state.config_table:
            return timings.table_wait
        # One that does not know yet whether others wait at it waits as briefly as one that does:
        # with a longer wait under way its first listeners would all turn to the store.
        may_read = not self.instances.is_settled or self._selector.is_reader(
            self._state.instances, now
        )
        return timings.reader_wait if may_read else timings.table_wait

    def _note_answer(self, now: float) -> None:
        away = self._contact.note_answer(now)
        if away is None:
            return
        self._state.registry.record_store_recovery(now)
        self._log("store_regained", away=round(away, 3))

    def _note_failure(self, table: str, error: StoreError) -> None:
        now = read_clock()
        self._state.metrics.add(codes.PLATFORM_ERRORS)
        if self._contact.note_failure(now):
            self._log("store_lost", table=table, reason=str(error))
            # Waits on other connections may have been lost with this one.
            self._store.close_connections()

    # The zone's reader.

    async def _listen(self) -> None:
        """Wait at the zone's reader, if it has one that is not this instance."""
        position = ReaderPosition()
        while True:
            now = read_clock()
            reader = self._selector.select_reader(self._state.instances, now)
            if reader is None:
                self._begin_reading("no reader to wait at")
                await self._state.changed.wait(PLAN_INTERVAL)
                continue
            if position.reader != reader:
                position = ReaderPosition(reader)
            reply = await self._ask_reader(position)
            if reply is None or self._is_starting(read_clock()):
                continue
            if reply.pages or reply.news.items:
                await asyncio.sleep(COALESCE)
            elif self._reads.is_set():
                await asyncio.sleep(PEER_INTERVAL)

    async def _ask_reader(self, position: ReaderPosition) -> ChangesReply | None:
        """Ask the reader once; decides whether this instance has to read the store."""
        reader = position.reader
        row = self._state.instances[reader]
        asked = read_clock()
        is_starting = self._is_starting(asked)
        is_listener = not self._reads.is_set() and position.news is not None
        hold = HOLD if is_listener or (is_starting and self._reader_asked) else 0.0
        reply = await self._peers.wait_changes((row.host, row.port), hold, position)
        now = read_clock()
        if not self._reader_asked:
            self._reader_asked = True
            self._state.changed.notify()
        if reply is None and is_starting:
            # The reader may be starting too; the store is being read meanwhile.
            await asyncio.sleep(START_INTERVAL)
            return None
        if reply is None:
            self._selector.record_no_answer(reader, now)
            self._log("reader_silent", reader=reader, known_age=self._state.show_age(now))
        else:
            self._selector.record_answer(reader)
            self._take_reply(reply, asked, now)
        max_age = self._state.timings.max_age
        if self._state.measure_age(now) > max_age:
            self._begin_reading("what the reader tells is too old")
        elif reply is not None and reply.age <= max_age:
            self._stop_reading(reader)
        return reply

    def _take_reply(self, reply: ChangesReply, asked: float, now: float) -> None:
        """Take in what an instance answered, and how old that is."""
        on_the_way = max(0.0, now - asked - reply.held)
        known_at = now - reply.age - on_the_way
        if now - known_at <= self._state.timings.max_age:
            # Who told it has the store's answers: entries that lapsed with the store are not gone.
            self._note_answer(now)
        self._note_return(reply, asked)
        self._state.known_at = max(self._state.known_at, known_at)
        if reply.pages:
            self._intake.take_pages(reply.pages, "peer")
        self._state.loads.merge_reports(reply.loads, True, now)
        for note in reply.news.items:
            self._state.hear(note, now)

    def _note_return(self, reply: ChangesReply, asked: float) -> None:
        """Take in that the store has returned: what lapsed with it is not gone yet."""
        if reply.since_return is not None:
            self._state.registry.record_store_recovery(asked - reply.since_return)

    def _begin_reading(self, reason: str) -> None:
        if not self._reads.is_set():
            self._reads.set()
            self._state.metrics.add(codes.DIRECT_STORE_READS_STARTED)
            self._log("reads_store", reason=reason, known_age=self._state.show_age(read_clock()))

    def _stop_reading(self, reader: str) -> None:
        if self._reads.is_set():
            self._reads.clear()
            self._store.close_connections()
            self._log("waits_at_reader", reader=reader)

    async def _share_loads(self) -> None:
        """As a reader, tell those of other zones what the targets told this zone."""
        told_at = read_clock()
        while True:
            await asyncio.sleep(HOLD)
            now = read_clock()
            if self._selector.is_reader(self._state.instances, now):
                loads = self._state.loads.list_reports_since(told_at, False, now)
                if loads:
                    await self._peers.tell(Note(loads=loads))
            told_at = now

    # Any other instance.

    async def _ask_peers(self) -> None:
        queue: list[Address] = []
        while True:
            is_starting = self._is_starting(read_clock())
            interval = START_INTERVAL if is_starting else PEER_INTERVAL
            await asyncio.sleep(interval * self._state.random.uniform(0.8, 1.2))
            if self.store_reached and self._knows_tables():
                continue
            if not self._state.instances and not self._may_ask_seeds(read_clock()):
                continue
            # In turn, so that some that are gone do not keep the others from being asked.
            queue = queue or self._shuffle_peers()
            if not queue:
                continue
            asked = read_clock()
            reply = await self._peers.ask_changes(queue.pop())
            if reply is not None and reply.pages:
                self._note_return(reply, asked)
                self._intake.take_pages(reply.pages, "peer")

    def _may_ask_seeds(self, now: float) -> bool:
        is_lost = self._contact.lost_at is not None
        return is_lost or now - self._started_at >= SEED_PATIENCE

    def _is_starting(self, now: float) -> bool:
        """Whether this instance still lacks a table in the first seconds after its start."""
        return now - self._started_at < START_SECONDS and not self._knows_tables()

    def _knows_tables(self) -> bool:
        """Whether each table has been read once, or told by another instance."""
        return all(self._state.mirror.tables[table].known for table in self._tables)

    def _shuffle_peers(self) -> list[Address]:
        peers = self._state.list_peers()
        self._state.random.shuffle(peers)
        return peers

    async def _drop_gone(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for target in self._state.registry.expire_unregistered(read_clock()):
                self._state.placement.record_departure(target, read_clock())
                self._log("target_gone", target=target.id)

    def _log(self, event: str, **fields: Any) -> None:
        self._state.journal.write(event, read_clock(), **fields)
