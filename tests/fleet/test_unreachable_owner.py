"""Owners in a zone that is cut off are passed over, and their targets come back with the zone."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadtool import Cluster
from tests.fleet.harness import run, start_fleet, wait_until
from tests.fleet.load import list_engines, read_most, read_stats, reset_engines, run_load

CALLERS = 8
# An answer takes about 0.1 s; one that waited for a time-out takes longer than this.
SLOW = 0.4


async def _have_finished(cluster: Cluster, count: int) -> bool:
    stats = [await read_stats(cluster, node) for node in list_engines(cluster)]
    return min(entry["finished"] for entry in stats) >= count


def test_callers_pass_on_fast_when_the_owner_is_behind_a_partition(tmp_path: Path) -> None:
    """Zone a loses zone b without a word: what it sends there is neither refused nor answered.

    Callers of zone a ask in many chats, half of them at home on the engine of zone b. The first
    requests wait for a time-out; later ones must not ask there any more, or each would wait. After
    the partition heals the engine of zone b gets work of zone a again.
    """

    async def work() -> None:
        options = ("--slots", "16")
        async with start_fleet(
            tmp_path, zones=2, instances=1, engines=1, plains=0, engine_options=options
        ) as cluster:
            near = cluster.instances["entry-a1"]
            nodes = (*cluster.instances.values(), *cluster.targets.values())
            far = [node for node in nodes if node.zone == "almaty-b"]
            async with run_load([near], CALLERS, max_tokens=20, one_chat=False) as load:
                await wait_until("both engines warm", lambda: _have_finished(cluster, 40), 30.0)
                load.answers.clear()
                await cluster.set_route_faults("almaty-a", far, blackhole=True)
                # Long enough for the callers that met the partition to ask many times again.
                await asyncio.sleep(5.0)
                slowest = max(answer.total for answer in load.answers)
                slow = sum(answer.total > SLOW for answer in load.answers)
                refused = load.count_codes()
                await cluster.set_route_faults("almaty-a", far, blackhole=False, cut=True)
                await reset_engines(cluster)

                async def is_shared() -> bool:
                    return min((await read_most(cluster)).values()) > 0

                took = await wait_until("zone b gets work again", is_shared)
            print(
                f"MEASURED slowest {slowest:.2f} s, {slow} of {len(load.answers)} slow, {refused}"
            )
            print(f"MEASURED zone b has work {took:.1f} s after the partition")
            assert slowest < 6.0
            assert slow <= 2 * CALLERS
            assert sum(refused.values()) <= CALLERS

    run(work)
