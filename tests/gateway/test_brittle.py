"""Tests of targets that fall over if they have to reject more than a few requests a second."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

INSTANCES = 5
# Rejections a second that a target bears.
PER_S = 4
# Requests that a target has room for, and how long one takes there.
ROOM = 3
WORK_S = 0.15


async def send_bursts(fleet: GatewayFleet, path: str, bursts: int, size: int) -> list[Reply]:
    """Send bursts of requests through all instances, ten a second, and return the replies."""
    tasks: list[asyncio.Task[Reply]] = []
    for burst in range(bursts):
        for number in range(size):
            prompt = f"{number:04x}:400,{burst:04x}{number:04x}:90"
            body = f"{burst} {number}".encode() if path.endswith("stream") else b""
            instance = f"front-{number % INSTANCES}"
            reply = fleet.send_request(path, body, instance, Prefix_Hash=prompt)
            tasks.append(asyncio.create_task(reply))
        await asyncio.sleep(0.1)
    return [await task for task in tasks]


# Guards against targets that say that they are brittle and fall over under our requests (LIMIT).
def test_brittle_targets_do_not_fall_over(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=INSTANCES) as fleet:
            for service, path in (("plain", "/read/x"), ("llm", "/chat/stream")):
                await fleet.set_service_faults(service, brittle=PER_S, delay=WORK_S, events=1)
                for name, node in fleet.workers.items():
                    if node.service == service:
                        await fleet.register_worker(name, slots=ROOM)
                await send_bursts(fleet, path, 10, 2)
                await fleet.set_service_faults(service, room=ROOM)
                replies = await send_bursts(fleet, path, 40, 10)
                assert all(
                    n.process.running for n in fleet.workers.values() if n.service == service
                )
                assert {reply.status for reply in replies} <= {200, 503}
                served = sum(reply.status == 200 for reply in replies)
                # Half of what the two targets can do in the time.
                assert served >= 0.25 * 2 * ROOM * 4.0 / WORK_S, served
                await fleet.set_service_faults(service, brittle=0, delay=0.0, room=-1)

    run(work)
