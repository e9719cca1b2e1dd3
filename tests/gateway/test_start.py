"""Tests of starts: callers that connect meanwhile, and a loss of power of all."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from tests.gateway.harness import GatewayFleet, make_config, run, start_fleet

# How long after its start an instance lets callers wait for its first configuration.
STARTUP_WAIT_S = 0.8


async def send_on_first_connection(fleet: GatewayFleet) -> int:
    """Send a request on the first connection that an instance accepts, and return the status."""
    while True:
        reply = await fleet.send_request("/read/x", Deadline_Ms="3000")
        if reply.status:
            return reply.status
        await asyncio.sleep(0.002)


async def restart_instance(fleet: GatewayFleet) -> None:
    process = fleet.instances["front-0"].process
    assert process is not None
    await process.kill()
    await fleet.start_instance("front-0")


# The users judge a start of all instances after this time, in seconds.
RECOVERY_S = 12.0
NEW_ACCOUNT = {"name": "farmers", "apiKeys": ["new-key"], "priority": 3}


def test_caller_that_connects_while_the_program_loads_is_served(tmp_path: Path) -> None:
    """All instances restart after a power failure, and callers connect as soon as one accepts.

    The program is still loading then, and afterwards it reads the configuration from a slow store.
    A caller that was refused here would be refused by every other instance as well.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_store_faults(delay=0.2)
            await restart_instance(fleet)
            assert await send_on_first_connection(fleet) == 200

    run(work)


def test_caller_does_not_wait_for_an_unavailable_configuration(tmp_path: Path) -> None:
    """The store is unreachable and no other instance runs, so the configuration is unknown.

    Callers of the first moments wait for a part of their time and are refused; later ones are
    refused at once.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_store_faults(silent=True)
            await restart_instance(fleet)
            assert await send_on_first_connection(fleet) == 503
            await asyncio.sleep(STARTUP_WAIT_S)
            asked_at = time.monotonic()
            assert await send_on_first_connection(fleet) == 503
            assert time.monotonic() - asked_at < 0.1

    run(work)


# Guards against a fleet that does not come back, or forgets a change, after all lost power at once.
def test_all_instances_and_targets_lose_power_right_after_a_change(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3) as fleet:
            assert (await fleet.send_request("/read/x")).status == 200
            await fleet.write_row("op", "config", make_config(7, tenants=[NEW_ACCOUNT]))
            nodes = [*fleet.instances.values(), *fleet.workers.values()]
            processes = [node.process for node in nodes if node.process is not None]
            await asyncio.gather(*(process.kill() for process in processes))
            for name, node in list(fleet.workers.items()):
                await fleet.write_row("servers", name, None)
                await fleet.start_worker(f"{name}-new", node.service, node.zone, born=2)
            await asyncio.gather(*(fleet.start_instance(name) for name in fleet.instances))
            for name in fleet.instances:
                await fleet.wait_ready(name, RECOVERY_S)
                for path in ("/read/x", "/book/x", "/chat/stream"):
                    reply = await fleet.send_request(path, b"x", name, X_Api_Key="new-key")
                    assert (reply.status, reply.complete) == (200, True)
                assert (await fleet.send_request("/read/x", instance=name)).status == 401

    run(work)


# How long an address stays taken after the start, and by when its instance serves then, in seconds.
TAKEN_S = 1.5
SERVES_WITHIN_S = 5.0
METRICS_PORT = 9464


def take_address(host: str, port: int, kind: socket.SocketKind) -> socket.socket:
    """Take an address, as the process of before or another program may do."""
    taken = socket.socket(socket.AF_INET, kind)
    if kind is socket.SOCK_STREAM:
        # Closed connections of the former process do not keep the address.
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    taken.bind((host, port))
    if kind is socket.SOCK_STREAM:
        taken.listen()
    return taken


# Guards against an instance that ends, and never comes back, since an address is taken for a moment
# as it starts.
@pytest.mark.parametrize("use", ["front", "ready", "control", "datagrams", "metrics"])
def test_instance_waits_for_an_address_that_is_taken_as_it_starts(tmp_path: Path, use: str) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as fleet:
            node = fleet.instances["front-0"]
            assert node.process is not None
            await node.process.kill()
            addresses = {**node.settings["listen"], "metrics": f"{node.ip}:{METRICS_PORT}"}
            address = addresses["control" if use == "datagrams" else use]
            kind = socket.SOCK_DGRAM if use == "datagrams" else socket.SOCK_STREAM
            taken = take_address(node.ip, int(address.rpartition(":")[2]), kind)
            await fleet.start_instance("front-0")
            await asyncio.sleep(TAKEN_S)
            if use in ("front", "ready"):
                assert not await fleet.is_ready("front-0", 0.5)
            taken.close()
            await fleet.wait_ready("front-0", SERVES_WITHIN_S)
            assert (await fleet.send_request("/read/x")).status == 200
            assert node.process.running
            failed = [
                line for line in fleet.read_log("front-0") if line["event"] == "listen_failed"
            ]
            assert len(failed) == 1

    run(work)


# Guards against an instance that ends, and never comes back, since its settings are being replaced
# as it starts.
@pytest.mark.parametrize("content", [None, "", '{"nodeName": "front'])
def test_instance_waits_for_settings_that_are_being_replaced(
    tmp_path: Path, content: str | None
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await restart_instance(fleet)
            path = tmp_path / "front-0.json"
            whole = path.read_text("utf-8")
            path.unlink()
            if content is not None:
                path.write_text(content, "utf-8")
            await asyncio.sleep(1.0)
            path.write_text(whole, "utf-8")
            await fleet.wait_ready("front-0")
            assert (await fleet.send_request("/read/x")).status == 200

    run(work)
