"""Samples running processes: engines by their own statistics, instances by the kernel's."""

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

SAMPLE_INTERVAL_S: Final = 0.2
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
# Positions of the user and system time in /proc/PID/stat, counted after the command's name.
USER_TIME_FIELD: Final = 11
SYSTEM_TIME_FIELD: Final = 12


class EngineStats(msgspec.Struct):
    """The statistics that an engine reports on its admin port.

    Tokens are counted since its start, `last_request` is the time of its last new request.
    """

    running: int
    prompt_tokens: int
    cached_tokens: int
    last_request: float


@attrs.define(slots=True, frozen=True)
class EngineSample:
    """The statistics of all engines by name, `at` seconds after the load began."""

    at: float
    engines: dict[str, EngineStats]


def read_processor_time(pid: int) -> float:
    """Return the processor seconds that a process has used; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])) / TICKS_PER_SECOND


class EngineSampler:
    """Reads the statistics of every engine at an interval."""

    def __init__(
        self, cluster: Cluster, list_engines: Callable[[], list[Node]], now: Callable[[], float]
    ) -> None:
        self.samples: list[EngineSample] = []
        self._cluster = cluster
        self._list_engines = list_engines
        self._now = now

    async def run(self, seconds: float) -> None:
        """Record samples until so many seconds have passed since the load began."""
        while self._now() < seconds:
            started = self._now()
            await self.record_sample()
            await asyncio.sleep(max(0.0, SAMPLE_INTERVAL_S - (self._now() - started)))

    async def record_sample(self) -> None:
        """Record one sample of all engines, which are read concurrently."""
        nodes = self._list_engines()
        at = self._now()
        found = await asyncio.gather(*(self._read_stats(node) for node in nodes))
        stats = {
            node.id: engine_stats
            for node, engine_stats in zip(nodes, found, strict=True)
            if engine_stats is not None
        }
        self.samples.append(EngineSample(at, stats))

    async def _read_stats(self, node: Node) -> EngineStats | None:
        try:
            answer = await self._cluster.call_admin(node, "stats")
        except HttpFailure:
            # The run itself has just stopped this engine.
            return None
        return msgspec.convert(answer, EngineStats)
