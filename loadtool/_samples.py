"""Samples of what runs: engines by their own figures, instances by the kernel's."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs
import msgspec

from loadtool._cluster import Cluster, Node
from rhubarbbend.http import HttpFailure

SAMPLE_INTERVAL: Final = 0.2
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command's name: user and system time.
USER_FIELD: Final = 11
SYSTEM_FIELD: Final = 12


class EngineFigures(msgspec.Struct):
    """What an engine says of itself."""

    running: int
    prompt_tokens: int
    cached_tokens: int
    last_request: float


@attrs.define(slots=True, frozen=True)
class EngineSample:
    """The engines at one time, by name; `at` in seconds since the load began."""

    at: float
    engines: dict[str, EngineFigures]


def read_processor_time(pid: int) -> float:
    """Read the processor seconds that a process of this run has used; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND


class EngineSampler:
    """Asks every engine for its figures at an interval."""

    def __init__(
        self, cluster: Cluster, list_engines: Callable[[], list[Node]], now: Callable[[], float]
    ) -> None:
        self.samples: list[EngineSample] = []
        self._cluster = cluster
        self._list_engines = list_engines
        self._now = now

    async def run(self, seconds: float) -> None:
        """Sample until the time is over."""
        while self._now() < seconds:
            started = self._now()
            await self.take()
            await asyncio.sleep(max(0.0, SAMPLE_INTERVAL - (self._now() - started)))

    async def take(self) -> None:
        """Take one sample of all engines at once."""
        nodes = self._list_engines()
        at = self._now()
        found = await asyncio.gather(*(self._read(node) for node in nodes))
        figures = {
            node.id: figure for node, figure in zip(nodes, found, strict=True) if figure is not None
        }
        self.samples.append(EngineSample(at, figures))

    async def _read(self, node: Node) -> EngineFigures | None:
        try:
            answer = await self._cluster.ask_admin(node, "stats")
        except HttpFailure:
            # It has just been stopped by the run itself.
            return None
        return msgspec.convert(answer, EngineFigures)
