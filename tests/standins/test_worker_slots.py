"""Tests of the slots and the pace of the stand-in for workers."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from rhubarbbend.http import Connection
from standins._worker import Worker
from standins._worker_slots import SlotTable, compute_pace, format_load, parse_priority
from standins._worker_types import Arrival, Faults

# One runs and two wait; work takes 0.1 s.
FAULTS = {"slots": 1, "queue": 2, "delay": 0.1, "reports_pace": True}


async def send(port: int, attempt: str, priority: int, timeout: float = 5.0) -> tuple[int, str]:
    """Send a request and return the status and the load in the response."""
    connection = await Connection.open(("127.0.0.1", port))
    headers = [(b"Host", b"x"), (b"Attempt-Id", attempt.encode())]
    headers.append((b"Request-Priority", str(priority).encode()))
    try:
        connection.send_raw(b"GET", b"/x", headers, b"")
        async with asyncio.timeout(timeout):
            head = await connection.receive_head(timeout)
        return head.status, head.headers["server-load"]
    finally:
        connection.close()


async def start_worker(folder: Path) -> int:
    worker = Worker("w", str(folder / "arrivals"))
    port = await worker.listen("127.0.0.1", 0)
    connection = await Connection.open(("127.0.0.1", port))
    body = msgspec.json.encode(FAULTS)
    length = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    connection.send_raw(b"POST", b"/admin/faults", length, body)
    await connection.receive_head(1.0)
    connection.close()
    return port


def read_arrivals(folder: Path) -> list[tuple[str, bool]]:
    lines = (folder / "arrivals").read_bytes().splitlines()
    arrivals = [msgspec.json.decode(line, type=Arrival) for line in lines]
    return [(arrival.id, arrival.ran) for arrival in arrivals]


# Guards against a stand-in that is gentler than the targets: no queue, no priorities.
def test_urgent_requests_run_first_and_those_beyond_the_queue_are_rejected(tmp_path: Path) -> None:
    async def work() -> None:
        port = await start_worker(tmp_path)
        tasks: list[asyncio.Task[tuple[int, str]]] = []
        for attempt, priority in (("first", 2), ("late", 2), ("urgent", 0), ("beyond", 0)):
            tasks.append(asyncio.create_task(send(port, attempt, priority)))
            await asyncio.sleep(0.02)
        replies = await asyncio.gather(*tasks)
        assert replies == [(200, "1,2,1,100"), (200, "1,0,1,100"), (200, "1,1,1,100")] + [
            (503, "1,2,1,100")
        ]

    asyncio.run(work())
    assert read_arrivals(tmp_path) == [
        ("first", True),
        ("beyond", False),
        ("urgent", True),
        ("late", True),
    ]


# Guards against false findings: a request whose sender leaves before its turn has not run.
def test_a_request_that_is_given_up_while_it_waits_does_not_run(tmp_path: Path) -> None:
    async def work() -> None:
        port = await start_worker(tmp_path)
        first = asyncio.create_task(send(port, "first", 1))
        await asyncio.sleep(0.02)
        with pytest.raises(TimeoutError):
            await send(port, "left", 0, timeout=0.03)
        assert (await first)[0] == 200
        assert (await send(port, "next", 0))[0] == 200

    asyncio.run(work())
    assert read_arrivals(tmp_path) == [("first", True), ("left", False), ("next", True)]


def test_any_number_runs_without_slots() -> None:
    table, faults = SlotTable(), Faults()
    assert all(table.add(9, faults).granted.is_set() for _ in range(50))
    assert not table.is_full(faults)
    assert format_load(table, faults, 1.0) == "50,0,6"


@pytest.mark.parametrize(("value", "priority"), [("0", 0), ("12", 9), ("", 9), ("-1", 9)])
def test_priorities_that_are_missing_or_invalid_are_the_lowest(value: str, priority: int) -> None:
    assert parse_priority(value) == priority


def test_pace_varies_for_part_of_each_interval_and_differs_by_worker() -> None:
    faults = Faults(slow_factor=2.5, slow_s=0.6, slow_interval_s=2.0)
    moments = [n / 100 for n in range(20_000)]
    paces = [compute_pace(faults, "w1", at) for at in moments]
    assert set(paces) == {1.0, 2.5}
    assert paces.count(2.5) == pytest.approx(0.3 * len(paces), rel=0.05)
    assert paces != [compute_pace(faults, "w2", at) for at in moments]
    assert compute_pace(Faults(), "w1", 1.0) == 1.0
    assert compute_pace(Faults(slow_factor=2.0), "w1", 1.0) == 2.0
