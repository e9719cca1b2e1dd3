"""Answers that come while the request is still being written, and statuses that are none."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standins._worker_types import make_stream_event
from tests.gateway.harness import GatewayFleet, run, start_fleet
from tests.gateway.raw_target import RawEnd, start_raw_target

ROUTES = {"/read/x": "plain", "/book/x": "plain", "/chat/x": "llm", "/plan/x": "llm"}
# More than the kernels of both sides take, so that most of it waits to be written.
UPLOAD = b"u" * 1_000_000
PROMPT = "aa:400,bb:50"


def make_answer(status: str, path: str, is_whole: bool) -> bytes:
    """Return an answer without a length, for streams with whole events."""
    body = b"part of a body" if path in ("/read/x", "/book/x") else make_stream_event(b"", 1)
    length = f"Content-Length: {len(body)}\r\n" if is_whole else ""
    head = f"HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nResponse-Seal: 1\r\n{length}\r\n"
    return head.encode() + body


async def wait_for_target(fleet: GatewayFleet) -> None:
    """Wait until instances have read the registration of the raw target."""
    await asyncio.sleep(0.5)


async def send(fleet: GatewayFleet, path: str, body: bytes, **headers: str) -> tuple[int, bool]:
    headers = {"Prefix_Hash": PROMPT, "Deadline_Ms": "3000", **headers}
    reply = await fleet.send_request(path, body, **headers)
    return reply.status, reply.complete


# Guards against a part of an answer that its caller takes for the whole: the target answers at once
# and ends the connection while the request is still being written.
@pytest.mark.parametrize("delay", [0.0, 0.2])
@pytest.mark.parametrize("end", [RawEnd.RESET, RawEnd.CLOSED])
@pytest.mark.parametrize("path", list(ROUTES))
def test_an_answer_without_length_that_ends_beside_an_upload_is_not_complete(
    tmp_path: Path, path: str, end: RawEnd, delay: float
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=0, engine_worker_count=0
        ) as fleet:
            answer = make_answer("200 OK", path, is_whole=False)
            async with start_raw_target(fleet, ROUTES[path], answer, end, delay) as target:
                await wait_for_target(fleet)
                for _ in range(3):
                    status, complete = await send(fleet, path, UPLOAD)
                    assert not (status == 200 and complete)
                assert target.requests

    run(work)


# Guards against the same for a stream that its caller takes up again.
@pytest.mark.parametrize("end", [RawEnd.RESET, RawEnd.CLOSED])
def test_a_stream_taken_up_again_that_ends_beside_an_upload_is_not_complete(
    tmp_path: Path, end: RawEnd
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=0, engine_worker_count=0
        ) as fleet:
            answer = make_answer("200 OK", "/chat/x", is_whole=False).replace(b"id: 1", b"id: 2")
            async with start_raw_target(fleet, "llm", answer, end) as target:
                await wait_for_target(fleet)
                for _ in range(3):
                    status, complete = await send(fleet, "/chat/x", UPLOAD, Last_Event_Id="1")
                    assert not (status == 200 and complete)
                assert target.requests

    run(work)


# Guards against an answer with a status that HTTP does not have: the caller takes it for an answer.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("path", list(ROUTES))
def test_an_answer_whose_status_is_none_is_a_failure(
    tmp_path: Path, path: str, status: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=0, engine_worker_count=0
        ) as fleet:
            answer = make_answer(f"{status} Odd", path, is_whole=True)
            async with start_raw_target(fleet, ROUTES[path], answer, RawEnd.OPEN) as target:
                await wait_for_target(fleet)
                assert await send(fleet, path, b"small") == (502, True)
                assert target.requests

    run(work)
