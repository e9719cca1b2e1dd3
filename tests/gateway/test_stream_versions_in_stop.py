"""Streams that begin at an instance in its planned stop, and are taken up elsewhere once it ends.

The instance is not on the list any more, and whoever it told may be restarted too.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Final

from loadtool._processes import ManagedProcess
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

# When streams begin, after the signal: the load balancer may still send requests, and for the late
# ones the stop is nearly over.
EARLY_S: Final = 0.5
LATE_S: Final = 2.3


def get_process(fleet: GatewayFleet, name: str) -> ManagedProcess:
    process = fleet.instances[name].process
    assert process is not None
    return process


async def restart(fleet: GatewayFleet, *names: str) -> None:
    for name in names:
        await get_process(fleet, name).kill()
        await fleet.start_instance(name)
        await fleet.wait_ready(name)


# Guards against the loss of the streams that a planned stop cuts (LOST): those that began after its
# signal were known to nobody, since notices of an instance that is not listed were dropped and its
# row in the store was not written any more.
def test_streams_that_began_in_a_planned_stop_go_on_after_restarts(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            stopping = get_process(fleet, "front-0")
            stopping.send_signal(signal.SIGTERM)
            await asyncio.sleep(EARLY_S)
            attempts = await begin_all(fleet, "front-0", 24)
            await asyncio.sleep(SETTLE_S)
            await restart(fleet, "front-1", "front-2")
            await stopping.kill()
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against the loss of streams (LOST) that began and broke just before a planned stop ended,
# while the other instances had taken the stopping one off their lists: no keeper took its notices,
# and the stop ended before its row in the store was written.
def test_streams_that_began_late_in_a_planned_stop_go_on_elsewhere(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            stopping = get_process(fleet, "front-0")
            stopping.send_signal(signal.SIGTERM)
            late = asyncio.create_task(asyncio.sleep(LATE_S))
            # All instances read the list again as another one joins.
            await fleet.add_instance("front-3", "zone-a")
            await fleet.start_instance("front-3")
            await late
            attempts = await begin_all(fleet, "front-0", 24)
            await stopping.process.wait()
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)
