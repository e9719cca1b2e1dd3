"""Ports that are picked for the processes of a run."""

from __future__ import annotations

import os
import random
import socket

import pytest

from loadtool._processes import LAST_PORT, pick_port


def test_a_port_that_another_run_has_just_picked_is_not_picked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two runs beside each other pick ports that nobody listens on yet. Both picked the same one,
    # and an instance of one of them ended as its address was in use.
    # The ports are above those that other runs pick at random, and differ by process: a port that
    # such a run has claimed would be passed over too.
    taken = LAST_PORT + 2 * (os.getpid() % 300)
    offered = iter([taken, taken + 1])
    monkeypatch.setattr(random.SystemRandom, "randrange", lambda *args: next(offered))
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as other_run:
        other_run.bind(f"\0rhubarbbend-port-{taken}")
        assert pick_port() == taken + 1
