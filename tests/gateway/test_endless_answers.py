"""Targets that send bytes which are no answer, without end, as fast as they can or one by one."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from standins._worker_floods import FLOODS
from standins._worker_types import make_response_body, make_stream_event
from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

SLOW_GAP_S = 0.05
GAPS = [0.0, SLOW_GAP_S]
STREAM_FLOODS = ["event", "chunked event"]
# These replace an answer; what comes after one is no fault of the request before it.
ANSWER_FLOODS = [k for k in FLOODS if k not in (*STREAM_FLOODS, "after the response")]
# The deadline of each request; a request is over well before it.
DEADLINE_MS = "6000"
MAX_TAKEN_S = 2.5
# What another request may take meanwhile.
MAX_OTHER_TAKEN_S = 0.5


async def send_timed(fleet: GatewayFleet, path: str, body: bytes = b"") -> tuple[Reply, float]:
    """Send a request and return the reply and the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    reply = await fleet.send_request(path, body, Deadline_Ms=DEADLINE_MS)
    return reply, loop.time() - started_at


# Guards against a command that waits for its whole deadline, or is told that it did not run.
@pytest.mark.parametrize("gap", GAPS)
def test_command_whose_target_sends_without_end_fails_soon(tmp_path: Path, gap: float) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            # A body byte by byte may still be the answer, and no other target can give it.
            kinds = [k for k in ANSWER_FLOODS if not (gap and k == "body")]
            for kind in kinds:
                await fleet.set_service_faults("plain", flood=kind, flood_gap=gap)
                reply, taken_s = await send_timed(fleet, "/book/x", b"tent")
                assert (kind, reply.status) == (kind, 502)
                assert json.loads(reply.body)["verdict"] == "may_have_run"
                assert taken_s < MAX_TAKEN_S, kind

    run(work)


# Guards against a read that is lost to a target that sends without end beside one that is sound.
@pytest.mark.parametrize("gap", GAPS)
@pytest.mark.parametrize("kind", [*ANSWER_FLOODS, "after the response"])
def test_read_is_answered_by_another_target(tmp_path: Path, kind: str, gap: float) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            await fleet.set_worker_faults("plain-0", flood=kind, flood_gap=gap)
            paths = [f"/read/{number}" for number in range(6)]
            replies = await asyncio.gather(*(send_timed(fleet, path) for path in paths))
            for path, (reply, taken_s) in zip(paths, replies, strict=True):
                assert reply.status == 200
                if kind != "after the response":
                    assert reply.body == make_response_body(b"", path)
                assert taken_s < MAX_TAKEN_S

    run(work)


# Guards against a stream that its caller waits for in vain while its target sends no event.
@pytest.mark.parametrize("gap", GAPS)
@pytest.mark.parametrize("kind", STREAM_FLOODS)
def test_stream_without_an_end_of_an_event_fails_soon(
    tmp_path: Path, kind: str, gap: float
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plain_worker_count=0) as fleet:
            await fleet.set_worker_faults("engine-0", flood=kind, flood_gap=gap)
            prompts = [f"aa{number}:400,bb{number}:50" for number in range(4)]
            started_at = asyncio.get_running_loop().time()
            replies = await asyncio.gather(
                *(
                    fleet.send_request(
                        "/chat/stream", b"hello", Prefix_Hash=prompt, Deadline_Ms=DEADLINE_MS
                    )
                    for prompt in prompts
                )
            )
            events = b"".join(make_stream_event(b"hello", n + 1) for n in range(5))
            assert [(r.status, r.body) for r in replies] == [(200, events)] * 4
            await fleet.set_worker_faults("engine-1", flood=kind, flood_gap=gap)
            reply, _ = await send_timed(fleet, "/plan/stream", b"hello")
            assert reply.status == 502
            assert asyncio.get_running_loop().time() - started_at < 2 * MAX_TAKEN_S

    run(work)


# Guards against an instance that serves nobody else while targets send all that the link bears.
def test_others_are_served_while_targets_send_without_end(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            for kind in ANSWER_FLOODS:
                await fleet.set_worker_faults("plain-0", flood=kind)
                commands = [
                    asyncio.ensure_future(fleet.send_request("/book/x", b"tent")) for _ in range(12)
                ]
                for number in range(4):
                    reply, taken_s = await send_timed(fleet, f"/read/{number}")
                    assert (kind, reply.status) == (kind, 200)
                    assert taken_s < MAX_OTHER_TAKEN_S, kind
                assert {r.status for r in await asyncio.gather(*commands)} <= {200, 502}

    run(work)
