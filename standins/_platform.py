"""Stand-in for the platform: tables with conditional writes, objects and a list of instances.

The list lags behind by a configured time. `POST /admin/faults` injects faults: `outage` (requests
hang), `delay` (seconds before each response), `lose_answers` (the number of writes that take
effect but get no response), `stale` (reads do not see rows that were written within the last so
many seconds), `list_outage` (requests for the list hang).
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
from standins._server import StandIn, read_query, respond_json

# How long a request that gets no response is kept open.
HANG_TIMEOUT_S = 30.0


class Faults(msgspec.Struct):
    """The faults that are active now."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    list_outage: bool = False
    stale: float = 0.0


class InstanceEntry(msgspec.Struct):
    """One entry of the instance list.

    `addresses` maps the availability zone of a reader to the host, port and peer port that this
    reader sees instead.
    """

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
    """A table row; `at` is the Unix time of its last write."""

    key: str
    value: bytes
    version: int
    at: float = 0.0


class WriteRequest(msgspec.Struct):
    """Body of a write request; if `atomic`, all writes are applied or none."""

    writes: list[Write]
    atomic: bool = False


class Platform(StandIn):
    """The platform's tables, objects and instance list, in memory."""

    def __init__(self, lag: float) -> None:
        super().__init__()
        self._lag = lag
        self._faults = Faults()
        self._tables: dict[str, SortedDict[str, StoredRow]] = {}
        self._objects: dict[str, bytes] = {}
        self._entries: dict[str, InstanceEntry] = {}
        self._list_history: deque[tuple[float, list[InstanceEntry]]] = deque()
        self.counts: dict[str, int] = {"writes": 0, "rows": 0, "reads": 0, "lists": 0}

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Handle a request for tables, objects or the instance list."""
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        if self._faults.outage:
            await self._hang(exchange)
            return
        if path == "/tables/write":
            await self._handle_write(exchange)
        elif path == "/tables/read":
            self._handle_read(exchange)
        elif path == "/tables/scan":
            self._handle_scan(exchange)
        elif path.startswith("/objects/"):
            self._handle_object(exchange, path)
        elif path == "/instances":
            await self._handle_list(exchange)
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Change the faults or the instance list, or return request counts or a table's rows."""
        if name == "faults":
            changes = msgspec.json.decode(exchange.body)
            for field, value in changes.items():
                setattr(self._faults, field, value)
            respond_json(exchange, self._faults)
        elif name == "entries":
            for entry in msgspec.json.decode(exchange.body, type=list[InstanceEntry]):
                self._entries[entry.id] = entry
            self._record_instance_list()
            respond_json(exchange, {})
        elif name == "remove":
            for instance_id in msgspec.json.decode(exchange.body, type=list[str]):
                self._entries.pop(instance_id, None)
            self._record_instance_list()
            respond_json(exchange, {})
        elif name == "counts":
            respond_json(exchange, self.counts)
        elif name == "rows":
            table = self._tables.get(read_query(exchange)["table"], SortedDict())
            respond_json(exchange, list(table.values()))
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    async def _hang(self, exchange: Exchange) -> None:
        with_timeout = asyncio.wait_for(exchange.closed.wait(), HANG_TIMEOUT_S)
        try:
            await with_timeout
        except TimeoutError:
            pass
        exchange.abort()

    async def _handle_write(self, exchange: Exchange) -> None:
        request = msgspec.json.decode(exchange.body, type=WriteRequest)
        self.counts["writes"] += 1
        self.counts["rows"] += len(request.writes)
        matches = [self._is_version_expected(write) for write in request.writes]
        can_apply = all(matches) if request.atomic else True
        applied = [match and can_apply for match in matches]
        rows: list[StoredRow | None] = []
        for write, is_applied in zip(request.writes, applied, strict=True):
            rows.append(
                self._put_row(write) if is_applied else self._find_row(write.table, write.key)
            )
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            await self._hang(exchange)
            return
        respond_json(exchange, {"applied": applied, "rows": rows})

    def _find_row(self, table: str, key: str) -> StoredRow | None:
        found: StoredRow | None = self._tables.get(table, SortedDict()).get(key)
        return found

    def _is_version_expected(self, write: Write) -> bool:
        row = self._find_row(write.table, write.key)
        return write.expect < 0 or write.expect == (0 if row is None else row.version)

    def _put_row(self, write: Write) -> StoredRow:
        table = self._tables.setdefault(write.table, SortedDict())
        row = table.get(write.key)
        version = 1 if row is None else row.version + 1
        stored = StoredRow(write.key, write.value, version, time.time())
        table[write.key] = stored
        return stored

    def _handle_read(self, exchange: Exchange) -> None:
        self.counts["reads"] += 1
        query = read_query(exchange)
        row = self._find_row(query["table"], query["key"])
        respond_json(exchange, {"row": row if row is None or self._is_visible(row) else None})

    def _handle_scan(self, exchange: Exchange) -> None:
        self.counts["reads"] += 1
        query = read_query(exchange)
        table = self._tables.get(query["table"], SortedDict())
        limit = int(query["limit"])
        rows: list[StoredRow] = []
        for key in table.irange(minimum=query["after"], inclusive=(False, True)):
            if len(rows) >= limit or not self._is_visible(table[key]):
                break
            rows.append(table[key])
        respond_json(exchange, {"rows": rows})

    def _is_visible(self, row: StoredRow) -> bool:
        return not self._faults.stale or row.at <= time.time() - self._faults.stale

    def _handle_object(self, exchange: Exchange, path: str) -> None:
        name = path.removeprefix("/objects/")
        if exchange.method == "PUT":
            self._objects[name] = exchange.body
            respond_json(exchange, {})
        elif name in self._objects:
            exchange.respond(200, [], self._objects[name])
        else:
            respond_json(exchange, {"error": "no such object"}, 404)

    def _record_instance_list(self) -> None:
        self._list_history.append((time.time(), list(self._entries.values())))
        while len(self._list_history) > 1 and self._list_history[1][0] < time.time() - self._lag:
            self._list_history.popleft()

    async def _handle_list(self, exchange: Exchange) -> None:
        if self._faults.list_outage:
            await self._hang(exchange)
            return
        self.counts["lists"] += 1
        zone = read_query(exchange).get("zone", "")
        entries: list[InstanceEntry] = []
        for at, instances in self._list_history:
            if at <= time.time() - self._lag:
                entries = instances
        respond_json(exchange, {"entries": [_make_view(entry, zone) for entry in entries]})


def _make_view(entry: InstanceEntry, zone: str) -> dict[str, Any]:
    view: dict[str, Any] = msgspec.to_builtins(entry)
    addresses = view.pop("addresses")
    if zone in addresses:
        view["host"], view["port"], view["peer_port"] = addresses[zone]
    return view
