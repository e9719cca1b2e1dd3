"""Tests of an instance that lost its links to targets while callers and others still reach it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

# Connections behind a cut hang, are reset, or live on while new ones are refused.
CUTS: dict[str, dict[str, Any]] = {
    "silent": {"listening": "silent", "blackhole": True},
    "reset": {"listening": "closed", "cut": True},
    "new_refused": {"listening": "closed"},
}
NO_CUT: dict[str, Any] = {"listening": "open", "blackhole": False}
# The users let a cut last so long before they judge what callers get.
CONTACT_S = 3.0
PATHS = ("/read/x", "/book/x", "/chat/stream", "/plan/stream")
# Requests to these may run once at most.
COMMAND_PATHS = ("/book/x", "/plan/stream")


async def send_each_kind(fleet: GatewayFleet, instance: str, rounds: int) -> list[Reply]:
    """Send requests of each kind to an instance, a few a second, and return the replies."""
    replies: list[asyncio.Task[Reply]] = []
    for number in range(rounds):
        for path in PATHS:
            body = b"" if path == "/read/x" else f"{path} {number}".encode()
            prompt = f"{number % 5:04x}:400,{number:04x}bb:90"
            reply = fleet.send_request(path, body, instance, Prefix_Hash=prompt)
            replies.append(asyncio.create_task(reply))
            await asyncio.sleep(0.05)
    return [await reply for reply in replies]


def count_served(replies: list[Reply]) -> int:
    """Count the replies that are whole successes."""
    return sum(reply.status == 200 and reply.complete for reply in replies)


def count_most_runs(fleet: GatewayFleet) -> int:
    """Return how often the command that ran most often ran."""
    arrivals = fleet.read_arrivals()
    ran = [a.id for a in arrivals if a.ran and a.target in COMMAND_PATHS]
    return max(ran.count(request) for request in set(ran))


# Guards against refusing what other instances could serve (RECOVER).
def test_callers_of_instances_without_links_to_targets_are_served(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=4, own_links=True) as fleet:
            for name in fleet.instances:
                assert count_served(await send_each_kind(fleet, name, 2)) == 8
            cut_off = dict(zip(fleet.instances, CUTS.values(), strict=False))
            for name, cut in cut_off.items():
                await fleet.set_link_faults(name, **cut)
            rounds = int(CONTACT_S * 5)
            await asyncio.gather(*(send_each_kind(fleet, name, rounds) for name in cut_off))
            replies = await asyncio.gather(
                *(send_each_kind(fleet, name, 20) for name in fleet.instances)
            )
            served = [count_served(sent) for sent in replies]
            assert served[-1] == 80
            assert min(served) >= 78, served
            assert count_most_runs(fleet) == 1

    run(work)
