"""Targets that ask an instance to send them nothing for a time, or for good."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Caller, Chat, Cluster
from loadtool._caller import Answer
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet

PAUSE_S = 3.0


async def send_one(caller: Caller, kind: str, number: int) -> Answer:
    """Send a chat of its own or a lookup, depending on the kind of target."""
    if kind == "plain":
        return await caller.look_up(f"/booking/plots/{number}")
    chat = Chat(f"chat-{number}", "camp-large")
    chat.add_user_message(f"{number}: which plots are free?")
    return await caller.send_chat(chat, 5)


async def count_rejections(cluster: Cluster) -> list[int]:
    """Return how many requests each target has rejected."""
    return [
        int((await cluster.call_admin(node, "stats"))["rejected"])
        for node in cluster.targets.values()
    ]


# Guards against sending a target what it has asked this instance not to send, and against callers
# that wait, or are told nothing of use, while every target is paused.
@pytest.mark.parametrize("kind", ["engine", "plain"])
def test_paused_targets_get_no_requests(tmp_path: Path, kind: str) -> None:
    async def work() -> None:
        counts = {"engines": 2, "plain_services": 0} if kind == "engine" else {"engines": 0}
        if kind == "plain":
            counts["plain_services"] = 2
        async with start_fleet(tmp_path, zones=1, **counts) as cluster:
            caller = make_caller(cluster)
            first, second = cluster.targets.values()
            await cluster.set_faults(first, pause_s=PAUSE_S)
            until = time.monotonic() + 0.8 * PAUSE_S
            number = 0
            while time.monotonic() < until:
                answer = await send_one(caller, kind, number)
                assert answer.is_correct, answer
                number += 1
                await asyncio.sleep(0.05)
            assert await count_rejections(cluster) == [1, 0]
            await cluster.set_faults(first, pause_s=0.0)
            await cluster.set_faults(second, pause_s=PAUSE_S)
            while (await count_rejections(cluster))[1] == 0:
                await send_one(caller, kind, number)
                number += 1
            await cluster.set_faults(first, pause_s=PAUSE_S)
            while (await count_rejections(cluster))[0] == 1:
                await send_one(caller, kind, number)
                number += 1
            rejected = await count_rejections(cluster)
            refused = await send_one(caller, kind, number)
            assert (refused.status, refused.code) == (503, "targets_paused"), refused
            assert refused.total < 0.2, refused
            assert await count_rejections(cluster) == rejected

    run_with_timeout(work)


# Guards against new requests to a target that has said that it leaves, until it has started again.
@pytest.mark.parametrize("kind", ["engine", "plain"])
def test_a_target_that_says_it_leaves_gets_no_new_requests(tmp_path: Path, kind: str) -> None:
    async def work() -> None:
        counts = {"engines": 2, "plain_services": 0}
        if kind == "plain":
            counts = {"engines": 0, "plain_services": 2}
        async with start_fleet(tmp_path, zones=1, **counts) as cluster:
            caller = make_caller(cluster)
            first, _ = cluster.targets.values()
            await cluster.set_faults(first, leaving=True)

            async def count_requests() -> int:
                return int((await cluster.call_admin(first, "stats"))["requests"])

            for number in range(20):
                assert (await send_one(caller, kind, number)).is_correct
            assert await count_requests() == 1
            await first.process.kill()
            await cluster.restart_target(first)
            await cluster.wait_until_targets_ready()
            number = 20
            while await count_requests() == 0:
                assert (await send_one(caller, kind, number)).is_correct
                number += 1

    run_with_timeout(work)
