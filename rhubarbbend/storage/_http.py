"""The platform over HTTP and JSON, as `standins/platform.py` speaks it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from rhubarbbend.core.actions import Write
from rhubarbbend.core.events import Listed, Row
from rhubarbbend.http import ConnectionPool, HttpFailure, fetch
from rhubarbbend.storage._base import PLATFORMS, PlatformClient, PlatformError

T = TypeVar("T")
MAX_IDLE = 3.0


class WriteAnswer(msgspec.Struct):
    """Answer to a transaction."""

    applied: list[bool]
    rows: list[Row | None]


class RowsAnswer(msgspec.Struct):
    """Answer to a scan."""

    rows: list[Row]


class RowAnswer(msgspec.Struct):
    """Answer to a read of one row."""

    row: Row | None


class ListAnswer(msgspec.Struct):
    """Answer to a read of the list."""

    entries: list[Listed]


@PLATFORMS.register("http")
class HttpPlatform(PlatformClient):
    """Speaks HTTP to the platform; a silent connection costs one time-out and is not used again."""

    def __init__(self, address: tuple[str, int], timeout: float, zone: str) -> None:
        super().__init__(address, timeout, zone)
        self._pool = ConnectionPool(MAX_IDLE)
        self._fresh = False

    async def write_rows(
        self, writes: Sequence[Write], atomic: bool
    ) -> tuple[list[bool], list[Row | None]]:
        """Run conditional writes in one transaction."""
        body = msgspec.json.encode({"writes": writes, "atomic": atomic})
        answer = await self._call("POST", "/tables/write", body, WriteAnswer)
        if len(answer.applied) != len(writes) or len(answer.rows) != len(writes):
            raise PlatformError("the answer does not fit the writes")
        return answer.applied, answer.rows

    async def read_row(self, table: str, key: str) -> Row | None:
        """Read one row."""
        query = urlencode({"table": table, "key": key})
        return (await self._call("GET", f"/tables/read?{query}", b"", RowAnswer)).row

    async def scan_rows(self, table: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order after a key."""
        query = urlencode({"table": table, "after": after, "limit": limit})
        return (await self._call("GET", f"/tables/scan?{query}", b"", RowsAnswer)).rows

    async def read_object(self, name: str) -> bytes:
        """Read an object; empty if there is none."""
        status, body = await self._send("GET", f"/objects/{quote(name)}", b"")
        if status == 404:
            return b""
        self._check_status(status)
        return body

    async def write_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        status, _ = await self._send("PUT", f"/objects/{quote(name)}", data)
        self._check_status(status)

    async def read_list(self) -> list[Listed]:
        """Read the list of instances and targets."""
        query = urlencode({"zone": self.zone})
        return (await self._call("GET", f"/instances?{query}", b"", ListAnswer)).entries

    def drop_idle(self, now: float) -> None:
        """Close connections that have idled too long."""
        self._pool.drop_expired(now)

    async def _call(self, method: str, target: str, body: bytes, kind: type[T]) -> T:
        status, data = await self._send(method, target, body)
        self._check_status(status)
        try:
            return msgspec.json.decode(data, type=kind)
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
                fresh=self._fresh,
            )
        except HttpFailure as failure:
            # The pooled connections may all have gone silent; prove a new one first.
            self._fresh = True
            raise PlatformError(str(failure)) from failure
        finally:
            self.traffic = self._pool.fetch_traffic
        self._fresh = False
        return response.status, data

    def _check_status(self, status: int) -> None:
        if status >= 300:
            raise PlatformError(f"status {status}")
