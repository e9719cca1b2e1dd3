"""When one account surges, the others keep their share."""

from __future__ import annotations

import statistics
from pathlib import Path

from tests.fleet.harness import run_with_timeout, start_fleet, wait_until
from tests.fleet.load_helpers import LoadResults, run_load


async def _has_good_answers(load: LoadResults, count: int) -> bool:
    return load.good_count >= count


def test_surge_of_one_account_does_not_delay_another(tmp_path: Path) -> None:
    """One account keeps forty requests open at an engine with two slots; another keeps one.

    In order of arrival, each request of the second account would wait for all queued requests of
    the first. With weights 4 to 1, it waits for at most four of them.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path,
            zones=1,
            instances=2,
            engines=1,
            plain_services=0,
            engine_options=("--slots", "2"),
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 40, "pilgrim-groups", max_tokens=10) as surge:
                await wait_until(
                    "40 good answers to the surging account",
                    lambda: _has_good_answers(surge, 40),
                    30.0,
                )
                async with run_load(nodes, 1, "mela-desk", max_tokens=10) as desk:
                    await wait_until(
                        "15 good answers to the other account",
                        lambda: _has_good_answers(desk, 15),
                        30.0,
                    )
            durations = sorted(answer.total for answer in desk.answers if answer.is_correct)
            median_s = statistics.median(durations)
            surge_median_s = statistics.median(a.total for a in surge.answers[-60:] if a.is_correct)
            print(f"MEASURED desk median {median_s:.2f} s, surge {surge_median_s:.2f} s")
            print(
                f"MEASURED desk {desk.good_count} of {len(desk.answers)}, {desk.count_failures()}"
            )
            assert desk.good_count == len(desk.answers), desk.count_failures()
            assert median_s < 0.5 * surge_median_s

    run_with_timeout(work)
