"""What instances tell one another: changes of the store's tables, crashes, places, joining.

An instance that reaches the store asks the others for nothing. One that does not, because the
store is away, turns it away or is cut off from it, learns from them what has come into force.
"""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec

from rhubarbbend.core.mirror import TablePage
from rhubarbbend.core.placement import Place
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import InstanceRow, State, read_clock
from rhubarbbend.http import ConnectionPool, Exchange, HttpFailure, fetch

CHANGES_PATH: Final = "/peer/changes"
CRASHES_PATH: Final = "/peer/crashes"
HELLO_PATH: Final = "/peer/hello"
PLACES_PATH: Final = "/peer/places"
CONTENT_TYPE: Final = "application/msgpack"
# An instance of the same region answers in about 3 ms; one that does not in this time is asked
# again later, and another one at once.
TIMEOUT: Final = 0.4


class ChangesQuery(msgspec.Struct, array_like=True):
    """The positions of the asker's tables."""

    asker: str
    positions: dict[str, int]


class ChangesReply(msgspec.Struct, array_like=True):
    """What the tables of the one asked have beyond them."""

    pages: dict[str, TablePage]


class CrashNote(msgspec.Struct, array_like=True):
    """A request was at the crash of a target."""

    digest: str
    target: str


class PlacesNote(msgspec.Struct, array_like=True):
    """Prompts and where they were sent last."""

    places: list[Place]


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
                pages = self._state.mirror.list_changes(query.positions)
                _respond(exchange, msgspec.msgpack.encode(ChangesReply(pages)))
            elif exchange.target == CRASHES_PATH:
                note = msgspec.msgpack.decode(exchange.body, type=CrashNote)
                self._state.crashes.note_crash(note.digest, note.target, read_clock())
                _respond(exchange, b"")
            elif exchange.target == HELLO_PATH:
                hello = msgspec.msgpack.decode(exchange.body, type=Hello)
                self._state.instances[hello.instance] = hello.row
                places = self._state.placement.places.list_recent(read_clock())
                _respond(exchange, msgspec.msgpack.encode(PlacesNote(places)))
            elif exchange.target == PLACES_PATH:
                told = msgspec.msgpack.decode(exchange.body, type=PlacesNote)
                self._state.placement.places.hear(told.places, read_clock())
                _respond(exchange, b"")
            else:
                exchange.respond(404, [], b"")
        except msgspec.MsgspecError as error:
            self._state.journal.write("peer_unreadable", read_clock(), reason=str(error))
            exchange.respond(400, [], b"")


class PeerClient:
    """Asks and tells other instances. Every call ends within TIMEOUT."""

    def __init__(self, state: State, pool: ConnectionPool) -> None:
        self._state = state
        self._pool = pool
        self._silent: set[Address] = set()

    async def ask_changes(self, peer: Address) -> dict[str, TablePage] | None:
        """Ask an instance for what its tables have beyond the own; None without an answer."""
        tables = self._state.mirror.tables
        positions = {name: table.position for name, table in tables.items()}
        query = ChangesQuery(self._state.settings.instance, positions)
        body = await self._send(peer, CHANGES_PATH, msgspec.msgpack.encode(query))
        if body is None:
            return None
        try:
            return msgspec.msgpack.decode(body, type=ChangesReply).pages
        except msgspec.MsgspecError as error:
            self._state.journal.write("peer_unreadable", read_clock(), reason=str(error))
            return None

    async def tell_crash(self, note: CrashNote) -> None:
        """Tell every other instance of a crash."""
        await self._tell_all(CRASHES_PATH, msgspec.msgpack.encode(note))

    async def tell_hello(self, hello: Hello) -> None:
        """Tell every other instance known that this one shares the bounds from now on.

        Their list of instances may be some time old; until they read it again their parts and
        this one's would add up to more than the bound.
        """
        replies = await self._tell_all(HELLO_PATH, msgspec.msgpack.encode(hello))
        for reply in replies:
            if reply:
                told = msgspec.msgpack.decode(reply, type=PlacesNote)
                self._state.placement.places.hear(told.places, read_clock())

    async def tell_places(self, places: list[Place]) -> None:
        """Tell every other instance where prompts were sent."""
        await self._tell_all(PLACES_PATH, msgspec.msgpack.encode(PlacesNote(places)))

    async def _tell_all(self, path: str, body: bytes) -> list[bytes | None]:
        peers = self._state.list_peers()
        return await asyncio.gather(*(self._send(peer, path, body) for peer in peers))

    async def _send(self, peer: Address, path: str, body: bytes) -> bytes | None:
        headers = [("Content-Type", CONTENT_TYPE)]
        now = read_clock()
        try:
            response, data = await fetch(
                self._pool, peer, "POST", path, now, body, headers, timeout=TIMEOUT
            )
        except HttpFailure as failure:
            self._note_silent(peer, failure)
            return None
        if peer in self._silent:
            self._silent.discard(peer)
            self._state.journal.write("peer_regained", read_clock(), peer=f"{peer[0]}:{peer[1]}")
        return data if response.status == 200 else None

    def _note_silent(self, peer: Address, failure: HttpFailure) -> None:
        """Log a peer that gives no answer, once until it does again."""
        if peer not in self._silent:
            self._silent.add(peer)
            self._state.journal.write(
                "peer_silent", read_clock(), peer=f"{peer[0]}:{peer[1]}", reason=str(failure)
            )


def _respond(exchange: Exchange, body: bytes) -> None:
    exchange.respond(200, [("Content-Type", CONTENT_TYPE)], body)
