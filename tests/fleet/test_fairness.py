"""A few accounts surge; the others keep their share."""

from __future__ import annotations

import statistics
from pathlib import Path

from tests.fleet.harness import run, start_fleet, wait_until
from tests.fleet.load import Load, run_load


async def _has_good(load: Load, count: int) -> bool:
    return load.good >= count


def test_a_surge_of_one_account_does_not_hold_up_another(tmp_path: Path) -> None:
    """One account keeps forty requests open at an engine of two slots, another asks one at a time.

    Served in the order of arrival, each of the second would wait for all of the first. By weight
    (4 to 1) it waits for at most four of them at its turn.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=1, plains=0, engine_options=("--slots", "2")
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 40, "pilgrim-groups", max_tokens=10) as surge:
                await wait_until("the surge is on", lambda: _has_good(surge, 40), 30.0)
                async with run_load(nodes, 1, "mela-desk", max_tokens=10) as desk:
                    await wait_until("desk answers", lambda: _has_good(desk, 15), 30.0)
            waits = sorted(answer.total for answer in desk.answers if answer.good)
            median = statistics.median(waits)
            others = statistics.median(a.total for a in surge.answers[-60:] if a.good)
            print(f"MEASURED desk median {median:.2f} s, surge {others:.2f} s")
            print(f"MEASURED desk {desk.good} of {len(desk.answers)}, {desk.count_codes()}")
            assert desk.good == len(desk.answers), desk.count_codes()
            assert median < 0.5 * others

    run(work)
