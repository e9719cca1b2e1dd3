"""Crowds of clients that do not behave, at one real instance of the users' platform.

A client sees that the instance refuses it or closes its connection. What must not happen: the
process ends or hangs, it takes more memory than its machine has, or more file descriptors, or an
ordinary caller is not answered once the crowd has left.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.crowds.crowd import (
    Bursts,
    Crowd,
    DataBehindRequests,
    Door,
    LongBodies,
    LongLists,
    LongPromptIds,
    ManyFields,
    ProcessUse,
    RequestsAhead,
    SilentConnections,
    SlowReaders,
    SlowSenders,
    SmallChunks,
    SmallPieces,
    SuddenConnections,
    TooLongBodies,
    TooLongChunkedBodies,
    UnfinishedHeads,
    UnreadAnswers,
    WaitingForContinue,
    run_crowd,
)
from tests.gateway.harness import KEY, GatewayFleet, run, start_fleet, wait_until

# An instance without load takes about 30 MB of it.
MEMORY_MB = 80
MAX_DESCRIPTORS = 4_096
# Fewer than a crowd has connections.
FEW_DESCRIPTORS = 1_024
ANSWER_BYTES = 200_000
ANSWERED_WITHIN_S = 20.0

DOORS = ("route", "no_route", "ready")
INPUT_CROWDS: tuple[type[Crowd], ...] = (
    LongBodies,
    SmallPieces,
    Bursts,
    SmallChunks,
    TooLongBodies,
    TooLongChunkedBodies,
    ManyFields,
    UnfinishedHeads,
    RequestsAhead,
)
CONNECTION_CROWDS: tuple[type[Crowd], ...] = (
    SlowSenders,
    SilentConnections,
    SuddenConnections,
    WaitingForContinue,
)


def find_door(fleet: GatewayFleet, name: str, path: str) -> Door:
    """Return a door of the instance; `path` is that of a request on a route."""
    node = fleet.instances["front-0"]
    key = f"X-Api-Key: {KEY}\r\n"
    if name == "route":
        return Door(name, node.front_address, path, key)
    if name == "no_route":
        return Door(name, node.front_address, "/nowhere/x", key)
    host, _, port = node.settings["listen"]["ready"].rpartition(":")
    return Door(name, (host, int(port)), "/ready", "")


async def is_served(fleet: GatewayFleet) -> bool:
    reply = await fleet.send_request("/book/ordinary", b"ordinary")
    return reply.status == 200 and reply.complete


async def check_crowd(
    fleet: GatewayFleet, crowd: Crowd, door: Door, max_descriptors: int = MAX_DESCRIPTORS
) -> None:
    """Run a crowd, and check the process and an ordinary caller."""
    process = fleet.instances["front-0"].process
    assert process is not None
    assert await is_served(fleet)
    use = ProcessUse(process.pid)
    await run_crowd(crowd, door, use)
    print(f"peak {use.peak_resident_bytes / 2**20:.1f} MB, {use.open_files} open files")
    assert use.peak_resident_bytes < MEMORY_MB * 2**20
    assert use.open_files < max_descriptors
    await wait_until("an ordinary caller is served", lambda: is_served(fleet), ANSWERED_WITHIN_S)
    assert await fleet.is_ready("front-0")
    assert use.peak_resident_bytes < MEMORY_MB * 2**20


def make_options(max_descriptors: int = MAX_DESCRIPTORS) -> dict[str, Any]:
    limits = {"maxFds": max_descriptors, "memoryMb": MEMORY_MB}
    return {"instances": 1, "settings_changes": {"limits": limits}}


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd_type", INPUT_CROWDS)
def test_a_crowd_that_sends_much_stays_within_the_memory(
    tmp_path: Path, crowd_type: type[Crowd], door: str
) -> None:
    """Guards against a process that runs out of memory because of what clients send."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            await check_crowd(fleet, crowd_type(), find_door(fleet, door, "/book/x"))
            # Each of them was unfinished or has been refused, and refusals say "not run".
            arrived = {line.id for line in fleet.read_arrivals()}
            if crowd_type is not RequestsAhead:
                assert not [attempt for attempt in arrived if attempt.startswith("crowd")]

    run(work)


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd_type", CONNECTION_CROWDS)
def test_a_crowd_of_connections_stays_within_the_descriptors(
    tmp_path: Path, crowd_type: type[Crowd], door: str
) -> None:
    """Guards against a process that can open no connection to a target: clients hold them all."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options(FEW_DESCRIPTORS)) as fleet:
            path = find_door(fleet, door, "/book/x")
            await check_crowd(fleet, crowd_type(), path, FEW_DESCRIPTORS)

    run(work)


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd_type", [UnreadAnswers, SlowReaders])
def test_a_crowd_that_does_not_read_stays_within_the_memory(
    tmp_path: Path, crowd_type: type[Crowd], door: str
) -> None:
    """Guards against answers that pile up because their clients read slowly or not at all."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            await fleet.set_service_faults("plain", body_bytes=ANSWER_BYTES)
            await check_crowd(fleet, crowd_type(), find_door(fleet, door, "/read/x"))

    run(work)


def test_a_crowd_with_long_lists_stays_within_the_memory(tmp_path: Path) -> None:
    """Guards against prompts of very many parts, which take far more than their header field."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            await fleet.set_service_faults("llm", events=100, event_gap=0.1)
            await check_crowd(fleet, LongLists(), find_door(fleet, "route", "/chat/stream"))

    run(work)


def test_a_crowd_that_sends_ahead_of_running_requests_stays_within_the_memory(
    tmp_path: Path,
) -> None:
    """Guards against what clients send while their requests run: it is held until these end."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            await fleet.set_service_faults("plain", delay=1.0)
            await check_crowd(fleet, DataBehindRequests(), find_door(fleet, "route", "/read/x"))

    run(work)


def test_a_crowd_with_long_prompt_ids_stays_within_the_memory(tmp_path: Path) -> None:
    """Guards against what outlives requests: ids of 15 KB that are never used again."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            await fleet.set_service_faults("llm", events=3, event_gap=0.0)
            await check_crowd(fleet, LongPromptIds(), find_door(fleet, "route", "/chat/stream"))

    run(work)


# What completes the request of a crowd, and the status of the response to one of them in calm.
ENDS = {LongBodies: b"x", SmallPieces: b"x", SmallChunks: b"0\r\n\r\n", ManyFields: b"x"}
EXPECTED = {"route": 200, "no_route": 404, "ready": 200}


async def read_status(crowd: Crowd, end: bytes, door: Door) -> int:
    """Send one request of a crowd and its end; return the status of the response."""
    reader, writer = await asyncio.open_connection(*door.address)
    for part in [*crowd.list_parts(door, 0), end]:
        writer.write(part)
        await writer.drain()
    status_line = await reader.readline()
    writer.close()
    return int(status_line.split()[1])


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("crowd_type", list(ENDS))
def test_one_unusual_request_within_the_limits_is_served(
    tmp_path: Path, crowd_type: type[Crowd], door: str
) -> None:
    """Guards against limits on crowds that refuse a single legal request in calm."""

    async def work() -> None:
        async with start_fleet(tmp_path, **make_options()) as fleet:
            at = find_door(fleet, door, "/book/x")
            assert await read_status(crowd_type(), ENDS[crowd_type], at) == EXPECTED[door]
            assert await is_served(fleet)

    run(work)
