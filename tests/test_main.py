"""The program before it has begun to do anything."""

from __future__ import annotations

import subprocess
import sys

import pytest

# Stands for a part of the program whose loading takes long, in which the signal comes.
SCRIPT = """
import os, signal, sys, types
sys.path.insert(0, "platform")
import {program} as program

class Slow(types.ModuleType):
    def __getattr__(self, name):
        os.kill(os.getpid(), signal.SIGTERM)
        raise SystemExit(7)

sys.modules["{part}"] = Slow("{part}")
program.{start}()
"""


@pytest.mark.parametrize(
    ("program", "part", "start"),
    [("rhubarbbend.__main__", "rhubarbbend.cli", "run"), ("serve", "adapter", "main")],
)
def test_a_stop_while_the_program_loads_is_a_planned_stop(
    program: str, part: str, start: str
) -> None:
    # An instance is started again and told to stop before it has loaded, on a machine with much
    # else to do. It ended by the signal, and whoever stopped it took the stop for failed.
    script = SCRIPT.format(program=program, part=part, start=start)
    ended = subprocess.run([sys.executable, "-c", script], check=False, timeout=20)
    assert ended.returncode == 0
