"""Tests of the picking of free ports for the processes of a run."""

from __future__ import annotations

import os
import random
import socket

import pytest

from loadtool._processes import LAST_PORT, pick_port


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
