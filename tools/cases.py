"""Runs the cases of the reviews, each a script that plays one rule with real processes.

    python -m tools.cases --times 5 6 7

Builds the deploy file's program and the cases' stand-ins first. A case that breaks its rule exits
with 1, one that holds with 0, one that cannot run with 2. The cases run one after another, since
each starts several processes and measures times. The exit status is 1 unless all of them hold.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Final

from tools.binary import ROOT
from tools.known_red_run import Outcome, describe_outcomes, run_command

CASES_FOLDER: Final = "review"
SCRIPT_NAME: Final = "run.sh"
BUILD_SCRIPT_PATTERN: Final = "build*.sh"


def list_cases(root: Path) -> list[str]:
    """Return the names of the cases in a checkout, in the order of their numbers."""
    scripts = (root / CASES_FOLDER).glob(f"*/{SCRIPT_NAME}")
    return sorted((script.parent.name for script in scripts), key=lambda name: (len(name), name))


def build(root: Path) -> None:
    """Build what the cases start; raise `CalledProcessError` if a command fails."""
    deploy_file = tomllib.loads((root / "deploy/system.toml").read_text("utf-8"))
    subprocess.run(deploy_file["build"], shell=True, cwd=root, check=True)
    for script in sorted((root / CASES_FOLDER).glob(BUILD_SCRIPT_PATTERN)):
        subprocess.run([str(script)], cwd=root, check=True)


def run_case(name: str, root: Path) -> Outcome:
    """Run a case once."""
    return run_command([str(root / CASES_FOLDER / name / SCRIPT_NAME)], root)


def main() -> int:
    """Run the cases as often as asked and print how their runs ended."""
    parser = argparse.ArgumentParser(description="Runs the cases of the reviews.")
    parser.add_argument("--times", type=int, default=1, help="how often each case is run")
    parser.add_argument("names", nargs="*", help="the cases to run; all if none is named")
    arguments = parser.parse_args()
    build(ROOT)
    all_hold = True
    for name in arguments.names or list_cases(ROOT):
        outcomes = [run_case(name, ROOT) for _ in range(arguments.times)]
        print(f"{CASES_FOLDER}/{name}: {describe_outcomes(outcomes)}", flush=True)
        all_hold = all_hold and set(outcomes) == {Outcome.PASSED}
    return 0 if all_hold else 1


if __name__ == "__main__":
    sys.exit(main())
