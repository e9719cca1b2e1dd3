"""Runs many copies of one test, some concurrently, and keeps the output of those that fail.

    python -m tools.copies tests/fleet/test_path.py --copies 40 --jobs 8 --busy 6

A test that fails once in a hundred runs often fails only on a busy machine, so `--busy` starts
processes that use one core each meanwhile. Each copy has its own folder with pytest's output and
the logs of the test's processes; the folder of a copy that passes is removed.
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

# A copy that has not ended by then counts as hanging, that is, as failed.
COPY_TIMEOUT_S: Final = 600.0
BUSY_LOOP_CODE: Final = "while True: pass"


def run_copy(test: str, number: int, output_folder: Path) -> bool:
    """Run one copy and return whether it passed; its folder is kept if it failed."""
    folder = output_folder / f"copy-{number}"
    folder.mkdir(parents=True, exist_ok=True)
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-s", "-p", "no:cacheprovider"]
    command += ["-p", "no:xdist", "--basetemp", str(folder / "tmp"), test]
    output = folder / "output.txt"
    with output.open("w") as file:
        try:
            process = subprocess.run(
                command, stdout=file, stderr=subprocess.STDOUT, timeout=COPY_TIMEOUT_S, check=False
            )
            passed = process.returncode == 0
        except subprocess.TimeoutExpired:
            passed = False
    if passed:
        shutil.rmtree(folder)
    return passed


def run_copies(test: str, copies: int, jobs: int, output_folder: Path) -> list[int]:
    """Run all copies, `jobs` at a time; return the numbers of those that failed."""
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        passed = list(pool.map(lambda number: run_copy(test, number, output_folder), range(copies)))
    return [number for number, has_passed in enumerate(passed) if not has_passed]


def start_cpu_load(count: int) -> list[subprocess.Popen[bytes]]:
    """Start processes that each keep one core busy."""
    return [subprocess.Popen([sys.executable, "-c", BUSY_LOOP_CODE]) for _ in range(count)]


def main(arguments: list[str]) -> int:
    """Run the copies that the command line asks for; return 1 if any failed, else 0."""
    parser = argparse.ArgumentParser(prog="python -m tools.copies", description=__doc__)
    parser.add_argument("test", help="pytest id of the test, or its file")
    parser.add_argument("--copies", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument(
        "--busy", type=int, default=0, help="number of processes that each keep a core busy"
    )
    parser.add_argument("--keep", type=Path, default=Path("results/copies"))
    options = parser.parse_args(arguments)
    cpu_load_processes = start_cpu_load(options.busy)
    try:
        failed = run_copies(options.test, options.copies, options.jobs, options.keep)
    finally:
        for cpu_load_process in cpu_load_processes:
            cpu_load_process.kill()
            cpu_load_process.wait()
    load_average = os.getloadavg()[0]
    print(f"{len(failed)} of {options.copies} failed, load {load_average:.1f}")
    for number in failed:
        print(options.keep / f"copy-{number}" / "output.txt")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
