"""What instances tell one another: changes of the store's tables, crashes, places, joining.

An instance that reads the store and is answered asks the others for nothing. One that waits at its
zone's reader, or whose store is away, turns it away or is cut off, learns from the others what has
come into force. Notes that concern all go to one or two instances a zone, which pass them on to
those that wait there.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Mapping
from typing import Final

import msgspec

from rhubarbbend.core.mirror import TablePage
from rhubarbbend.core.placement import TargetLoad
from rhubarbbend.core.readers import InstanceRow, PeerUpdatePage, ReaderSelector
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Note, State, read_clock
from rhubarbbend.http import ConnectionPool, Exchange, HttpFailure, Response, fetch

CHANGES_PATH: Final = "/peer/changes"
NOTE_PATH: Final = "/peer/note"
HELLO_PATH: Final = "/peer/hello"
CONTENT_TYPE: Final = "application/msgpack"
# An instance of the same region answers in about 3 ms; one that does not in this time is asked
# again later, and another one at once.
TIMEOUT: Final = 0.4
# Answers from this size on are compressed: a configuration of 65 KB shrinks to 11 KB in 0.5 ms, and
# the weakest links known carry 0.6 MB a second.
LEAST_COMPRESSED: Final = 2_048
COMPRESSION_LEVEL: Final = 1
COMPRESSED: Final = "deflate"
# What the store's return excuses lasts for 2 s; an older one is not told.
LONGEST_RETURN: Final = 5.0


class ChangesQuery(msgspec.Struct, array_like=True):
    """The positions of the asker's tables.

    `hold` is for how many seconds the answer may be held back while there is nothing to tell,
    `news` the asker's position in the notes of the one asked; None: it has none. `loads` is what
    targets told the asker since it last asked, `loads_after` the time of the one asked up to which
    the asker has what that heard.
    """

    asker: str
    positions: dict[str, int]
    hold: float = 0.0
    news: int | None = None
    loads: list[TargetLoad] = []
    loads_after: float = 0.0


class ChangesReply(msgspec.Struct, array_like=True):
    """What the tables of the one asked have beyond them, and notes.

    `age`: for how many seconds it has not known that this is all; `held`: for how many the answer
    was held back; `since_return`: how many ago it saw the store return, None if that is long ago;
    `at`: the time of the one asked.
    """

    pages: dict[str, TablePage]
    age: float
    held: float
    since_return: float | None
    news: PeerUpdatePage[Note]
    loads: list[TargetLoad]
    at: float


class ReaderPosition(msgspec.Struct):
    """Up to where an instance has what its reader tells, and when it last told that its own."""

    reader: str = ""
    news: int | None = None
    loads: float = 0.0
    told_at: float = 0.0


class Hello(msgspec.Struct, array_like=True):
    """An instance has joined."""

    instance: str
    row: InstanceRow


class PeerServer:
    """Answers other instances."""

    def __init__(self, state: State) -> None:
        self._state = state

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request of an instance; the handler of the peers' HTTP server."""
        try:
            if exchange.target == CHANGES_PATH:
                query = msgspec.msgpack.decode(exchange.body, type=ChangesQuery)
                await self._serve_changes(exchange, query)
            elif exchange.target == NOTE_PATH:
                note = msgspec.msgpack.decode(exchange.body, type=Note)
                self._state.hear(note, read_clock())
                _respond(exchange, b"")
            elif exchange.target == HELLO_PATH:
                hello = msgspec.msgpack.decode(exchange.body, type=Hello)
                self._state.put_instance(hello.instance, hello.row)
                self._state.joined.notify_soon()
                places = self._state.placement.prompt_locations.list_recent(read_clock())
                _respond(exchange, msgspec.msgpack.encode(Note(places)))
            else:
                exchange.respond(404, [], b"")
        except msgspec.MsgspecError as error:
            self._state.journal.write("peer_unreadable", read_clock(), reason=str(error))
            exchange.respond(400, [], b"")

    async def _serve_changes(self, exchange: Exchange, query: ChangesQuery) -> None:
        asked = read_clock()
        self._state.loads.merge_reports(query.loads, False, asked)
        # One that lacks a table has no use for an age yet, but for the table as soon as it is here.
        lacks_table = any(position < 0 for position in query.positions.values())
        while not exchange.closed.is_set():
            now = read_clock()
            pages = self._state.mirror.list_changes(query.positions)
            news = self._state.peer_updates.list_after(query.news)
            age = self._state.measure_age(now)
            left = query.hold - (now - asked)
            if not lacks_table:
                # The asker goes by the age: it must hear of one that has grown too old at once.
                left = min(left, self._state.timings.max_age - age)
            if pages or news.items or left <= 0.0:
                break
            await self._state.changed.wait(left)
        away = now - self._state.registry.store_recovered_at
        since_return = away if away <= LONGEST_RETURN else None
        aged = PeerUpdatePage([note.add_age(now) for note in news.items], news.position)
        loads = self._state.loads.list_reports_since(query.loads_after, True, now)
        reply = ChangesReply(pages, age, now - asked, since_return, aged, loads, now)
        _respond(exchange, msgspec.msgpack.encode(reply))


