"""No engine runs more than its bound, a multiple of the mean load, by the engines' own count."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fleet.harness import run_with_timeout, start_fleet, wait_until
from tests.fleet.load_helpers import (
    LoadResults,
    compute_load_bound,
    fetch_owners,
    read_max_running,
    reset_max_running,
    run_load,
)

LOAD_TIMEOUT_S = 40.0


@pytest.mark.parametrize("lag", ["0.1", "2.0"])
def test_a_hot_chat_does_not_take_its_home_over_the_bound(tmp_path: Path, lag: str) -> None:
    """Twelve callers send the same chat through both instances; all prefer its home engine.

    Without the bound the home engine would run all twelve. Load reports that lag by two seconds
    show requests that have long ended; treated as present load, they would leave slots idle or hide
    running requests.
    """

    async def work() -> None:
        options = ("--report-lag", lag, "--slots", "16")
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=3, plain_services=0, engine_options=options
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 12, max_tokens=100) as load:
                await wait_out_slow_start(load, 40)
                await reset_max_running(cluster)
                await wait_until("150 answers", lambda: _has_answers(load, 150), LOAD_TIMEOUT_S)
            max_running = await read_max_running(cluster)
            # One slot may be granted while the release of another is in transit.
            bound = compute_load_bound(12, 3) + 1
            print(
                f"MEASURED lag {lag}: max running {max_running}, bound {bound}, "
                f"{load.good_count} good"
            )
            assert max(max_running.values()) <= bound
            assert load.good_count >= 0.95 * len(load.answers), load.count_failures()

    run_with_timeout(work)


async def wait_out_slow_start(load: LoadResults, good_answers: int) -> None:
    """Wait until the engines are warm and the first owners on no probation; judge what comes then.

    An engine runs one request until it has completed eight. On a busy machine that takes longer
    than the callers' deadline, and refusing those far back in its queue is right.
    """

    async def has_good_answers() -> bool:
        return load.good_count >= good_answers

    await wait_until(f"{good_answers} good answers", has_good_answers, LOAD_TIMEOUT_S)
    print(f"MEASURED {len(load.answers)} answers before, failed: {load.count_failures()}")
    load.answers.clear()


async def _has_answers(load: LoadResults, count: int) -> bool:
    return len(load.answers) >= count


def test_two_instances_that_both_own_an_engine_stay_within_its_limit(tmp_path: Path) -> None:
    """The network between the two instances of a zone is partitioned; both still reach the engines.

    Each considers the other gone and owns every engine, whose own limit is six. Callers of each
    instance send more requests than that. If each instance granted slots by its own count alone,
    together they would give an engine twice its limit.
    """

    async def work() -> None:
        options = ("--report-lag", "0.3", "--slots", "6")
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plain_services=0, engine_options=options
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 30, max_tokens=50, one_chat=False) as load:
                await wait_out_slow_start(load, 60)
                await reset_max_running(cluster)
                await cluster.set_route_faults("almaty-a", nodes, blackhole=True)

                async def both_own_all() -> bool:
                    owners = [await fetch_owners(node) for node in nodes]
                    return all(
                        set(o.values()) == {n.id} for o, n in zip(owners, nodes, strict=True)
                    )

                takeover_s = await wait_until("both own every engine", both_own_all)
                answer_count = len(load.answers)
                await wait_until("150 more", lambda: _has_answers(load, answer_count + 150))
                max_running_during = await read_max_running(cluster)
                await cluster.set_route_faults("almaty-a", nodes, blackhole=False, cut=True)

                async def agree_on_owner() -> bool:
                    owners = [await fetch_owners(node) for node in nodes]
                    return owners[0] == owners[1]

                await wait_until("both name the same owners", agree_on_owner)
                answer_count = len(load.answers)
                await wait_until("100 more", lambda: _has_answers(load, answer_count + 100))
            max_running = await read_max_running(cluster)
            # The second owner may grant as many slots as a cold target gets, which is one.
            bound = 6 + 1
            print(
                f"MEASURED max running during {max_running_during}, after {max_running}, "
                f"bound {bound}, taken over after {takeover_s:.1f} s"
            )
            print(
                f"MEASURED {load.good_count} of {len(load.answers)} good, {load.count_failures()}"
            )
            assert max(max_running.values()) <= bound
            assert load.good_count >= 0.9 * len(load.answers), load.count_failures()

    run_with_timeout(work)
