"""Tests of targets that ask an instance to send them nothing for a time."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

from adapter import PlatformTargetProtocol
from rhubarbbend.core.delivery import AttemptOutcome
from rhubarbbend.core.placement import (
    ConnectionLimitTracker,
    HealthTracker,
    LoadTracker,
    PauseTracker,
)
from rhubarbbend.gateway._attempts import AttemptRunner
from standins._worker_types import Arrival
from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

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
        for number, (worker, path) in enumerate(
            [("engine-0", "/chat/stream"), ("engine-1", "/plan/stream"), ("plain-0", "/read/x")]
        ):
            folder = tmp_path / str(number)
            folder.mkdir()
            async with start_fleet(folder, instances=1) as fleet:
                await fleet.set_worker_faults(worker, reject=True, pause_s=PAUSE_S)
                statuses = await send_steadily(fleet, path, PAUSE_S + 0.5)
                assert list_within_pause(fleet.read_arrivals(), worker, path) == []
                # A route with one attempt refuses what the target rejected: at first, and once
                # more when it is tried after the pause.
                assert statuses.count(200) >= len(statuses) - 2

    run(work)


# Guards against callers that wait, or are told nothing of use, while every target is paused.
def test_callers_are_told_at_once_when_to_return_while_all_targets_are_paused(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await fleet.set_service_faults("plain", reject=True, pause_s=PAUSE_S)
            first = await fleet.send_request("/read/first")
            paused_at = time.time()
            assert first.status == 503
            for number in range(10):
                reply = await fleet.send_request(f"/read/{number}")
                remaining = PAUSE_S - (time.time() - paused_at)
                assert (reply.status, json.loads(reply.body)["error"]) == (
                    503,
                    "targets_paused",
                )
                assert remaining <= float(reply.headers["retry-after"]) <= 1.5 * remaining + 0.1
            assert len(fleet.read_arrivals()) == 2

    run(work)


# Guards against a burst at the end of a pause, which would overload the target again.
def test_a_target_is_tried_with_one_request_when_its_pause_ends(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plain_worker_count=1) as fleet:
            await fleet.set_worker_faults("plain-0", reject=True, pause_s=0.5)
            assert (await fleet.send_request("/read/first")).status == 503
            await fleet.set_worker_faults("plain-0", reject=False, delay=0.1)
            await asyncio.sleep(0.7)
            replies = await asyncio.gather(
                *(fleet.send_request(f"/read/{number}") for number in range(20))
            )
            assert sorted(reply.status for reply in replies) == [200] + 19 * [503]
            assert (await fleet.read_stats("plain-0")).most_running == 1

    run(work)


# Guards against a request that was waiting for a connection when another one learned of the pause.
def test_a_request_that_waits_for_its_connection_is_not_sent_into_a_pause() -> None:
    pauses = PauseTracker()
    released: list[object] = []

    class SlowPool:
        async def acquire(self, *_: object, **__: object) -> object:
            pauses.record_pause("plain-0", PAUSE_S, Random(1), 10.0)
            return SimpleNamespace(reused=True)

        def release(self, connection: object, now: float) -> None:
            released.append(connection)

    state: Any = SimpleNamespace(
        loads=LoadTracker(),
        health=HealthTracker(),
        pauses=pauses,
        connection_limits=ConnectionLimitTracker(),
        placement=SimpleNamespace(record_chosen=lambda target, now: None),
        list_instance_ids=lambda: ("front-0",),
        report_internal_error=lambda task, error: None,
    )
    pool: Any = SlowPool()
    runner = AttemptRunner(state, pool, PlatformTargetProtocol(), lambda: 10.0)
    request: Any = SimpleNamespace(
        id="try-1",
        sent_work=None,
        origin=None,
        route=SimpleNamespace(idempotent=True),
        service=SimpleNamespace(max_connections=96),
        compute_time_left=lambda now: 1.0,
    )
    choice: Any = SimpleNamespace(target=SimpleNamespace(id="plain-0", address=("127.0.0.1", 1)))
    assert asyncio.run(runner.run(request, choice)) is AttemptOutcome.WITHHELD
    assert len(released) == 1 and state.loads.count_own("plain-0") == 0


# Guards against refusals for load beside an engine with room, while another one is paused.
def test_callers_are_served_while_one_of_two_engines_pauses(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await fleet.set_worker_faults("engine-0", reject=True, pause_s=PAUSE_S)
            replies: list[asyncio.Task[Reply]] = []
            for _ in range(15):
                for _ in range(60):
                    number = len(replies)
                    prompt = f"{number:04x}:400,{number:04x}bb:90"
                    body = f"question {number}".encode()
                    reply = fleet.send_request("/chat/stream", body, Prefix_Hash=prompt)
                    replies.append(asyncio.create_task(reply))
                await asyncio.sleep(0.3)
            statuses = [(await reply).status for reply in replies]
            reasons = [line["shut"] for line in fleet.read_log("front-0") if line.get("shut")]
            assert statuses.count(503) == len(reasons)
            # On a busy machine requests stay so long that the engine's connections are used up.
            refused = sum("connections" not in reason for reason in reasons)
            assert refused <= len(replies) // 50

    run(work)
