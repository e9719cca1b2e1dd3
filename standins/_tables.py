"""A stand-in of the users' store: tables of versioned rows with a feed of their changes.

Tests write rows of any table by `POST /admin/rows` {"table", "key", "value" or null}. Faults are
set by `POST /admin/faults` with any of: `status` (answer every call with it; 0: none), `silent`
(calls get no answer), `delay` (seconds), `lose_answers` (so many writes take effect and get none),
`forget` (drop the history now, so that feeds get 410).
"""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import msgspec

from rhubarbbend.http import Exchange
from standins._server import StandIn, answer, read_query

HANG_SECONDS = 60.0
# Tables that only operators and targets write.
PROTECTED = ("op", "servers")


class Faults(msgspec.Struct):
    """What goes wrong at present."""

    status: int = 0
    silent: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class Stored(msgspec.Struct):
    """A row; `deleted` rows stay for the feed."""

    table: str
    key: str
    value: str
    ver: int
    deleted: bool = False
    part: str = ""


class RowCall(msgspec.Struct):
    """A row written by a test; without a value it is dropped."""

    table: str
    key: str
    value: Any = None
    raw: str | None = None


class Tables(StandIn):
    """All rows, in memory. Invariant: versions grow by one with each change."""

    def __init__(self) -> None:
        super().__init__()
        self._faults = Faults()
        self._rows: dict[tuple[str, str], Stored] = {}
        self._version = 0
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self._counts: dict[str, int] = {}

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Serve the fleet."""
        self._counts[path] = self._counts.get(path, 0) + 1
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        if self._faults.silent:
            await self._hang(exchange)
            return
        if self._faults.status:
            answer(exchange, {}, self._faults.status)
            return
        if path == "/rows-get":
            self._get(exchange)
        elif path == "/rows-feed":
            await self._feed(exchange)
        elif path == "/rows-tx":
            await self._transact(exchange)
        else:
            answer(exchange, {}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Serve a test."""
        if name == "rows":
            call = msgspec.json.decode(exchange.body, type=RowCall)
            await self._write(call)
            answer(exchange, {"ver": self._version})
        elif name == "faults":
            changes = msgspec.json.decode(exchange.body)
            if changes.pop("forget", False):
                self._forgotten = self._version
            for field, value in changes.items():
                setattr(self._faults, field, value)
            async with self._changed:
                self._changed.notify_all()
            answer(exchange, self._faults)
        elif name == "counts":
            answer(exchange, self._counts)
        elif name == "table":
            wanted = read_query(exchange)["table"]
            rows = [row for row in self._rows.values() if row.table == wanted and not row.deleted]
            answer(exchange, rows)
        else:
            answer(exchange, {}, 404)

    async def _hang(self, exchange: Exchange) -> None:
        try:
            await asyncio.wait_for(exchange.closed.wait(), HANG_SECONDS)
        except TimeoutError:
            pass
        exchange.abort()

    async def _write(self, call: RowCall) -> None:
        text = call.raw
        if text is None and call.value is not None:
            text = base64.b64encode(msgspec.json.encode(call.value)).decode("ascii")
        await self._put(call.table, call.key, text)

    async def _put(self, table: str, key: str, text: str | None) -> None:
        self._version += 1
        deleted = text is None
        self._rows[(table, key)] = Stored(table, key, text or "", self._version, deleted)
        async with self._changed:
            self._changed.notify_all()

    def _get(self, exchange: Exchange) -> None:
        query = read_query(exchange)
        start = query.get("from", "")
        limit = int(query.get("limit", "500"))
        rows = sorted(
            (
                row
                for (table, key), row in self._rows.items()
                if table == query["table"] and key >= start and not row.deleted
            ),
            key=lambda row: row.key,
        )
        self._answer_rows(exchange, rows[:limit], truncated=len(rows) > limit)

    async def _feed(self, exchange: Exchange) -> None:
        query = read_query(exchange)
        after = int(query["afterRev"])
        ends = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        while True:
            if self._faults.silent:
                await self._hang(exchange)
                return
            if self._faults.status:
                answer(exchange, {}, self._faults.status)
                return
            if after < self._forgotten:
                answer(exchange, {}, 410)
                return
            rows = [
                row
                for row in self._rows.values()
                if row.table == query["table"] and row.ver > after
            ]
            left = ends - time.monotonic()
            if rows or left <= 0:
                self._answer_rows(exchange, sorted(rows, key=lambda row: row.ver))
                return
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass

    def _answer_rows(self, exchange: Exchange, rows: list[Stored], truncated: bool = False) -> None:
        now = int(time.monotonic() * 1000)
        value = {"rows": rows, "ver": self._version, "nowMs": now, "truncated": truncated}
        answer(exchange, value)

    async def _transact(self, exchange: Exchange) -> None:
        call = msgspec.json.decode(exchange.body)
        entries = call.get("puts", []) + call.get("remove", [])
        if any(entry["table"] in PROTECTED for entry in entries):
            answer(exchange, {}, 403)
            return
        current = [(self._find(row), row["ver"]) for row in call.get("expectedRev", [])]
        if any(version != expected for version, expected in current):
            answer(exchange, {"rows": [], "ver": self._version}, 412)
            return
        for entry in call.get("puts", []):
            await self._put(entry["table"], entry["key"], entry["value"])
        for entry in call.get("remove", []):
            await self._put(entry["table"], entry["key"], None)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await self._hang(exchange)
            return
        answer(exchange, {"ver": self._version, "nowMs": int(time.monotonic() * 1000)})

    def _find(self, row: dict[str, Any]) -> int:
        found = self._rows.get((row["table"], row["key"]))
        return 0 if found is None or found.deleted else found.ver
