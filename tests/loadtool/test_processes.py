"""Tests of the exit statuses that processes of a run are reported to have."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import Any

from loadtool._processes import ManagedProcess


class EndedChild:
    """A child process as the event loop sees it: it has ended, but the loop does not know yet."""

    returncode = None

    def __init__(self, child: subprocess.Popen[bytes]) -> None:
        self.pid = child.pid
        self.send_signal = child.send_signal


def test_signal_to_an_ended_process_keeps_its_exit_status() -> None:
    # A process has ended as planned, and another signal is sent before the event loop knows. The
    # library's `send_signal` collects the exit status first; the event loop, which waits for it, is
    # then told that the child is unknown, and a planned stop was reported as status 255.
    child = subprocess.Popen([sys.executable, "-c", "raise SystemExit(7)"])
    os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
    ended_child: Any = EndedChild(child)
    ManagedProcess("short", ended_child).send_signal(signal.SIGTERM)
    _, status = os.waitpid(child.pid, 0)
    child.returncode = os.waitstatus_to_exitcode(status)
    assert child.returncode == 7
