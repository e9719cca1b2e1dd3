"""Tests of targets that ask an instance to send them nothing for a time."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from standins._worker import Arrival
from tests.gateway.harness import GatewayFleet, run, start_fleet

PAUSE_S = 2.0
# Requests that were sent before the answer was read may still arrive within this time.
GRACE_S = 0.5


async def send_steadily(fleet: GatewayFleet, path: str, duration_s: float) -> list[int]:
    """Send 20 requests a second with different prompts to one instance; return their statuses."""
    until = time.time() + duration_s
    replies = []
    while time.time() < until:
        number = len(replies)
        body = f"question {number}".encode() if path.endswith("stream") else b""
        prompt = f"{number:04x}:400,{number:04x}bb:90"
        reply = fleet.send_request(path, body, Prefix_Hash=prompt)
        replies.append(asyncio.create_task(reply))
        await asyncio.sleep(0.05)
    return [(await reply).status for reply in replies]


def list_within_pause(arrivals: list[Arrival], worker: str, path: str) -> list[float]:
    """Return when requests reached a worker within its pause, in seconds since it began."""
    received = [a for a in arrivals if a.worker == worker and a.target == path]
    began_at = next(a.at for a in received if not a.ran)
    since = [a.at - began_at for a in received]
    return [round(at, 2) for at in since if GRACE_S < at < PAUSE_S]


# Guards against sending a target what it has asked this instance not to send (BUDGET).
def test_target_gets_no_requests_within_the_pause_that_it_asked_for(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            for worker, path in [
                ("engine-0", "/chat/stream"),
                ("engine-1", "/plan/stream"),
                ("plain-0", "/read/x"),
            ]:
                await fleet.set_worker_faults(worker, reject=True, pause_s=PAUSE_S)
                statuses = await send_steadily(fleet, path, PAUSE_S + 0.5)
                await fleet.set_worker_faults(worker, reject=False)
                assert list_within_pause(fleet.read_arrivals(), worker, path) == []
                # A route with one attempt refuses what the target rejected; all others are served.
                assert statuses.count(200) >= len(statuses) - 2

    run(work)
