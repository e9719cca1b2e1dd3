"""Measures the control traffic and the processor use of instances over a time window."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from typing import Final

from loadtool._cluster import Node
from loadtool._counter_sink import CounterSink
from loadtool._results import ControlResult
from loadtool._samples import read_processor_time

CONTROL_PREFIX: Final = "control."
# Instances send their counters once a second.
COUNTER_INTERVAL_S: Final = 1.0


class ControlWindow:
    """Measures control traffic and processor time of instances from its creation to `close`."""

    def __init__(self, sink: CounterSink, instances: Sequence[Node]) -> None:
        self._sink = sink
        self._instances = instances
        self._opened = time.monotonic()
        self._counters = self._read_counters()
        self._processor_times = self._read_processor_times()

    def close(self) -> ControlResult:
        """Return the mean cost of an instance, and the highest share of a core that one used.

        Traffic is in bytes per second by kind.
        """
        seconds = time.monotonic() - self._opened
        count = len(self._instances)
        counted = self._read_counters()
        counted.subtract(self._counters)
        shares = [
            (after - before) / seconds
            for before, after in zip(
                self._processor_times, self._read_processor_times(), strict=True
            )
        ]
        rates = {
            name.removeprefix(CONTROL_PREFIX): total / seconds / count
            for name, total in counted.items()
        }
        return ControlResult(rates, sum(shares) / count, max(shares))

    def _read_counters(self) -> Counter[str]:
        total = self._sink.sum_over_instances()
        return Counter({k: v for k, v in total.items() if k.startswith(CONTROL_PREFIX)})

    def _read_processor_times(self) -> list[float]:
        return [read_processor_time(node.process.pid) for node in self._instances]


async def measure_idle_control(
    sink: CounterSink, instances: Sequence[Node], seconds: float
) -> ControlResult:
    """Measure a fleet without callers for some seconds: all its work is control."""
    await asyncio.sleep(COUNTER_INTERVAL_S)
    window = ControlWindow(sink, instances)
    await asyncio.sleep(seconds)
    return window.close()
