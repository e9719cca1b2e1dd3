"""Measures how the single-file binary starts, compared with the program run from its sources.

    python -m tools.starts dist/rhubarbbend

Prints the seconds to the first response, the resident memory, the number of processes, and the
size of the file and of what it unpacks.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Final

import attrs

from loadtool._processes import pick_port

RUNS_PER_VARIANT: Final = 5
START_TIMEOUT_S: Final = 30.0


@attrs.define(slots=True, frozen=True)
class StartMeasurement:
    """One start: seconds to the first response, resident memory, number of processes."""

    seconds: float
    resident_mb: float
    processes: int


def _write_settings(folder: Path) -> tuple[Path, int]:
    port = pick_port()
    path = folder / "settings.toml"
    path.write_text(
        '[instance]\nid = "one"\nzone = "a"\nhost = "127.0.0.1"\n'
        f"http_port = {port}\npeer_port = {pick_port()}\noperator_port = {pick_port()}\n"
        '[platform]\naddress = "127.0.0.1:9"\n[secret]\nenv = "START_SECRET"\n'
        f'[log]\nfile = "{folder / "log"}"\n[core]\nbalancer_lag = 0.1\n',
        "utf-8",
    )
    return path, port


def _wait_until_healthy(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{port}/healthz", timeout=1.0).close()
            return
        except OSError:
            time.sleep(0.005)
    raise TimeoutError("the program did not respond to /healthz within the start timeout")


def _read_resident_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    value = next(line for line in lines if line.startswith("VmRSS"))
    return int(value.split()[1]) / 1024


def _count_group_processes(process_group: int) -> int:
    """Return the number of processes in a group: the program and all that it started."""
    count = 0
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                count += os.getpgid(int(entry.name)) == process_group
            except OSError:
                continue
    return count


def measure_start(command: list[str], folder: Path, unpack_folder: Path) -> StartMeasurement:
    """Start the program once, measure it and stop it.

    `folder` is the home directory of the process; the binary unpacks itself into `unpack_folder`.
    Raise `TimeoutError` if the program does not respond.
    """
    settings, port = _write_settings(folder)
    environment = {
        "PATH": f"{Path(sys.base_prefix) / 'bin'}:/usr/bin:/bin",
        "HOME": str(folder),
        "SHIV_ROOT": str(unpack_folder),
        "START_SECRET": "sixteen bytes and more",
    }
    started = time.monotonic()
    with subprocess.Popen(
        [*command, "serve", "--settings", str(settings)], env=environment, start_new_session=True
    ) as process:
        try:
            _wait_until_healthy(port)
            seconds = time.monotonic() - started
            return StartMeasurement(
                seconds, _read_resident_mb(process.pid), _count_group_processes(process.pid)
            )
        finally:
            process.terminate()
            process.wait()


def _print_row(name: str, measurements: list[StartMeasurement]) -> None:
    seconds = sorted(measurement.seconds for measurement in measurements)
    resident_mb = statistics.median(measurement.resident_mb for measurement in measurements)
    processes = max(measurement.processes for measurement in measurements)
    print(
        f"{name:28} {statistics.median(seconds):6.2f} s ({seconds[0]:.2f} to {seconds[-1]:.2f})"
        f"  {resident_mb:5.1f} MB resident  {processes} process"
    )


def main() -> int:
    """Measure first starts, later starts and starts from the environment; print a row for each."""
    parser = argparse.ArgumentParser(prog="tools.starts")
    parser.add_argument("file", type=Path)
    file: Path = parser.parse_args().file.resolve()
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-starts-") as folder_name:
        folder = Path(folder_name)
        command = [str(file)]
        first_starts = [
            measure_start(command, folder, folder / f"root{n}") for n in range(RUNS_PER_VARIANT)
        ]
        later_starts = [
            measure_start(command, folder, folder / "root0") for _ in range(RUNS_PER_VARIANT)
        ]
        module = [sys.executable, "-m", "rhubarbbend"]
        module_starts = [measure_start(module, folder, folder) for _ in range(RUNS_PER_VARIANT)]
        files = [path for path in (folder / "root0").rglob("*") if path.is_file()]
        unpacked_mb = sum(path.stat().st_size for path in files) / 1e6
    print(f"file {file.stat().st_size / 1e6:.1f} MB, unpacked {unpacked_mb:.1f} MB")
    _print_row("one file, first start", first_starts)
    _print_row("one file, later start", later_starts)
    _print_row("from the environment", module_starts)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
