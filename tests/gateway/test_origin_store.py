"""The row of origins of one instance, without other processes."""

from __future__ import annotations

import asyncio

import msgspec

from rhubarbbend.core.directory import TargetRecord, TargetState
from rhubarbbend.core.streams import StreamOrigin, VersionRecord
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._origin_store import OriginStore
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.storage import StoreError
from tests.gateway.harness import run
from tests.gateway.test_follower import ScriptedStore


class RefusingStore(ScriptedStore):
    """Refuses the first write of a row, and keeps the value of the last one."""

    def __init__(self) -> None:
        super().__init__()
        self.refusals = 1
        self.value = b""

    async def put_row(self, table: str, key: str, value: bytes) -> None:
        if self.refusals:
            self.refusals -= 1
            raise StoreError("away")
        self.value = value


# Guards against streams that are lost with their instances (LOST) although the store was away only
# for a moment: a write that failed was not made again until another stream began.
def test_write_that_failed_is_made_again() -> None:
    async def work() -> None:
        address = ("127.0.0.1", 1)
        settings = GatewaySettings("front-0", "zone-a", address, address, address)
        state = State(settings, ("config", "targets"), EventLog("front-0", descriptor=2))
        for number in (1, 2):
            record = TargetRecord(
                f"t-{number}",
                "llm",
                "10.0.0.1",
                number,
                "a",
                1,
                TargetState.READY,
                version=f"v{number}",
            )
            state.registry.register(record, read_clock())
        state.version_history.record_table({"llm": VersionRecord(("v1",))})
        store = RefusingStore()
        origins = OriginStore(state, store)
        origins.record(5, 11)
        writing = asyncio.create_task(origins.run())
        await asyncio.sleep(1.5)
        writing.cancel()
        assert msgspec.msgpack.decode(store.value, type=list[StreamOrigin]) == [StreamOrigin(5, 11)]

    run(work)
