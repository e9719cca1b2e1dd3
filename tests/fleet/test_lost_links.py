"""Tests of an instance that lost its links to targets while callers and others still reach it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from loadtool import Cluster
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet
from tests.fleet.load_helpers import run_load

CALLERS = 8
BOOKING_PATH = "/booking/bookings"
# The users let a cut last so long before they judge what callers get.
CONTACT_S = 3.0
# Connections behind a cut hang, or are reset while new ones are refused.
CUTS: dict[str, dict[str, Any]] = {
    "silent": {"listening": "silent", "blackhole": True},
    "reset": {"listening": "closed", "cut": True},
}


async def book(cluster: Cluster, instance: str, count: int) -> int:
    """Send bookings to an instance one after another; return how many were answered."""
    caller = make_caller(cluster)
    address = cluster.instances[instance].address
    answers = [
        await caller.send_command(BOOKING_PATH, f"{instance}-{n}", b"{}", address)
        for n in range(count)
    ]
    return sum(answer.is_correct for answer in answers)


# Guards against refusing what other instances could serve: the entry instance of one zone, which is
# also the owner of the targets there, reaches no target at all.
@pytest.mark.parametrize("cut", CUTS)
def test_callers_of_an_instance_without_links_to_targets_are_served(
    tmp_path: Path, cut: str
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, zones=2, instances=1, engines=1) as cluster:
            nodes = list(cluster.instances.values())
            async with run_load(nodes, CALLERS, one_chat=False) as load:
                await asyncio.sleep(2.0)
                targets = list(cluster.targets.values())
                await cluster.set_route_faults("almaty-a", targets, **CUTS[cut])
                await asyncio.sleep(CONTACT_S)
                load.answers.clear()
                booked = await book(cluster, "entry-a1", 20)
                await asyncio.sleep(3.0)
                assert load.good_count >= 100
                assert load.count_failures() == {}
                assert booked == 20
            assert max(cluster.count_runs_by_key().values()) == 1

    run_with_timeout(work)
