"""A stand-in of the platform: tables with conditional writes, objects, and a lagging list.

Faults are set by `POST /admin/faults` with any of: `outage` (calls hang), `delay` (seconds),
`lose_answers` (how many writes take effect and are not answered), `stale` (reads see the tables
of that many seconds ago at most), `list_outage`.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from rhubarbbend.core.actions import Write
from rhubarbbend.http import Exchange
from standins._server import StandIn, answer, read_query

HANG_SECONDS = 30.0


class Faults(msgspec.Struct):
    """What goes wrong at present."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    list_outage: bool = False
    stale: float = 0.0


class Entry(msgspec.Struct):
    """An entry of the list. `addresses` gives, by the viewer's zone, another host and port."""

    id: str
    kind: str
    zone: str
    host: str
    port: int
    peer_port: int = 0
    service_name: str = ""
    state: str = "live"
    addresses: dict[str, tuple[str, int, int]] = {}


class StoredRow(msgspec.Struct):
    """A row with the time of its last write."""

    key: str
    value: bytes
    version: int
    at: float = 0.0


class WriteCall(msgspec.Struct):
    """Body of a transaction."""

    writes: list[Write]
    atomic: bool = False


class Platform(StandIn):
    """Tables, objects and the list, in memory."""

    def __init__(self, lag: float) -> None:
        super().__init__()
        self._lag = lag
        self._faults = Faults()
        self._tables: dict[str, SortedDict[str, StoredRow]] = {}
        self._objects: dict[str, bytes] = {}
        self._entries: dict[str, Entry] = {}
        self._history: deque[tuple[float, list[Entry]]] = deque()
        self.counts: dict[str, int] = {"writes": 0, "rows": 0, "reads": 0, "lists": 0}

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Serve the fleet."""
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        if self._faults.outage:
            await self._hang(exchange)
            return
        if path == "/tables/write":
            await self._write(exchange)
        elif path == "/tables/read":
            self._read(exchange)
        elif path == "/tables/scan":
            self._scan(exchange)
        elif path.startswith("/objects/"):
            self._serve_object(exchange, path)
        elif path == "/instances":
            await self._list(exchange)
        else:
            answer(exchange, {"error": "no such path"}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Serve a test: faults, the list, figures and rows."""
        if name == "faults":
            changes = msgspec.json.decode(exchange.body)
            for field, value in changes.items():
                setattr(self._faults, field, value)
            answer(exchange, self._faults)
        elif name == "entries":
            for entry in msgspec.json.decode(exchange.body, type=list[Entry]):
                self._entries[entry.id] = entry
            self._note_list()
            answer(exchange, {})
        elif name == "remove":
            for known in msgspec.json.decode(exchange.body, type=list[str]):
                self._entries.pop(known, None)
            self._note_list()
            answer(exchange, {})
        elif name == "counts":
            answer(exchange, self.counts)
        elif name == "rows":
            table = self._tables.get(read_query(exchange)["table"], SortedDict())
            answer(exchange, list(table.values()))
        else:
            answer(exchange, {"error": "no such path"}, 404)

    async def _hang(self, exchange: Exchange) -> None:
        with_timeout = asyncio.wait_for(exchange.closed.wait(), HANG_SECONDS)
        try:
            await with_timeout
        except TimeoutError:
            pass
        exchange.abort()

    async def _write(self, exchange: Exchange) -> None:
        call = msgspec.json.decode(exchange.body, type=WriteCall)
        self.counts["writes"] += 1
        self.counts["rows"] += len(call.writes)
        fits = [self._fits(write) for write in call.writes]
        run = all(fits) if call.atomic else True
        applied = [fit and run for fit in fits]
        rows: list[StoredRow | None] = []
        for write, apply in zip(call.writes, applied, strict=True):
            rows.append(self._put(write) if apply else self._find(write.table, write.key))
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await self._hang(exchange)
            return
        answer(exchange, {"applied": applied, "rows": rows})

    def _find(self, table: str, key: str) -> StoredRow | None:
        found: StoredRow | None = self._tables.get(table, SortedDict()).get(key)
        return found

    def _fits(self, write: Write) -> bool:
        row = self._find(write.table, write.key)
        return write.expect < 0 or write.expect == (0 if row is None else row.version)

    def _put(self, write: Write) -> StoredRow:
        table = self._tables.setdefault(write.table, SortedDict())
        row = table.get(write.key)
        version = 1 if row is None else row.version + 1
        stored = StoredRow(write.key, write.value, version, time.time())
        table[write.key] = stored
        return stored

    def _read(self, exchange: Exchange) -> None:
        self.counts["reads"] += 1
        query = read_query(exchange)
        row = self._find(query["table"], query["key"])
        answer(exchange, {"row": row if row is None or self._is_visible(row) else None})

    def _scan(self, exchange: Exchange) -> None:
        self.counts["reads"] += 1
        query = read_query(exchange)
        table = self._tables.get(query["table"], SortedDict())
        limit = int(query["limit"])
        rows: list[StoredRow] = []
        for key in table.irange(minimum=query["after"], inclusive=(False, True)):
            if len(rows) >= limit or not self._is_visible(table[key]):
                break
            rows.append(table[key])
        answer(exchange, {"rows": rows})

    def _is_visible(self, row: StoredRow) -> bool:
        return not self._faults.stale or row.at <= time.time() - self._faults.stale

    def _serve_object(self, exchange: Exchange, path: str) -> None:
        name = path.removeprefix("/objects/")
        if exchange.method == "PUT":
            self._objects[name] = exchange.body
            answer(exchange, {})
        elif name in self._objects:
            exchange.respond(200, [], self._objects[name])
        else:
            answer(exchange, {"error": "no such object"}, 404)

    def _note_list(self) -> None:
        self._history.append((time.time(), list(self._entries.values())))
        while len(self._history) > 1 and self._history[1][0] < time.time() - self._lag:
            self._history.popleft()

    async def _list(self, exchange: Exchange) -> None:
        if self._faults.list_outage:
            await self._hang(exchange)
            return
        self.counts["lists"] += 1
        zone = read_query(exchange).get("zone", "")
        entries: list[Entry] = []
        for at, known in self._history:
            if at <= time.time() - self._lag:
                entries = known
        answer(exchange, {"entries": [_show_to(entry, zone) for entry in entries]})


def _show_to(entry: Entry, zone: str) -> dict[str, Any]:
    shown: dict[str, Any] = msgspec.to_builtins(entry)
    addresses = shown.pop("addresses")
    if zone in addresses:
        shown["host"], shown["port"], shown["peer_port"] = addresses[zone]
    return shown
