"""Targets in a cold start get no more than they bear, as the engines tell it."""

from __future__ import annotations

from pathlib import Path

from loadtool import Cluster, Node
from tests.fleet.harness import run, start_fleet, wait_until
from tests.fleet.load import Load, list_engines, read_stats, reset_engines, run_load

# The engine bears one request at once until eight have ended, as the declarations say.
COLD = ("--slots", "6", "--cold-requests", "8", "--cold-bears", "1", "--report-lag", "0.3")


async def _has_good(load: Load, count: int) -> bool:
    return load.good >= count


async def _has_finished(cluster: Cluster, engine: Node, count: int) -> bool:
    return (await read_stats(cluster, engine))["finished"] >= count


def test_cold_engines_warm_up_under_full_load(tmp_path: Path) -> None:
    """Two cold engines meet twenty callers, and one of them is replaced under that load.

    A cold engine that gets two requests at once drops both and stalls. Its successor on the same
    port has a new boot id and is cold again.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plains=0, engine_options=COLD
        ) as cluster:
            engine = list_engines(cluster)[0]
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 20, max_tokens=30, one_chat=False) as load:
                await wait_until("both warm", lambda: _has_good(load, 100), 30.0)
                first = [await read_stats(cluster, node) for node in list_engines(cluster)]
                await engine.process.kill()
                await cluster.restart_target(engine)
                await wait_until("warm again", lambda: _has_finished(cluster, engine, 40), 30.0)
            second = await read_stats(cluster, engine)
            fell = [stats["fell_over"] for stats in [*first, second]]
            most = [stats["max_running"] for stats in [*first, second]]
            print(f"MEASURED fell over {fell} times, most {most}, bound 6, cold bears 1")
            assert fell == [0, 0, 0]
            assert max(most) <= 6

    run(work)


def test_an_engine_that_turns_cold_under_full_load_is_noticed(tmp_path: Path) -> None:
    """An engine turns cold without a new boot id while six requests run on it.

    The next request makes it fall over: it drops all it has and stalls for two seconds. Its owner
    sees attempts fail in a row and starts its ramp afresh. Unnoticed, each burst of retries would
    make it fall over again.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plains=0, engine_options=COLD
        ) as cluster:
            engine = list_engines(cluster)[0]
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 20, max_tokens=30, one_chat=False) as load:
                await wait_until("both warm", lambda: _has_good(load, 100), 30.0)
                before = await read_stats(cluster, engine)
                await cluster.set_faults(engine, turn_cold=True)

                async def fell() -> bool:
                    return (await read_stats(cluster, engine))["fell_over"] > 0

                await wait_until("it falls over", fell)
                done = (await read_stats(cluster, engine))["finished"]
                await wait_until(
                    "warm again", lambda: _has_finished(cluster, engine, done + 30), 30.0
                )
                await reset_engines(cluster)
            after = await read_stats(cluster, engine)
            print(f"MEASURED fell over {after['fell_over']} times, {load.count_codes()}")
            assert before["fell_over"] == 0
            assert after["fell_over"] <= 2

    run(work)
