"""A platform client over HTTP and JSON, the protocol that `standins/_platform.py` implements."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from rhubarbbend.core.actions import Write
from rhubarbbend.core.events import Listed, Row
from rhubarbbend.decoding import decode_json
from rhubarbbend.http import ConnectionPool, HttpFailure, fetch
from rhubarbbend.storage._base import PLATFORMS, PlatformClient, PlatformError

T = TypeVar("T")
# How long a connection to the platform is kept idle for reuse.
MAX_IDLE_S = 3.0


class WriteResponse(msgspec.Struct):
    """The response to a transaction."""

    applied: list[bool]
    rows: list[Row | None]


class RowsResponse(msgspec.Struct):
    """The response to a scan."""

    rows: list[Row]


class RowResponse(msgspec.Struct):
    """The response to a read of one row."""

    row: Row | None


class ListResponse(msgspec.Struct):
    """The response to a read of the list of instances and targets."""

    entries: list[Listed]


@PLATFORMS.register("http")
class HttpPlatform(PlatformClient):
    """Calls the platform over HTTP.

    A dead connection costs one time-out: after a failed call, the next call opens a new connection.
    """

    def __init__(self, address: tuple[str, int], timeout: float, zone: str) -> None:
        super().__init__(address, timeout, zone)
        self._pool = ConnectionPool(MAX_IDLE_S)
        self._use_new_connection = False

    async def write_rows(
        self, writes: Sequence[Write], atomic: bool
    ) -> tuple[list[bool], list[Row | None]]:
        """Run conditional writes in one transaction; see `PlatformClient.write_rows`."""
        body = msgspec.json.encode({"writes": writes, "atomic": atomic})
        response = await self._call("POST", "/tables/write", body, WriteResponse)
        if len(response.applied) != len(writes) or len(response.rows) != len(writes):
            raise PlatformError(
                "response has another number of results than the request has writes"
            )
        return response.applied, response.rows

    async def read_row(self, table: str, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        query = urlencode({"table": table, "key": key})
        return (await self._call("GET", f"/tables/read?{query}", b"", RowResponse)).row

    async def scan_rows(self, table: str, after: str, limit: int) -> list[Row]:
        """Return at most `limit` rows in key order, starting after the key `after`."""
        query = urlencode({"table": table, "after": after, "limit": limit})
        return (await self._call("GET", f"/tables/scan?{query}", b"", RowsResponse)).rows

    async def read_object(self, name: str) -> bytes:
        """Return the content of an object; empty if it does not exist."""
        status, body = await self._send("GET", f"/objects/{quote(name)}", b"")
        if status == 404:
            return b""
        self._check_status(status)
        return body

    async def write_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        status, _ = await self._send("PUT", f"/objects/{quote(name)}", data)
        self._check_status(status)

    async def read_instance_list(self) -> list[Listed]:
        """Return the instances and targets, with their addresses as seen from the own zone."""
        query = urlencode({"zone": self.zone})
        return (await self._call("GET", f"/instances?{query}", b"", ListResponse)).entries

    def close_expired_idle(self, now: float) -> None:
        """Close connections that were idle too long."""
        self._pool.close_expired(now)

    async def _call(self, method: str, target: str, body: bytes, response_type: type[T]) -> T:
        status, data = await self._send(method, target, body)
        self._check_status(status)
        try:
            return decode_json(data, type=response_type)
        except msgspec.MsgspecError as error:
            raise PlatformError(str(error)) from error

    async def _send(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        now = asyncio.get_running_loop().time()
        headers: list[tuple[str, Any]] = [("Content-Type", "application/json")]
        try:
            response, data = await fetch(
                self._pool,
                self.address,
                method,
                target,
                now,
                body=body,
                headers=headers,
                timeout=self.timeout,
                new_connection=self._use_new_connection,
            )
        except HttpFailure as failure:
            # All pooled connections may be dead; use new ones until one of them has worked.
            self._use_new_connection = True
            raise PlatformError(str(failure)) from failure
        finally:
            self.traffic = self._pool.fetch_traffic
        self._use_new_connection = False
        return response.status, data

    def _check_status(self, status: int) -> None:
        if status >= 300:
            raise PlatformError(f"platform responded with a status that is not below 300: {status}")
