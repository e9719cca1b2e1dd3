"""Crowds of clients that do not behave, at one real instance of the product's own interface.

What must not happen is as in `test_gateway`: the process ends or hangs, it takes more memory than
its settings allow, or an ordinary caller is not answered once the crowd has left.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from loadtool import Cluster
from tests.crowds.crowd import (
    Bursts,
    Crowd,
    DataBehindRequests,
    Door,
    LongBodies,
    ManyFields,
    ProcessUse,
    RequestsAhead,
    SmallChunks,
    TooLongChunkedBodies,
    UnfinishedHeads,
    run_crowd,
)
from tests.fleet.harness import TENGRI_DIR, make_caller, run_with_timeout, wait_until

# An instance without load takes about 50 MB of it.
MEMORY_MB = 112
LIMITS = f"""[limits]
memory = {MEMORY_MB * 2**20}
max_body_bytes = 1048576
max_header_bytes = 16384
"""
ZONE = "almaty-a"
PATHS = {"route": "/booking/bookings", "no_route": "/v1/nothing", "ready": "/readyz"}
CROWDS: tuple[type[Crowd], ...] = (
    LongBodies,
    Bursts,
    SmallChunks,
    TooLongChunkedBodies,
    ManyFields,
    UnfinishedHeads,
    RequestsAhead,
    DataBehindRequests,
)


async def start_small_cluster(cluster: Cluster) -> None:
    """Start one instance with little memory before one engine and one plain service."""
    await cluster.start_platform()
    await cluster.start_instance("entry-a1", ZONE, LIMITS)
    await cluster.start_engine("engine-a1", ZONE, "planner")
    await cluster.start_plain_service("booking-a1", ZONE, "booking")
    await cluster.register()
    await cluster.wait_until_instances_ready()
    await cluster.apply_declarations(TENGRI_DIR)
    await cluster.wait_until_targets_ready()


# Guards against a process that runs out of memory or hangs because of what clients send.
@pytest.mark.parametrize("door", list(PATHS))
@pytest.mark.parametrize("crowd_type", CROWDS)
def test_a_crowd_stays_within_the_memory(
    tmp_path: Path, crowd_type: type[Crowd], door: str
) -> None:
    async def work() -> None:
        async with Cluster(tmp_path, [ZONE]) as cluster:
            await start_small_cluster(cluster)
            node = cluster.instances["entry-a1"]
            caller = make_caller(cluster)
            keys = iter(range(1_000))

            async def is_served() -> bool:
                answer = await caller.send_command(
                    PATHS["route"], f"ordinary-{next(keys)}", b"{}", deadline=5.0
                )
                return answer.is_correct

            assert await is_served()
            use = ProcessUse(node.process.pid)
            fields = "Authorization: Bearer pilgrim-groups-key\r\n"
            await run_crowd(crowd_type(), Door(door, node.address, PATHS[door], fields), use)
            print(f"peak {use.peak_resident_bytes / 2**20:.1f} MB, {use.open_files} open files")
            assert use.peak_resident_bytes < MEMORY_MB * 2**20
            await wait_until("an ordinary caller is served", is_served, 20.0)
            assert use.peak_resident_bytes < MEMORY_MB * 2**20
            # Commands of the crowd are unfinished, without a key or refused.
            assert not [key for key in cluster.count_runs_by_key() if "ordinary" not in key]

    run_with_timeout(work)
