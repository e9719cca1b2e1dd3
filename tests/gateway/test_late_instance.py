"""Tests of instances that do not run for a moment, while answers of targets arrive."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.gateway.harness import run, start_fleet

# Shorter than a pause after which an instance learns everything anew.
SUSPENDED_S = 0.6


# Guards against taking an answer for missing that arrived in time at an instance that was late: a
# command that has run is answered 504, a read is sent to a second target.
@pytest.mark.parametrize(
    ("path", "deadline_ms", "delay_s"),
    [("/book/x", "700", 0.5), ("/read/x", "2000", 0.15)],
    ids=["command at its deadline", "read that is given up early"],
)
def test_answers_that_arrive_while_an_instance_is_suspended_are_used(
    tmp_path: Path, path: str, deadline_ms: str, delay_s: float
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await fleet.set_default_worker_faults(delay=delay_s)
            body = b"" if path == "/read/x" else b"text"
            request = fleet.send_request(path, body, Deadline_Ms=deadline_ms)
            sending = asyncio.create_task(request)
            await asyncio.sleep(delay_s - 0.1)
            process = fleet.instances["front-0"].process
            assert process is not None
            process.freeze()
            await asyncio.sleep(SUSPENDED_S)
            process.resume()
            reply = await sending
            assert reply.status == 200
            assert len([arrival for arrival in fleet.read_arrivals() if arrival.ran]) == 1

    run(work)
