"""Tests of instances that do not run for a moment, while answers of targets arrive."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.gateway.harness import make_config, run, start_fleet

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


# Guards against an attempt that begins after the deadline of its request: an instance that was late
# lets input be processed first, and what it processes may be a failure that asks for a retry.
def test_no_attempt_begins_after_the_deadline(tmp_path: Path) -> None:
    async def work() -> None:
        slow = {"sloMs": 10_000, "gapTargetMs": 10_000}
        routes = [{**route, **slow} for route in make_config()["routes"]]
        async with start_fleet(
            tmp_path, instances=1, engine_worker_count=0, config_changes={"routes": routes}
        ) as fleet:
            # Both targets have idle connections afterwards.
            await asyncio.gather(*(fleet.send_request(f"/read/{n}") for n in range(10)))
            await fleet.set_default_worker_faults(delay=0.5, unsealed=True)
            before = len(fleet.read_arrivals())
            sending = asyncio.create_task(fleet.send_request("/read/x", Deadline_Ms="700"))
            await asyncio.sleep(0.4)
            process = fleet.instances["front-0"].process
            assert process is not None
            process.freeze()
            await asyncio.sleep(0.6)
            process.resume()
            assert (await sending).status == 504
            await asyncio.sleep(0.2)
            assert len(fleet.read_arrivals()) == before + 1

    run(work)


# Guards against closing a connection without an answer when the time for a planned stop is over.
def test_a_request_is_answered_when_the_time_for_a_stop_is_over(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await fleet.set_default_worker_faults(hang=True)
            routes = [{**route, "timeoutMs": 20_000} for route in make_config()["routes"]]
            await fleet.write_row("op", "config", make_config(2, routes=routes))
            await asyncio.sleep(0.5)
            process = fleet.instances["front-0"].process
            assert process is not None
            request = fleet.send_request("/book/x", b"text", Deadline_Ms="15000")
            sending = asyncio.create_task(request)
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            assert (await sending).status == 502

    run(work)
