"""Cold targets get no more requests than they can run, by the engines' own statistics."""

from __future__ import annotations

from pathlib import Path

from loadtool import Cluster, Node
from tests.fleet.harness import run_with_timeout, start_fleet, wait_until
from tests.fleet.load_helpers import (
    LoadResults,
    list_engines,
    read_engine_stats,
    reset_max_running,
    run_load,
)

# A cold engine can run one request at a time until eight have ended, as the declarations say.
COLD_OPTIONS = ("--slots", "6", "--cold-requests", "8", "--cold-bears", "1", "--report-lag", "0.3")


async def _has_good_answers(load: LoadResults, count: int) -> bool:
    return load.good_count >= count


async def _has_finished(cluster: Cluster, engine: Node, count: int) -> bool:
    return (await read_engine_stats(cluster, engine))["finished"] >= count


def test_cold_engines_warm_up_under_full_load(tmp_path: Path) -> None:
    """Two cold engines get load from twenty callers, and one of them is replaced under that load.

    A cold engine that gets two requests at once drops both and stalls. Its replacement on the same
    port has a new boot id and is cold again.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plain_services=0, engine_options=COLD_OPTIONS
        ) as cluster:
            engine = list_engines(cluster)[0]
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 20, max_tokens=30, one_chat=False) as load:
                await wait_until(
                    "both engines are warm", lambda: _has_good_answers(load, 100), 30.0
                )
                stats_before = [
                    await read_engine_stats(cluster, node) for node in list_engines(cluster)
                ]
                await engine.process.kill()
                await cluster.restart_target(engine)
                await wait_until(
                    "the engine is warm again", lambda: _has_finished(cluster, engine, 40), 30.0
                )
            stats_after = await read_engine_stats(cluster, engine)
            fall_over_counts = [stats["fell_over"] for stats in [*stats_before, stats_after]]
            max_running = [stats["max_running"] for stats in [*stats_before, stats_after]]
            print(
                f"MEASURED fell over {fall_over_counts} times, max running {max_running}, "
                "bound 6, cold limit 1"
            )
            assert fall_over_counts == [0, 0, 0]
            assert max(max_running) <= 6

    run_with_timeout(work)


def test_an_engine_that_turns_cold_under_full_load_is_detected(tmp_path: Path) -> None:
    """An engine turns cold without a new boot id while six requests run on it.

    The next request makes it fall over: it drops all running requests and stalls for two seconds.
    Its owner sees consecutive attempts fail and restarts the slow start. Undetected, each burst of
    retries would make the engine fall over again.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plain_services=0, engine_options=COLD_OPTIONS
        ) as cluster:
            engine = list_engines(cluster)[0]
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 20, max_tokens=30, one_chat=False) as load:
                await wait_until(
                    "both engines are warm", lambda: _has_good_answers(load, 100), 30.0
                )
                before = await read_engine_stats(cluster, engine)
                await cluster.set_faults(engine, turn_cold=True)

                async def has_fallen_over() -> bool:
                    return (await read_engine_stats(cluster, engine))["fell_over"] > 0

                await wait_until("the engine falls over", has_fallen_over)
                finished_count = (await read_engine_stats(cluster, engine))["finished"]
                await wait_until(
                    "the engine is warm again",
                    lambda: _has_finished(cluster, engine, finished_count + 30),
                    30.0,
                )
                await reset_max_running(cluster)
            after = await read_engine_stats(cluster, engine)
            print(f"MEASURED fell over {after['fell_over']} times, {load.count_failures()}")
            assert before["fell_over"] == 0
            assert after["fell_over"] <= 2

    run_with_timeout(work)
