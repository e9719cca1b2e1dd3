"""Starts and ends the processes of a run.

No process outlives the one that started it.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import random
import signal
import socket
import sys
from collections import deque
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 10.0
# Ports that are picked, the last excluded. They are below the range from which the kernel assigns
# local ports to outgoing connections.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_000
PR_SET_PDEATHSIG: Final = 1
# Claims that a process holds at the same time: more than the largest fleet of a test has ports.
MAX_PORT_CLAIMS: Final = 256

_libc = ctypes.CDLL(None)
_picked_ports: set[int] = set()
_port_claims: deque[socket.socket] = deque()


def _set_parent_death_signal() -> None:
    """Have the kernel kill this child process when its parent ends for any reason."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _claim_port(port: int) -> bool:
    """Claim a port, so that no other process of this tool picks it; return whether it was free.

    A port that was picked still looks free until the process that it is for listens on it, a second
    later or more. The claim is an abstract Unix socket named after the port.
    """
    claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        claim.bind(f"\0rhubarbbend-port-{port}")
    except OSError:
        claim.close()
        return False
    _port_claims.append(claim)
    if len(_port_claims) > MAX_PORT_CLAIMS:
        _port_claims.popleft().close()
    return True


def pick_port() -> int:
    """Return a port that is free and that no process of this tool has picked recently."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port in _picked_ports or not _claim_port(port):
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _picked_ports.add(port)
        return port


class ManagedProcess:
    """A process of the run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.frozen = False

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended, as far as the event loop knows."""
        return self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process still runs.

        `Process.send_signal` of the library is not used: it first collects the exit status of a
        process that has ended, and whoever waits for the process then gets the status 255.
        """
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot notice."""
        self.frozen = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        self.frozen = False
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self, timeout: float = STOP_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM and return its exit status.

        It is killed if it has not ended after `timeout` seconds.
        """
        self.resume()
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL


class ProcessGroup:
    """The processes of a run; `close` ends those that still run."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[ManagedProcess] = []

    async def start(
        self, name: str, arguments: list[str], environment: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start `python -m` with the arguments; its standard error goes to a file in the folder."""
        return await self._run(name, ["-m", *arguments], environment, asyncio.subprocess.PIPE)

    async def start_script(
        self, name: str, script: Path, environment: dict[str, str]
    ) -> ManagedProcess:
        """Start a script; its standard output and error go to files in the folder.

        It runs without assertions, as in a deployment (`deploy/system.toml`).
        """
        with (self.folder / f"{name}.log").open("ab") as output:
            return await self._run(name, ["-OO", str(script)], environment, output.fileno())

    async def _run(
        self, name: str, arguments: list[str], environment: dict[str, str] | None, output: int
    ) -> ManagedProcess:
        with (self.folder / f"{name}.err").open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                preexec_fn=_set_parent_death_signal,
            )
        managed = ManagedProcess(name, process)
        self.processes.append(managed)
        return managed

    async def start_stand_in(self, name: str, arguments: list[str]) -> tuple[ManagedProcess, int]:
        """Start a stand-in and wait until it listens; return the process and its port.

        Raises:
            RuntimeError: The stand-in did not report that it is ready.
        """
        managed = await self.start(name, ["standins", *arguments])
        assert managed.process.stdout is not None
        line = await asyncio.wait_for(managed.process.stdout.readline(), READY_TIMEOUT_S)
        words = line.decode().split()
        if len(words) != 3 or words[0] != "ready":
            raise RuntimeError(
                f"{name} did not report that it is ready: see {self.folder / name}.err"
            )
        return managed, int(words[2])

    async def close(self) -> None:
        """Kill each process that still runs and wait until all have ended."""
        for managed in self.processes:
            if managed.running:
                managed.send_signal(signal.SIGKILL)
        await asyncio.gather(*(managed.process.wait() for managed in self.processes))