class PeerClient:
    """Asks and tells other instances. Every call ends within its time-out."""

    def __init__(self, state: State, pool: ConnectionPool, selector: ReaderSelector) -> None:
        self._state = state
        self._pool = pool
        self._selector = selector
        self._silent: set[Address] = set()
        self._name = state.settings.instance

    async def ask_changes(self, peer: Address) -> ChangesReply | None:
        """Ask an instance for what its tables have beyond the own; None without an answer."""
        return await self._ask(peer, ChangesQuery(self._name, self._list_positions()))

    async def wait_changes(
        self, peer: Address, hold: float, at: ReaderPosition
    ) -> ChangesReply | None:
        """Ask the instance that this one waits at, and give and take what else there is to tell."""
        now = read_clock()
        loads = self._state.loads.list_reports_since(at.told_at, False, now)
        positions = self._list_positions()
        query = ChangesQuery(self._name, positions, hold, at.news, loads, at.loads)
        reply = await self._ask(peer, query)
        if reply is not None:
            at.told_at = now
            at.news = reply.news.position
            at.loads = reply.at
        return reply

    def _list_positions(self) -> dict[str, int]:
        tables = self._state.mirror.tables
        return {name: table.position for name, table in tables.items()}

    async def _ask(self, peer: Address, query: ChangesQuery) -> ChangesReply | None:
        data = msgspec.msgpack.encode(query)
        body = await self._send(peer, CHANGES_PATH, data, query.hold + TIMEOUT)
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=ChangesReply)
        except msgspec.MsgspecError as error:
            self._state.journal.write("peer_unreadable", read_clock(), reason=str(error))
            return None

    async def tell(self, note: Note) -> None:
        """Tell every other instance; this one passes on to those that wait here."""
        self._state.pass_on(note, read_clock())
        await self._tell_relays(NOTE_PATH, msgspec.msgpack.encode(note), self._state.instances)

    async def tell_hello(self, hello: Hello) -> None:
        """Tell every other instance known that this one shares the bounds from now on.

        Their list of instances may be some time old; until they read it again their parts and
        this one's would add up to more than the bound. They do not count this one yet, so who is
        to be told goes by the list without it.
        """
        rows = self._state.instances.items()
        others = {name: row for name, row in rows if name != hello.instance}
        data = msgspec.msgpack.encode(hello)
        replies = await self._tell_relays(HELLO_PATH, data, others)
        for reply in replies:
            if reply:
                told = msgspec.msgpack.decode(reply, type=Note)
                self._state.placement.prompt_locations.merge_locations(told.places, read_clock())

    async def _tell_relays(
        self, path: str, body: bytes, instances: Mapping[str, InstanceRow]
    ) -> list[bytes | None]:
        names = self._selector.list_relays(instances, read_clock())
        return await asyncio.gather(*(self._tell_one(name, path, body) for name in names))

    async def _tell_one(self, name: str, path: str, body: bytes) -> bytes | None:
        row = self._state.instances.get(name)
        if row is None:
            return None
        reply = await self._send((row.host, row.port), path, body)
        if reply is None:
            # The next in the order passes on for it.
            self._selector.record_no_answer(name, read_clock())
        return reply

    async def _send(
        self, peer: Address, path: str, body: bytes, timeout: float = TIMEOUT
    ) -> bytes | None:
        headers = [("Content-Type", CONTENT_TYPE)]
        now = read_clock()
        try:
            async with asyncio.timeout(timeout):
                response, data = await fetch(
                    self._pool, peer, "POST", path, now, body, headers, timeout=timeout
                )
            data = _expand(response, data)
        except TimeoutError:
            self._note_silent(peer, "no answer in time")
            return None
        except (HttpFailure, zlib.error) as failure:
            self._note_silent(peer, str(failure))
            return None
        if peer in self._silent:
            self._silent.discard(peer)
            self._state.journal.write("peer_regained", read_clock(), peer=f"{peer[0]}:{peer[1]}")
        return data if response.status == 200 else None

    def _note_silent(self, peer: Address, reason: str) -> None:
        """Log a peer that gives no answer, once until it does again."""
        if peer not in self._silent:
            self._silent.add(peer)
            self._state.journal.write(
                "peer_silent", read_clock(), peer=f"{peer[0]}:{peer[1]}", reason=reason
            )


def _respond(exchange: Exchange, body: bytes) -> None:
    headers = [("Content-Type", CONTENT_TYPE)]
    if len(body) >= LEAST_COMPRESSED:
        body = zlib.compress(body, COMPRESSION_LEVEL)
        headers.append(("Content-Encoding", COMPRESSED))
    exchange.respond(200, headers, body)


def _expand(response: Response, body: bytes) -> bytes:
    is_compressed = response.headers.get("content-encoding") == COMPRESSED
    return zlib.decompress(body) if is_compressed else body
