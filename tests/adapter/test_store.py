"""The client of the store, against the stand-in in this process."""

from __future__ import annotations

import asyncio

import pytest

from adapter import TableStore
from rhubarbbend.storage import RowChanged
from standins._tables import Tables


def test_a_row_is_dropped_only_as_the_version_that_is_named() -> None:
    # A row was judged to be of a lost instance, which then writes it anew. If it were dropped all
    # the same, the instance would share the bounds uncounted until it noticed.
    async def work() -> None:
        port = await Tables().listen("127.0.0.1", 0)
        store = TableStore(("127.0.0.1", port))
        await store.put_row("instances", "front-0", b"first")
        judged = (await store.read_table("instances")).rows[0]
        await store.put_row("instances", "front-0", b"again")
        with pytest.raises(RowChanged):
            await store.remove_row("instances", "front-0", judged.version)
        present = (await store.read_table("instances")).rows[0]
        assert present.value == b"again"
        await store.remove_row("instances", "front-0", present.version)
        assert (await store.read_table("instances")).rows == []
        store.reset()

    asyncio.run(asyncio.wait_for(work(), 10.0))
