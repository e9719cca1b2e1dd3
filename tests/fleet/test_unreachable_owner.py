"""Owners in a zone that is cut off are passed over, and their targets come back with the zone."""

from __future__ import annotations

from pathlib import Path

from tests.fleet.harness import run, start_fleet, wait_until
from tests.fleet.load import Load, read_most, reset_engines, run_load


async def _has_good(load: Load, count: int) -> bool:
    return load.good >= count


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
            async with run_load([near], 8, max_tokens=20, one_chat=False) as load:
                await wait_until("warm", lambda: _has_good(load, 60))
                load.answers.clear()
                await cluster.set_route_faults("almaty-a", far, blackhole=True)
                await wait_until("served on", lambda: _has_good(load, 100))
                slowest = max(answer.total for answer in load.answers)
                late = sorted(answer.total for answer in load.answers)[-20:]
                refused = load.count_codes()
                await cluster.set_route_faults("almaty-a", far, blackhole=False, cut=True)
                await reset_engines(cluster)

                async def is_shared() -> bool:
                    return min((await read_most(cluster)).values()) > 0

                took = await wait_until("zone b gets work again", is_shared)
            print(f"MEASURED slowest {slowest:.2f} s, slowest 20 from {late[0]:.2f} s, {refused}")
            print(f"MEASURED zone b has work {took:.1f} s after the partition")
            assert slowest < 6.0
            assert late[0] < 1.0
            assert sum(refused.values()) <= 8

    run(work)
