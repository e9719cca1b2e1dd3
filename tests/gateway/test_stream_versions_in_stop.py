"""Streams that begin at an instance in its planned stop, and are taken up elsewhere once it ends.

The instance is not on the list any more, and whoever it told may be restarted too.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Final

import pytest

from tests.gateway.harness import GatewayFleet, run, start_fleet
from tests.gateway.version_streams import (
    MIN_SHARE,
    SETTLE_S,
    begin_all,
    count_mixed,
    count_whole,
    resume_all,
    start_versions,
)

# The load balancer may send requests to an instance for so long after its planned stop has begun.
STILL_SENT_S: Final = 0.5


async def restart(fleet: GatewayFleet, *names: str) -> None:
    for name in names:
        process = fleet.instances[name].process
        assert process is not None
        await process.kill()
        await fleet.start_instance(name)
        await fleet.wait_ready(name)


async def add_another(fleet: GatewayFleet) -> None:
    """Start an instance that joins, so that all read the list of instances again."""
    await fleet.add_instance("front-3", "zone-a")
    await fleet.start_instance("front-3")
    await fleet.wait_ready("front-3")
    await asyncio.sleep(SETTLE_S)


# Guards against the loss of the streams that a planned stop cuts (LOST): those that began after its
# signal were known to nobody, since notices of an instance that is not listed were dropped and its
# row in the store was not written any more.
@pytest.mark.parametrize("how", ["keepers restarted", "list read again"])
def test_streams_that_began_in_a_planned_stop_go_on_elsewhere(tmp_path: Path, how: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            stopping = fleet.instances["front-0"].process
            assert stopping is not None
            stopping.send_signal(signal.SIGTERM)
            await asyncio.sleep(STILL_SENT_S)
            if how == "list read again":
                await add_another(fleet)
            attempts = await begin_all(fleet, "front-0", 24)
            await asyncio.sleep(SETTLE_S)
            if how == "keepers restarted":
                await restart(fleet, "front-1", "front-2")
            await stopping.kill()
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)
