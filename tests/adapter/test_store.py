"""The client of the platform's store, run against servers in the same process."""

from __future__ import annotations

import asyncio
import base64
import time

import msgspec
import pytest

from adapter import PlatformRowStore
from adapter._row_store import RowsResponse, WireRow
from rhubarbbend.storage import RowPut, RowVersion, StoreError, VersionConflict
from standins._table_store import TableStore

# Simulates a slow link: one chunk per pause. A table of 100 KB takes 1.3 s in total, which is
# longer than the time for which the store may send no data.
CHUNK_BYTES, PAUSE_S = 8_192, 0.1


async def start_slow_server(body: bytes, stall_after: int | None = None) -> asyncio.Server:
    """Answer every request with `body` in chunks; send no more data after `stall_after` bytes."""

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        for start in range(0, len(body), CHUNK_BYTES):
            if stall_after is not None and start >= stall_after:
                await reader.read()
                return
            await asyncio.sleep(PAUSE_S)
            writer.write(body[start : start + CHUNK_BYTES])

    return await asyncio.start_server(handle_connection, "127.0.0.1", 0)


def make_large_table() -> bytes:
    row = WireRow("config", 7, base64.b64encode(b"x" * 75_000).decode())
    return msgspec.json.encode(RowsResponse([row], 7))


@pytest.mark.parametrize("feed", [False, True])
def test_large_row_is_read_over_slow_link(feed: bool) -> None:
    # A configuration with many routes takes more than a second to reach an instance over a slow
    # link. With a limit of one second on the whole response each try was aborted and started again,
    # so the instance never got its configuration and refused every caller.
    async def run() -> None:
        server = await start_slow_server(make_large_table())
        store = PlatformRowStore(server.sockets[0].getsockname())
        page = await (store.watch_table("op", 1, 0.0) if feed else store.read_table("op"))
        assert [len(row.value or b"") for row in page.rows] == [75_000]
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_response_that_stalls_midway_fails() -> None:
    async def run() -> None:
        server = await start_slow_server(make_large_table(), stall_after=2 * CHUNK_BYTES)
        store = PlatformRowStore(server.sockets[0].getsockname())
        started_at = time.monotonic()
        with pytest.raises(StoreError):
            await store.read_table("op")
        assert time.monotonic() - started_at < 2.0
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_row_is_deleted_only_at_the_given_version() -> None:
    # An instance decides to delete the row of another one that seems lost, but that one writes its
    # row again first. If the row were deleted anyway, the live instance would use its share of the
    # fleet's limits without being counted, until it noticed that its row is gone.
    async def run() -> None:
        port = await TableStore().listen("127.0.0.1", 0)
        store = PlatformRowStore(("127.0.0.1", port))
        await store.put_row("instances", "front-0", b"first")
        outdated = (await store.read_table("instances")).rows[0]
        await store.put_row("instances", "front-0", b"again")
        with pytest.raises(VersionConflict):
            await store.remove_row("instances", "front-0", outdated.version)
        current = (await store.read_table("instances")).rows[0]
        assert current.value == b"again"
        await store.remove_row("instances", "front-0", current.version)
        assert (await store.read_table("instances")).rows == []
        store.close_connections()

    asyncio.run(asyncio.wait_for(run(), 10.0))


def test_two_rows_are_written_together_or_not_at_all() -> None:
    # Two instances record the outcome of the same roll-out. If the second replaced the record, or
    # wrote the status for operators beside the first one's record, operators would see both.
    async def run() -> None:
        port = await TableStore().listen("127.0.0.1", 0)
        store = PlatformRowStore(("127.0.0.1", port))
        absent = await store.read_row("rollouts", "llm")
        assert (absent.value, absent.version) == (None, 0)
        for outcome in (b"first", b"second"):
            puts = [RowPut("rollouts", "llm", outcome), RowPut("status", "rollout/llm", outcome)]
            try:
                await store.write_rows(puts, [RowVersion("rollouts", "llm", absent.version)])
            except VersionConflict:
                assert outcome == b"second"
        row = await store.read_row("rollouts", "llm")
        assert row.value == (await store.read_row("status", "rollout/llm")).value == b"first"
        assert row.version > 0 and row.store_time_s > 0.0
        store.close_connections()

    asyncio.run(asyncio.wait_for(run(), 10.0))
