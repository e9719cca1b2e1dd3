"""Runs one test many times, some copies at once, and keeps the logs of each copy that fails.

    python -m tools.copies tests/fleet/test_path.py --copies 40 --jobs 8 --busy 6

A failure that is seen once in a hundred runs is found beside load or not at all: `--busy` processes
do nothing but compute meanwhile. Each copy has a folder of its own with pytest's output and all
that the test's processes logged; that of a copy that passes is removed.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import os
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Final

# A copy that has not ended after so many seconds hangs.
COPY_TIMEOUT: Final = 600.0
BUSY_LOOP: Final = "while True: pass"


def run_copy(test: str, number: int, keep: Path) -> bool:
    """Run one copy; its folder stays if it fails."""
    folder = keep / f"copy-{number}"
    folder.mkdir(parents=True, exist_ok=True)
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-s", "-p", "no:cacheprovider"]
    command += ["-p", "no:xdist", "--basetemp", str(folder / "tmp"), test]
    output = folder / "output.txt"
    with output.open("w") as file:
        try:
            done = subprocess.run(
                command, stdout=file, stderr=subprocess.STDOUT, timeout=COPY_TIMEOUT, check=False
            )
            passed = done.returncode == 0
        except subprocess.TimeoutExpired:
            passed = False
    if passed:
        shutil.rmtree(folder)
    return passed


def run_copies(test: str, copies: int, jobs: int, keep: Path) -> list[int]:
    """Run all copies; gives the numbers of those that failed."""
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        passed = list(pool.map(lambda number: run_copy(test, number, keep), range(copies)))
    return [number for number, good in enumerate(passed) if not good]


def start_busy(count: int) -> list[subprocess.Popen[bytes]]:
    """Start processes that keep a core busy each."""
    return [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(count)]


def main(words: list[str]) -> int:
    """Run the copies that the command line asks for; status 1 if any failed."""
    parser = argparse.ArgumentParser(prog="python -m tools.copies", description=__doc__)
    parser.add_argument("test", help="as pytest names it")
    parser.add_argument("--copies", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--busy", type=int, default=0, help="processes that only compute")
    parser.add_argument("--keep", type=Path, default=Path("results/copies"))
    options = parser.parse_args(words)
    busy = start_busy(options.busy)
    try:
        failed = run_copies(options.test, options.copies, options.jobs, options.keep)
    finally:
        for process in busy:
            process.kill()
            process.wait()
    load = os.getloadavg()[0]
    print(f"{len(failed)} of {options.copies} failed, load {load:.1f}")
    for number in failed:
        print(options.keep / f"copy-{number}" / "output.txt")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
