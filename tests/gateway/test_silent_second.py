"""Tests of sound targets that fall silent for a second or so and go on."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

SILENCE_S = 1.2
# Requests of each kind that may run once at most, and of those that may be repeated.
PATHS = ("/book/x", "/plan/stream", "/read/x", "/chat/stream")
# Bookings and streams that may not be resumed wait for the target that has them.
DEADLINE_MS = "3000"


async def send_around_silence(fleet: GatewayFleet, silent: list[str]) -> list[Reply]:
    """Send requests of each kind for some seconds, in the middle of which workers are silent."""
    replies: list[asyncio.Task[Reply]] = []
    for number in range(80):
        if number == 20:
            for name in silent:
                fleet.workers[name].process.freeze()
        if number == 20 + int(SILENCE_S / 0.05):
            for name in silent:
                fleet.workers[name].process.resume()
        path = PATHS[number % len(PATHS)]
        body = b"" if path == "/read/x" else f"{path} {number}".encode()
        prompt = f"{number % 7:04x}:400,{number:04x}bb:90"
        reply = fleet.send_request(
            path,
            body,
            f"front-{number // len(PATHS) % 2}",
            Prefix_Hash=prompt,
            Deadline_Ms=DEADLINE_MS,
        )
        replies.append(asyncio.create_task(reply))
        await asyncio.sleep(0.05)
    return [await reply for reply in replies]


# Guards against losing, or running again, what a target that is silent for a second has or gets.
@pytest.mark.parametrize("silent", [["plain-0", "engine-0"], ["plain-0", "plain-1"]])
def test_a_target_that_is_silent_for_a_second_loses_no_request(
    tmp_path: Path, silent: list[str]
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as fleet:
            replies = await send_around_silence(fleet, silent)
            lost = [(n, r.status) for n, r in enumerate(replies) if not r.complete]
            failed = [(n, r.status) for n, r in enumerate(replies) if r.status != 200]
            assert (lost, failed) == ([], [])
            ran = [a.id for a in fleet.read_arrivals() if a.ran and a.target in PATHS[:2]]
            assert len(ran) == len(set(ran))
            # Within a second after it they get requests again.
            before = {name: len((await fleet.read_stats(name)).seen) for name in silent}
            await send_around_silence(fleet, [])
            after = {name: len((await fleet.read_stats(name)).seen) for name in silent}
            assert all(after[name] > before[name] for name in silent)

    run(work)
