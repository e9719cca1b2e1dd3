"""Measures the one file: seconds to the first answer, resident memory, processes, what it unpacks.

`python -m tools.starts dist/rhubarbbend`, against the same program run from the environment.
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

RUNS: Final = 5
START_TIMEOUT: Final = 30.0


@attrs.define(slots=True, frozen=True)
class Start:
    """One start: seconds to the first answer, resident megabytes, processes and threads."""

    seconds: float
    resident: float
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


def _wait(port: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{port}/healthz", timeout=1.0).close()
            return
        except OSError:
            time.sleep(0.005)
    raise TimeoutError("the program does not answer")


def _read_resident(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    value = next(line for line in lines if line.startswith("VmRSS"))
    return int(value.split()[1]) / 1024


def _count_group(group: int) -> int:
    """Count the processes of a process group: the program and all that it started."""
    found = 0
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                found += os.getpgid(int(entry.name)) == group
            except OSError:
                continue
    return found


def measure_start(command: list[str], folder: Path, unpacked: Path) -> Start:
    """Start the program once."""
    settings, port = _write_settings(folder)
    environment = {
        "PATH": f"{Path(sys.base_prefix) / 'bin'}:/usr/bin:/bin",
        "HOME": str(folder),
        "SHIV_ROOT": str(unpacked),
        "START_SECRET": "sixteen bytes and more",
    }
    started = time.monotonic()
    with subprocess.Popen(
        [*command, "serve", "--settings", str(settings)], env=environment, start_new_session=True
    ) as process:
        try:
            _wait(port)
            seconds = time.monotonic() - started
            return Start(seconds, _read_resident(process.pid), _count_group(process.pid))
        finally:
            process.terminate()
            process.wait()


def _print_row(name: str, starts: list[Start]) -> None:
    seconds = sorted(start.seconds for start in starts)
    resident = statistics.median(start.resident for start in starts)
    processes = max(start.processes for start in starts)
    print(
        f"{name:28} {statistics.median(seconds):6.2f} s ({seconds[0]:.2f} to {seconds[-1]:.2f})"
        f"  {resident:5.1f} MB resident  {processes} process"
    )


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="tools.starts")
    parser.add_argument("file", type=Path)
    file: Path = parser.parse_args().file.resolve()
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-starts-") as name:
        folder = Path(name)
        command = [str(file)]
        first = [measure_start(command, folder, folder / f"root{n}") for n in range(RUNS)]
        later = [measure_start(command, folder, folder / "root0") for _ in range(RUNS)]
        module = [sys.executable, "-m", "rhubarbbend"]
        plain = [measure_start(module, folder, folder) for _ in range(RUNS)]
        files = [path for path in (folder / "root0").rglob("*") if path.is_file()]
        unpacked = sum(path.stat().st_size for path in files) / 1e6
    print(f"file {file.stat().st_size / 1e6:.1f} MB, unpacked {unpacked:.1f} MB")
    _print_row("one file, first start", first)
    _print_row("one file, later start", later)
    _print_row("from the environment", plain)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
