"""No engine carries more than the set multiple of the mean load, as the engines count it."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fleet.harness import run, start_fleet, wait_until
from tests.fleet.load import Load, compute_bound, find_owners, read_most, reset_engines, run_load


@pytest.mark.parametrize("lag", ["0.1", "2.0"])
def test_a_hot_chat_does_not_take_its_home_over_the_bound(tmp_path: Path, lag: str) -> None:
    """Twelve callers ask in one chat, through both instances, and all want its home engine.

    Without the bound the home runs all twelve. Reports that lag by two seconds show load that has
    long gone; taken for load of the present it would keep slots idle, or hide what runs.
    """

    async def work() -> None:
        options = ("--report-lag", lag, "--slots", "16")
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=3, plains=0, engine_options=options
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 12, max_tokens=100) as load:
                # Past the cold start and the probation of the first owners.
                await wait_until("40 answers", lambda: _has_answers(load, 40))
                await reset_engines(cluster)
                await wait_until("150 answers", lambda: _has_answers(load, 150))
            most = await read_most(cluster)
            # One request may be granted while word of the end of another is on its way.
            bound = compute_bound(12, 3) + 1
            print(f"MEASURED lag {lag}: most {most}, bound {bound}, {load.good} good")
            assert max(most.values()) <= bound
            assert load.good >= 0.95 * len(load.answers), load.count_codes()

    run(work)


async def _has_answers(load: Load, count: int) -> bool:
    return len(load.answers) >= count


def test_two_instances_that_both_own_an_engine_stay_within_the_bound(tmp_path: Path) -> None:
    """The way between the two instances of a zone is cut; both still reach the engines.

    Each takes the other for gone and owns every engine. Callers go to both. Without probation and
    without counting what reports show beyond the own slots, both fill the same engine.
    """

    async def work() -> None:
        options = ("--report-lag", "0.3", "--slots", "40")
        async with start_fleet(
            tmp_path, zones=1, instances=2, engines=2, plains=0, engine_options=options
        ) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, 16, max_tokens=50) as load:
                await wait_until("40 answers", lambda: _has_answers(load, 40))
                await reset_engines(cluster)
                await cluster.set_route_faults("almaty-a", nodes, blackhole=True)

                async def both_own() -> bool:
                    owners = [await find_owners(node) for node in nodes]
                    return all(
                        set(o.values()) == {n.id} for o, n in zip(owners, nodes, strict=True)
                    )

                took = await wait_until("both own every engine", both_own)
                answered = len(load.answers)
                await wait_until("150 more", lambda: _has_answers(load, answered + 150))
            most = await read_most(cluster)
            # The second owner may have as many slots out as a cold target gets.
            bound = compute_bound(16, 2) + 1
            print(f"MEASURED most {most}, bound {bound}, cut seen after {took:.1f} s")
            assert max(most.values()) <= bound

    run(work)
