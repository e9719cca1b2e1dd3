"""Measures what instances spend on control over a window of time."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final

from loadtool._cluster import Node
from loadtool._counters import CounterSink
from loadtool._results import ControlResult
from loadtool._samples import read_processor_time

CONTROL_PREFIX: Final = "control."
# Instances send their counters once a second.
SEND_INTERVAL: Final = 1.0


class ControlWindow:
    """The counters and processor times of instances since the window was opened."""

    def __init__(self, sink: CounterSink, instances: Sequence[Node]) -> None:
        self._sink = sink
        self._instances = instances
        self._opened = time.monotonic()
        self._counters = self._read_counters()
        self._times = self._read_times()

    def close(self) -> ControlResult:
        """Give the mean cost of an instance over the window, and the highest share of a core."""
        seconds = time.monotonic() - self._opened
        count = len(self._instances)
        spent = self._read_counters()
        spent.subtract(self._counters)
        shares = [
            (after - before) / seconds
            for before, after in zip(self._times, self._read_times(), strict=True)
        ]
        rates = {
            name.removeprefix(CONTROL_PREFIX): total / seconds / count
            for name, total in spent.items()
        }
        return ControlResult(rates, sum(shares) / count, max(shares))

    def _read_counters(self) -> Counter[str]:
        total = self._sink.sum_all()
        return Counter({k: v for k, v in total.items() if k.startswith(CONTROL_PREFIX)})

    def _read_times(self) -> list[float]:
        return [read_processor_time(node.process.pid) for node in self._instances]


async def measure_idle(
    sink: CounterSink, instances: Sequence[Node], seconds: float
) -> ControlResult:
    """Measure a fleet that has no callers: all that it does is control."""
    await asyncio.sleep(SEND_INTERVAL)
    window = ControlWindow(sink, instances)
    await asyncio.sleep(seconds)
    return window.close()
