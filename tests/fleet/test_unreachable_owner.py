"""Owners in a partitioned zone are skipped, and their targets get requests again after it heals."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadtool import Cluster
from tests.fleet.harness import run_with_timeout, start_fleet, wait_until
from tests.fleet.load_helpers import (
    list_engines,
    read_engine_stats,
    read_max_running,
    reset_max_running,
    run_load,
)

CALLERS = 8
# An answer takes about 0.1 s; one that waited for a timeout takes longer than this.
SLOW_ANSWER_S = 0.4


async def _have_finished(cluster: Cluster, count: int) -> bool:
    stats_of_engines = [await read_engine_stats(cluster, node) for node in list_engines(cluster)]
    return min(stats["finished"] for stats in stats_of_engines) >= count


def test_callers_pass_on_fast_when_the_owner_is_behind_a_partition(tmp_path: Path) -> None:
    """Messages from zone a to zone b are lost silently: they are neither refused nor answered.

    Callers of zone a send many chats, half of which have their home at the engine of zone b. The
    first requests wait for a timeout; later ones must not ask for that engine, or each would wait.
    After the partition heals, the engine of zone b gets requests of zone a again.
    """

    async def work() -> None:
        options = ("--slots", "16")
        async with start_fleet(
            tmp_path, zones=2, instances=1, engines=1, plain_services=0, engine_options=options
        ) as cluster:
            near = cluster.instances["entry-a1"]
            nodes = (*cluster.instances.values(), *cluster.targets.values())
            far = [node for node in nodes if node.zone == "almaty-b"]
            async with run_load([near], CALLERS, max_tokens=20, one_chat=False) as load:
                await wait_until("both engines are warm", lambda: _have_finished(cluster, 40), 30.0)
                load.answers.clear()
                await cluster.set_route_faults("almaty-a", far, blackhole=True)
                # Long enough for the delayed callers to send many more requests.
                await asyncio.sleep(5.0)
                slowest_s = max(answer.total for answer in load.answers)
                slow_count = sum(answer.total > SLOW_ANSWER_S for answer in load.answers)
                failure_counts = load.count_failures()
                await cluster.set_route_faults("almaty-a", far, blackhole=False, cut=True)
                await reset_max_running(cluster)

                async def both_have_requests() -> bool:
                    return min((await read_max_running(cluster)).values()) > 0

                recovery_s = await wait_until("zone b gets requests again", both_have_requests)
            print(
                f"MEASURED slowest {slowest_s:.2f} s, {slow_count} of {len(load.answers)} slow, "
                f"{failure_counts}"
            )
            print(f"MEASURED zone b has requests {recovery_s:.1f} s after the partition")
            assert slowest_s < 6.0
            assert slow_count <= 2 * CALLERS
            assert sum(failure_counts.values()) <= CALLERS

    run_with_timeout(work)
