"""Most new connections go to one instance, then to another."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.harness import GatewayFleet, make_config, run, start_fleet, wait_until

# From the users' rule: of first attempts, as often served as before.
MIN_SHARE_OF_BEFORE = 0.75
CROWDED_SHARE = 0.9
INSTANCES = 8
# Few beside the number of instances: each has a share of two at a target.
MAX_CONNECTIONS = 24
RATE = 50.0


async def allow_few_connections(fleet: GatewayFleet) -> None:
    """Have a configuration come into force by which targets accept few connections."""
    config = make_config(version=2)
    for service in config["services"]:
        service["maxConns"] = MAX_CONNECTIONS
    await fleet.write_row("op", "config", config)

    async def is_applied() -> bool:
        return all(
            any(line.get("version") == 2 for line in fleet.read_log(name))
            for name in fleet.instances
        )

    await wait_until("all instances apply the configuration", is_applied, 5.0)


async def measure_served(
    fleet: GatewayFleet, path: str, duration_s: float, crowded: str = ""
) -> float:
    """Return the share of first attempts that are served, most of them at one instance if named."""
    choose = random.Random(f"{path} {crowded}")
    sendings: list[asyncio.Task[Any]] = []
    for number in range(int(duration_s * RATE)):
        is_crowd = crowded and choose.random() < CROWDED_SHARE
        instance = crowded if is_crowd else choose.choice(list(fleet.instances))
        body = b"body %d" % number if path != "/read/x" else b""
        sendings.append(asyncio.create_task(fleet.send_request(path, body, instance)))
        await asyncio.sleep(1.0 / RATE)
    replies = await asyncio.gather(*sendings)
    return sum(reply.status == 200 and reply.complete for reply in replies) / len(replies)


# Guards against limits that are divided evenly, of which a crowded instance has one share only.
@pytest.mark.parametrize("path", ["/chat/stream", "/read/x", "/book/x", "/plan/stream"])
def test_a_crowded_instance_serves_as_often_as_before(tmp_path: Path, path: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=INSTANCES, plain_worker_count=3, engine_worker_count=3
        ) as fleet:
            await allow_few_connections(fleet)
            await fleet.set_default_worker_faults(
                delay=0.15, event_gap=0.01, max_connections=MAX_CONNECTIONS
            )
            before = await measure_served(fleet, path, 2.0)
            for crowded in ("front-0", "front-5"):
                served = await measure_served(fleet, path, 2.5, crowded)
                assert served >= MIN_SHARE_OF_BEFORE * before, (crowded, before, served)
            assert before >= 0.95

    run(work)
