"""Tests of targets that say in their answers that they leave, before the store says so."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from loadtool._waiting import wait_until
from tests.gateway.harness import GatewayFleet, run, start_fleet


async def send_reads(fleet: GatewayFleet, count: int) -> list[int]:
    return [(await fleet.send_request(f"/read/{number}")).status for number in range(count)]


def count_arrivals(fleet: GatewayFleet, worker: str) -> int:
    return sum(arrival.worker == worker for arrival in fleet.read_arrivals())


# Guards against new requests to a target that has said that it leaves (DRAIN), also while the store
# is away and still says that it is ready.
@pytest.mark.parametrize("store_faults", [{}, {"status": 503}, {"silent": True}])
@pytest.mark.parametrize("worker_faults", [{}, {"reject": True}, {"status": 500}])
def test_a_target_that_says_it_leaves_gets_no_new_request(
    tmp_path: Path, store_faults: dict[str, Any], worker_faults: dict[str, Any]
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            await fleet.set_store_faults(**store_faults)
            await fleet.set_worker_faults("plain-0", leaving=True, **worker_faults)

            async def has_answered() -> bool:
                await send_reads(fleet, 1)
                return count_arrivals(fleet, "plain-0") > 0

            await wait_until("an answer of the leaving target", has_answered)
            assert set(await send_reads(fleet, 20)) == {200}
            assert count_arrivals(fleet, "plain-0") == 1

    run(work)


# Guards against forgetting that a target leaves when its registration expires and comes back.
def test_only_a_new_start_makes_a_leaving_target_ready(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=0
        ) as fleet:
            await fleet.set_worker_faults("plain-0", leaving=True)
            assert await send_reads(fleet, 1) == [200]
            await fleet.write_row("servers", "plain-0", None)
            await fleet.register_worker("plain-0", seqNo=2)

            async def is_registered_again() -> bool:
                events = [line["event"] for line in fleet.read_log("front-0")]
                _, _, later = " ".join(events).partition("target_unregistered")
                return "target_registered" in later

            await wait_until("the registration has come back", is_registered_again)
            await fleet.set_worker_faults("plain-0", leaving=False)
            assert set(await send_reads(fleet, 5)) == {503}
            await fleet.register_worker("plain-0", born=2)

            async def is_served() -> bool:
                return await send_reads(fleet, 1) == [200]

            await wait_until("the new start is used", is_served)

    run(work)
