"""Plain targets that reset new connections beyond a number that sinks."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import msgspec
import pytest

from rhubarbbend.core.placement import FullTargetNotice
from rhubarbbend.gateway._peer_updates import PeerUpdate
from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

INSTANCES = 8
TARGETS = 4
RATE = 90.0
# The work of the requests in flight takes 14 connections.
DELAY_S = 0.15
DURATION_S = 4.0
# Until an instance has met a limit, or was told of it, it writes at once to connections that are
# then reset, and what was written may have run. So each may lose a command, or two without room.
ONSET_S = 1.5
MAX_FAILED_AT_ONSET = INSTANCES
MAX_FAILED_WITHOUT_ROOM = 2 * INSTANCES


@attrs.define(slots=True)
class Command:
    """A command as its caller saw it; `sent_s` is the time since the first one."""

    id: str
    sent_s: float
    status: int = 0


async def send_commands(fleet: GatewayFleet, duration_s: float) -> list[Command]:
    """Send commands to all instances in turn, at an even rate."""
    commands: list[Command] = []
    started_at = time.monotonic()

    async def send(command: Command, instance: str) -> None:
        body = command.id.encode()
        reply = await fleet.send_request("/book/x", body, instance, Attempt_Id=command.id)
        command.status = reply.status

    async with asyncio.TaskGroup() as sendings:
        for number in range(int(duration_s * RATE)):
            command = Command(f"command-{number}", time.monotonic() - started_at)
            commands.append(command)
            sendings.create_task(send(command, f"front-{number % INSTANCES}"))
            await asyncio.sleep(1.0 / RATE)
    return commands


def check_runs(fleet: GatewayFleet, commands: list[Command]) -> None:
    """Check that no command ran twice, and none that was refused as not run."""
    runs = Counter(arrival.id for arrival in fleet.read_arrivals() if arrival.ran)
    assert [command for command in commands if runs[command.id] > 1] == []
    refused = [command for command in commands if command.status in (429, 503)]
    assert [command for command in refused if runs[command.id]] == []


def list_late_failures(commands: list[Command]) -> list[Command]:
    """Return the commands that failed later than the first ones did."""
    failed = [command for command in commands if command.status == 502]
    return [command for command in failed if command.sent_s > failed[0].sent_s + ONSET_S]


def read_events(fleet: GatewayFleet, event: str) -> list[dict[str, Any]]:
    lines = [line for name in fleet.instances for line in fleet.read_log(name)]
    return [line for line in lines if line["event"] == event]


# Guards against commands that are written to connections which a full target resets.
@pytest.mark.parametrize("max_connections", [24, 16, 8])
def test_commands_are_not_lost_to_full_targets(tmp_path: Path, max_connections: int) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=INSTANCES, plain_worker_count=TARGETS, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", delay=DELAY_S, max_connections=max_connections)
            commands = await send_commands(fleet, DURATION_S)
            statuses = Counter(command.status for command in commands)
            print(f"limit {max_connections}: {dict(statuses)}")
            check_runs(fleet, commands)
            assert statuses[502] <= MAX_FAILED_AT_ONSET, statuses
            assert list_late_failures(commands) == []
            assert statuses[200] >= 0.9 * len(commands), statuses
            # Nothing is held against the requests under which connections were reset.
            reset = {line["id"] for line in read_events(fleet, "attempt_failed") if line["full"]}
            assert reset.isdisjoint(line["id"] for line in read_events(fleet, "crash_doubted"))
            assert not read_events(fleet, "crash_counted")
            assert any(line.get("told_by") for line in read_events(fleet, "target_full"))

    run(work)


# Guards against commands that are written since a busy target takes some tens of ms to reset.
def test_commands_are_not_lost_to_full_targets_that_reset_late(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=INSTANCES, plain_worker_count=TARGETS, engine_worker_count=1
        ) as fleet:
            faults = {"delay": DELAY_S, "max_connections": 8, "reset_delay": 0.06}
            await fleet.set_service_faults("plain", **faults)
            commands = await send_commands(fleet, DURATION_S)
            check_runs(fleet, commands)
            statuses = Counter(command.status for command in commands)
            assert statuses[502] <= MAX_FAILED_AT_ONSET, statuses
            assert list_late_failures(commands) == []

    run(work)


# Guards against commands that are sent where there is no room, rather than refused unsent.
def test_commands_without_room_anywhere_are_refused_as_not_run(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=INSTANCES, plain_worker_count=TARGETS, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", delay=DELAY_S, max_connections=2)
            commands = await send_commands(fleet, DURATION_S)
            statuses = Counter(command.status for command in commands)
            print(f"limit 2: {dict(statuses)}")
            check_runs(fleet, commands)
            assert statuses[503] > 0
            assert statuses[502] <= MAX_FAILED_WITHOUT_ROOM, statuses
            assert list_late_failures(commands) == []

    run(work)


RETURNED = 12
PLACES = 2


# Guards against sound requests that are refused as crashing targets after all instances were lost:
# targets still hold most places, and nobody remembers that they are full.
def test_requests_are_not_blamed_for_places_that_targets_hold_for_lost_instances(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=RETURNED, plain_worker_count=TARGETS, engine_worker_count=1
        ) as fleet:
            processes = [n.process for n in fleet.instances.values() if n.process is not None]
            await asyncio.gather(*(process.kill() for process in processes))
            await fleet.set_service_faults("plain", delay=0.045, max_connections=PLACES)
            await asyncio.gather(*(fleet.start_instance(name) for name in fleet.instances))
            for name in fleet.instances:
                await fleet.wait_ready(name)
            replies = await asyncio.gather(
                *(send_equal_requests(fleet, f"front-{number}") for number in range(RETURNED))
            )
            statuses = Counter(reply.status for each in replies for reply in each)
            assert not read_events(fleet, "crash_counted")
            assert not any(b"crashes_targets" in reply.body for each in replies for reply in each)
            assert statuses[502] <= RETURNED, statuses

    run(work)


async def send_equal_requests(fleet: GatewayFleet, instance: str) -> list[Reply]:
    """Send equal commands and reads to an instance one after the other."""
    replies: list[Reply] = []
    for _ in range(8):
        replies.append(await fleet.send_request("/book/x", b"equal", instance))
        replies.append(await fleet.send_request("/read/x", b"", instance))
        await asyncio.sleep(0.2)
    return replies


# Guards against news that counts from the time at which a relay passed it on.
def test_news_of_a_full_target_gets_older_at_a_relay() -> None:
    update = PeerUpdate(full=[FullTargetNotice("plain", "plain-0", 0.25, 0.06)], received_at=5.0)
    sent = msgspec.msgpack.encode(update.add_age(5.5))
    received = msgspec.msgpack.decode(sent, type=PeerUpdate)
    assert received.full == [FullTargetNotice("plain", "plain-0", 0.75, 0.06)]
    # An instance of the version before sends neither this field nor what came after it.
    known_before = PeerUpdate.__struct_fields__.index("full")
    before = msgspec.msgpack.encode(msgspec.msgpack.decode(sent)[:known_before])
    assert msgspec.msgpack.decode(before, type=PeerUpdate).full == []
