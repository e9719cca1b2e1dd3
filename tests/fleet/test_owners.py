"""Owners of targets and holders of slots are killed or frozen under load."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Cluster, Node
from tests.fleet.harness import run_with_timeout, start_fleet, wait_until
from tests.fleet.load_helpers import (
    LoadResults,
    fetch_owners,
    list_engines,
    read_engine_stats,
    read_max_running,
    reset_max_running,
    run_load,
)

ENGINE_SLOTS = 6


async def _has_good_answers(load: LoadResults, count: int) -> bool:
    return load.good_count >= count


async def _find_owner(cluster: Cluster, engine: str) -> Node:
    node = next(n for n in cluster.instances.values() if n.process.running)
    owners = await fetch_owners(node)
    return cluster.instances[owners[engine]]


@pytest.mark.parametrize("fault", ["killed", "frozen"])
def test_zone_keeps_serving_when_an_owner_is_lost_and_returns(tmp_path: Path, fault: str) -> None:
    """The owner of an engine is killed, or frozen for five seconds and continued, under load.

    Callers use the other two instances. Requests that ask the lost owner for a slot give up on it
    after a timeout. Once the owner has been silent long enough, another instance owns the engine
    and must grant no more than its limit, including what still runs. The frozen owner wakes up and
    still considers itself the owner.
    """

    async def work() -> None:
        options = ("--report-lag", "0.3", "--slots", str(ENGINE_SLOTS))
        async with start_fleet(
            tmp_path, zones=1, instances=3, engines=2, plain_services=0, engine_options=options
        ) as cluster:
            owner = await _find_owner(cluster, "engine-a1")
            others = [node for node in cluster.instances.values() if node is not owner]
            async with run_load(others, 24, max_tokens=50, one_chat=False, deadline=5.0) as load:
                await wait_until("40 answers", lambda: _has_good_answers(load, 40))
                await reset_max_running(cluster)
                load.answers.clear()
                fault_at = time.monotonic()
                if fault == "killed":
                    await owner.process.kill()
                else:
                    owner.process.freeze()

                async def has_new_owner() -> bool:
                    return (await fetch_owners(others[0]))["engine-a1"] != owner.id

                takeover_s = await wait_until("the engine has a new owner", has_new_owner)
                while time.monotonic() - fault_at < 5.0:
                    await asyncio.sleep(0.1)
                owner.process.resume()
                expected_good = load.good_count + 200
                await wait_until("200 more", lambda: _has_good_answers(load, expected_good))
                max_running = await read_max_running(cluster)
                slowest_s = max(answer.total for answer in load.answers)
            print(
                f"MEASURED {fault}: max running {max_running}, bound {ENGINE_SLOTS + 1}, "
                f"new owner after {takeover_s:.1f} s"
            )
            print(
                f"MEASURED {load.good_count} of {len(load.answers)} good, slowest {slowest_s:.1f} s"
            )
            assert max(max_running.values()) <= ENGINE_SLOTS + 1
            assert slowest_s < 5.5, "a caller was held beyond its deadline"
            assert load.good_count >= 0.75 * len(load.answers), load.count_failures()

    run_with_timeout(work)


def test_slots_of_a_killed_instance_are_recovered_and_not_granted_twice(tmp_path: Path) -> None:
    """An instance is killed while it holds all slots of an engine; their requests run for seconds.

    Freed at once, the slots would be granted again while the engine still runs the requests. Kept
    until their lease of 16 s expires, they would idle. They are released as the engine reports the
    end of each request.
    """

    async def work() -> None:
        options = ("--report-lag", "0.3", "--slots", str(ENGINE_SLOTS), "--token-time", "0.01")
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=1, plain_services=0, engine_options=options
        ) as cluster:
            engine = list_engines(cluster)[0]
            owner = await _find_owner(cluster, engine.id)
            holder = next(n for n in cluster.instances.values() if n is not owner)
            async with run_load([owner], ENGINE_SLOTS, max_tokens=5) as load:
                await wait_until("the engine is warm", lambda: _has_good_answers(load, 60))

            async def is_running(count: int) -> bool:
                return (await read_engine_stats(cluster, engine))["running"] == count

            async with run_load([holder], ENGINE_SLOTS, max_tokens=600):
                await wait_until("all slots are held", lambda: is_running(ENGINE_SLOTS))
                await reset_max_running(cluster)
                await holder.process.kill()
            async with run_load([owner], ENGINE_SLOTS, max_tokens=200, deadline=20.0) as load:
                await wait_until(
                    "the requests of the killed instance end", lambda: _has_good_answers(load, 1)
                )
                recovery_s = await wait_until(
                    "all slots are in use again", lambda: is_running(ENGINE_SLOTS)
                )
            max_running = await read_max_running(cluster)
            print(
                f"MEASURED max running {max_running}, bound {ENGINE_SLOTS}, "
                f"all in use {recovery_s:.1f} s after the first answer"
            )
            assert max(max_running.values()) <= ENGINE_SLOTS
            assert recovery_s < 6.0

    run_with_timeout(work)
