"""Runs every entry of KNOWN-RED.txt, tests and commands, and prints which still fail.

    python -m tools.known_red_run --times 3

The entries run one after another, since most of them failed on a busy machine and must not disturb
one another. The exit status is 0 whatever they do: this is a report, not a check.
"""

from __future__ import annotations

import argparse
import enum
import shlex
import subprocess
import sys
from pathlib import Path
from typing import Final

from tools.binary import ROOT
from tools.known_red import KnownRed, read_known_red

# An entry that has not ended by then counts as hanging. The longest soak takes a few minutes.
RUN_TIMEOUT_S: Final = 900.0
# By the convention of the cases under `review/`, and of pytest for a test that does not exist.
CANNOT_RUN_STATUSES: Final = frozenset({2, 4, 5, 126, 127})


class Outcome(enum.Enum):
    """How a run of an entry ended."""

    PASSED = "passed"
    FAILED = "failed"
    COULD_NOT_RUN = "could not run"
    DID_NOT_END = "did not end"


def make_command(entry: KnownRed) -> list[str]:
    """Return the arguments that run an entry; a listed test fails there as an unlisted one does."""
    if entry.command is not None:
        return shlex.split(entry.command)
    options = ["-q", "--runxfail", "-p", "no:xdist", "-p", "no:cacheprovider"]
    return [sys.executable, "-m", "pytest", *options, entry.name]


def run_command(command: list[str], root: Path, timeout_s: float = RUN_TIMEOUT_S) -> Outcome:
    """Run a command once in a checkout."""
    try:
        process = subprocess.run(
            command, cwd=root, timeout=timeout_s, capture_output=True, check=False
        )
    except subprocess.TimeoutExpired:
        return Outcome.DID_NOT_END
    except OSError:
        return Outcome.COULD_NOT_RUN
    if process.returncode == 0:
        return Outcome.PASSED
    could_not_run = process.returncode in CANNOT_RUN_STATUSES
    return Outcome.COULD_NOT_RUN if could_not_run else Outcome.FAILED


def describe_outcomes(outcomes: list[Outcome]) -> str:
    """Return how often each outcome was seen, e.g. `2 passed, 1 failed`."""
    counts = [(outcomes.count(outcome), outcome.value) for outcome in Outcome]
    return ", ".join(f"{count} {name}" for count, name in counts if count)


def main() -> int:
    """Run each entry as often as asked and print what was seen."""
    parser = argparse.ArgumentParser(description="Runs the entries of KNOWN-RED.txt.")
    parser.add_argument("--times", type=int, default=1, help="how often each entry is run")
    times: int = parser.parse_args().times
    for entry in read_known_red(ROOT):
        outcomes = [run_command(make_command(entry), ROOT) for _ in range(times)]
        print(f"{describe_outcomes(outcomes)}: {entry.format()}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
