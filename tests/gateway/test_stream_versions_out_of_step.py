"""Streams that are taken up at an instance which was out of step while another version came.

It was cut off from the store or from the other instances, or stood still, so it has not seen the
targets of the new version, or cannot ask who knows the streams that began there.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import GatewayFleet, run, start_fleet
from tests.gateway.version_streams import (
    MIN_SHARE,
    begin_all,
    count_mixed,
    count_whole,
    list_versions,
    resume_all,
    start_versions,
)

RESET: Final[dict[str, Any]] = {"listening": "closed", "cut": True}
SILENT: Final[dict[str, Any]] = {"listening": "silent", "blackhole": True}
MENDED: Final[dict[str, Any]] = {"listening": "open", "blackhole": False}
# By then the origins of streams that have begun are in the store.
WRITTEN_S: Final = 1.0


async def set_store_path(fleet: GatewayFleet, **faults: Any) -> None:
    """Set the faults of the path from front-1 to the store."""
    await fleet.set_route_faults(fleet.instances["front-1"].store_port, **faults)


async def set_peer_paths(fleet: GatewayFleet, **faults: Any) -> None:
    """Set the faults of the paths between the instances."""
    for node in fleet.instances.values():
        await fleet.set_route_faults(node.peer_port, **faults)


async def begin_at_two_versions(fleet: GatewayFleet) -> list[str]:
    """Add targets of another version and begin streams at front-0, some at each version."""
    await start_versions(fleet)
    attempts = await begin_all(fleet, "front-0", 24)
    versions = await list_versions(fleet)
    assert {"v1"} in versions.values() and {"v2"} in versions.values()
    await asyncio.sleep(WRITTEN_S)
    return attempts


# Guards against streams that hold events of two versions (ORDER): the instance took the one version
# that it had seen for the only one, though it could not know of another.
@pytest.mark.parametrize("cut", [RESET, SILENT], ids=["reset", "silent"])
def test_cut_off_instance_takes_no_stream_up_at_another_version(
    tmp_path: Path, cut: dict[str, Any]
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, use_proxy_routes=True, has_rollouts=False
        ) as fleet:
            await set_store_path(fleet, **cut)
            await set_peer_paths(fleet, **cut)
            attempts = await begin_at_two_versions(fleet)
            replies = await resume_all(fleet, "front-1", attempts)
            assert await count_mixed(fleet) == 0
            for reply in replies:
                assert reply.status == 200 or b'"not_run"' in reply.body

    run(work)


# Guards against the loss of streams (LOST) at an instance that can learn at that moment which
# version began them: from the store, or from targets that have registered meanwhile.
@pytest.mark.parametrize("how", ["from instances", "healed", "suspended"])
def test_instance_that_reaches_the_store_takes_streams_up_at_their_version(
    tmp_path: Path, how: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, use_proxy_routes=True, has_rollouts=False
        ) as fleet:
            process = fleet.instances["front-1"].process
            assert process is not None
            if how == "suspended":
                process.send_signal(signal.SIGSTOP)
            else:
                await set_peer_paths(fleet, **RESET)
            if how == "healed":
                await set_store_path(fleet, **RESET)
            attempts = await begin_at_two_versions(fleet)
            if how == "suspended":
                process.send_signal(signal.SIGCONT)
            if how == "healed":
                await set_store_path(fleet, **MENDED)
                await set_peer_paths(fleet, **MENDED)
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)
