"""Stand-in for the users' store: tables of versioned rows with a feed of their changes.

Tests write rows of any table by `POST /admin/rows` with {"table", "key", "value"}; a null value
deletes the row. `POST /admin/faults` injects faults: `status` (the status code of every response;
0: none), `silent` (requests get no response), `delay` (seconds before each response),
`lose_answers` (the number of writes that take effect but get no response), `forget` (drop the
change history now, so that feeds from an earlier revision get status 410).

`POST /admin/views` with {"port": 0, "addresses": {...}} opens a port at which the addresses in rows
of targets are replaced by others, and returns it; with the port of a view, it changes what that one
replaces. So each caller can be given links to the targets of its own.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Mapping
from contextvars import ContextVar
from typing import Any

import msgspec

from rhubarbbend.http import Exchange, HttpServer
from standins._server import StandIn, read_query, respond_json

# How long a request that gets no response is kept open.
HANG_TIMEOUT_S = 60.0
# Only operators and targets write these tables; transactions of the fleet get status 403.
READ_ONLY_TABLES = ("op", "servers")
TARGET_TABLE = "servers"

# The addresses that replace others in the response to the present request.
replaced_addresses: ContextVar[Mapping[str, str]] = ContextVar("replaced_addresses")


class Faults(msgspec.Struct):
    """The faults that are active now."""

    status: int = 0
    silent: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class StoredRow(msgspec.Struct):
    """A row. Deleted rows are kept, so that the feed reports the deletion."""

    table: str
    key: str
    value: str
    ver: int
    deleted: bool = False
    part: str = ""


class RowWriteRequest(msgspec.Struct):
    """A row written by a test; a row without a value is deleted.

    `raw` is stored as it is; `value` is stored as base64 of its JSON.
    """

    table: str
    key: str
    value: Any = None
    raw: str | None = None


class ViewRequest(msgspec.Struct):
    """Body of a request to open a view, or to change the addresses of the one with this port."""

    addresses: dict[str, str]
    port: int = 0


class TableStore(StandIn):
    """The store, in memory. Invariant: each change increases the version by one."""

    def __init__(self) -> None:
        super().__init__()
        self._faults = Faults()
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._version = 0
        self._oldest_revision = 0
        self._changed = asyncio.Condition()
        self._counts: dict[str, int] = {}
        self._host = ""
        self._views: dict[int, dict[str, str]] = {}

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections; return the port in use."""
        self._host = host
        return await super().listen(host, port)

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Handle a read, a feed or a transaction."""
        self._counts[path] = self._counts.get(path, 0) + 1
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        if self._faults.silent:
            await self._hang(exchange)
            return
        if self._faults.status:
            respond_json(exchange, {}, self._faults.status)
            return
        if path == "/rows-get":
            self._handle_get(exchange)
        elif path == "/rows-feed":
            await self._handle_feed(exchange)
        elif path == "/rows-tx":
            await self._handle_transaction(exchange)
        else:
            respond_json(exchange, {}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Write a row, change the faults, or return request counts or a table's rows."""
        if name == "rows":
            request = msgspec.json.decode(exchange.body, type=RowWriteRequest)
            await self._write_row(request)
            respond_json(exchange, {"ver": self._version})
        elif name == "faults":
            changes = msgspec.json.decode(exchange.body)
            if changes.pop("forget", False):
                self._oldest_revision = self._version
            for field, value in changes.items():
                setattr(self._faults, field, value)
            async with self._changed:
                self._changed.notify_all()
            respond_json(exchange, self._faults)
        elif name == "counts":
            respond_json(exchange, self._counts)
        elif name == "views":
            view = msgspec.json.decode(exchange.body, type=ViewRequest)
            port = view.port or await self._open_view()
            self._views[port] = view.addresses
            respond_json(exchange, {"port": port})
        elif name == "table":
            wanted = read_query(exchange)["table"]
            rows = [row for row in self._rows.values() if row.table == wanted and not row.deleted]
            respond_json(exchange, rows)
        else:
            respond_json(exchange, {}, 404)

    async def _open_view(self) -> int:
        async def serve(exchange: Exchange) -> None:
            replaced_addresses.set(self._views[port])
            await self._dispatch(exchange)

        port = await HttpServer(serve).listen(self._host, 0)
        return port

    async def _hang(self, exchange: Exchange) -> None:
        try:
            await asyncio.wait_for(exchange.closed.wait(), HANG_TIMEOUT_S)
        except TimeoutError:
            pass
        exchange.abort()

    async def _write_row(self, request: RowWriteRequest) -> None:
        text = request.raw
        if text is None and request.value is not None:
            text = base64.b64encode(msgspec.json.encode(request.value)).decode("ascii")
        await self._put(request.table, request.key, text)

    async def _put(self, table: str, key: str, text: str | None) -> None:
        self._version += 1
        deleted = text is None
        self._rows[(table, key)] = StoredRow(table, key, text or "", self._version, deleted)
        async with self._changed:
            self._changed.notify_all()

    def _handle_get(self, exchange: Exchange) -> None:
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
        self._respond_rows(exchange, rows[:limit], truncated=len(rows) > limit)

    async def _handle_feed(self, exchange: Exchange) -> None:
        query = read_query(exchange)
        after = int(query["afterRev"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        while True:
            if self._faults.silent:
                await self._hang(exchange)
                return
            if self._faults.status:
                respond_json(exchange, {}, self._faults.status)
                return
            if after < self._oldest_revision:
                respond_json(exchange, {}, 410)
                return
            rows = [
                row
                for row in self._rows.values()
                if row.table == query["table"] and row.ver > after
            ]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                self._respond_rows(exchange, sorted(rows, key=lambda row: row.ver))
                return
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining)
                except TimeoutError:
                    pass

    def _respond_rows(
        self, exchange: Exchange, rows: list[StoredRow], truncated: bool = False
    ) -> None:
        now = int(time.monotonic() * 1000)
        addresses = replaced_addresses.get({})
        rows = [_replace_address(row, addresses) for row in rows]
        value = {"rows": rows, "ver": self._version, "nowMs": now, "truncated": truncated}
        respond_json(exchange, value)

    async def _handle_transaction(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body)
        entries = request.get("puts", []) + request.get("remove", [])
        if any(entry["table"] in READ_ONLY_TABLES for entry in entries):
            respond_json(exchange, {}, 403)
            return
        versions = [(self._get_version(row), row["ver"]) for row in request.get("expectedRev", [])]
        if any(version != expected for version, expected in versions):
            respond_json(exchange, {"rows": [], "ver": self._version}, 412)
            return
        for entry in request.get("puts", []):
            await self._put(entry["table"], entry["key"], entry["value"])
        for entry in request.get("remove", []):
            await self._put(entry["table"], entry["key"], None)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await self._hang(exchange)
            return
        respond_json(exchange, {"ver": self._version, "nowMs": int(time.monotonic() * 1000)})

    def _get_version(self, row: dict[str, Any]) -> int:
        found = self._rows.get((row["table"], row["key"]))
        return 0 if found is None or found.deleted else found.ver


def _replace_address(row: StoredRow, addresses: Mapping[str, str]) -> StoredRow:
    """Return the row of a target with another address if there is one for its own."""
    if row.table != TARGET_TABLE or row.deleted or not addresses:
        return row
    try:
        entry = msgspec.json.decode(base64.b64decode(row.value))
        entry["address"] = addresses.get(entry["address"], entry["address"])
    except (ValueError, KeyError, TypeError):
        # The row of another writer is passed on as it is.
        return row
    text = base64.b64encode(msgspec.json.encode(entry)).decode("ascii")
    return msgspec.structs.replace(row, value=text)
