"""Tests of the picking of free ports for the processes of a run."""

from __future__ import annotations

import asyncio
import os
import random
import socket
from pathlib import Path

import pytest

from loadtool import Cluster
from loadtool._processes import FIRST_PORT, LAST_PORT, pick_port


def test_a_port_claimed_by_another_run_is_not_picked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two parallel runs pick ports on which nobody listens yet. Both picked the same port, and an
    # instance of one run ended because its address was in use.
    # The ports of this test are above the range from which other runs pick, and differ by process,
    # because a port that another run has claimed would be skipped as well.
    claimed_port = LAST_PORT + 2 * (os.getpid() % 300)
    random_ports = iter([claimed_port, claimed_port + 1])
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *args: next(random_ports))
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as other_run:
        other_run.bind(f"\0rhubarbbend-port-{claimed_port}")
        assert pick_port() == claimed_port + 1


# Guards against targets that do not start again: the system had given the port of one that was
# killed to another process.
def test_a_target_that_is_killed_keeps_its_port(tmp_path: Path) -> None:
    async def work() -> None:
        async with Cluster(tmp_path, ["almaty-a"]) as cluster:
            await cluster.start_platform()
            node = await cluster.start_plain_service("booking-a1", "almaty-a", "booking")
            assert FIRST_PORT <= node.port < LAST_PORT
            await node.process.kill()
            await cluster.restart_target(node)
            assert node.process.running

    asyncio.run(work())
