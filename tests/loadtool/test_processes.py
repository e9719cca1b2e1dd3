"""Processes of a run: what their ends are said to have been."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import Any

from loadtool._processes import ManagedProcess


class Started:
    """A child as the event loop knows it: it waits for the end itself, and has not heard of it."""

    returncode = None

    def __init__(self, child: subprocess.Popen[bytes]) -> None:
        self.pid = child.pid
        self.send_signal = child.send_signal


def test_a_signal_to_a_process_that_has_just_ended_leaves_its_status() -> None:
    # A process ends as planned; before the loop has heard of it one more signal is sent. The
    # library's own way to send one collects the status first, and the loop, which waits for it,
    # is told that the child is unknown: a planned stop was reported as status 255.
    child = subprocess.Popen([sys.executable, "-c", "raise SystemExit(7)"])
    os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
    started: Any = Started(child)
    ManagedProcess("short", started).send(signal.SIGTERM)
    _, status = os.waitpid(child.pid, 0)
    child.returncode = os.waitstatus_to_exitcode(status)
    assert child.returncode == 7
