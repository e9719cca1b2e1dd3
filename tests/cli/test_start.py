"""Tests of the start of the command line."""

from __future__ import annotations

import subprocess
import sys


# Guards against commands that start slowly: an operator's change waited for modules that only an
# instance needs, and a command with `--wait 2` took more than 5 s on a busy machine.
def test_commands_start_without_the_modules_of_an_instance() -> None:
    code = "import sys, rhubarbbend.cli; print('rhubarbbend.shell' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    assert done.stdout.strip() == "False"
