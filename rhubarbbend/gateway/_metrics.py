"""Counters, gauges and latency histograms in the Prometheus text form.

prometheus_client loads the standard library's HTTP and TLS modules and costs 5.2 MB of resident
memory, a sixth of what an instance uses; the text form itself is a few lines.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import Final

from rhubarbbend import codes

PREFIX: Final = "rhubarbbend_"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds of the buckets in seconds, about a factor of two apart, from a quick read to the
# longest time that callers of chats wait.
BUCKETS: Final = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class Histogram:
    """Counts of values by bucket. Invariant: `counts` has one place more than `BUCKETS`."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count a value."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Metrics:
    """All that an instance counts, by the names that `codes` declares."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + by

    def read(self, name: str) -> int:
        """Give a counter's value."""
        return self._counters.get(name, 0)

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a duration to a histogram; `label` is the kind of request."""
        key = (name, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.add(seconds)

    def set_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Give a gauge the function that reads it."""
        self._gauges[name] = read

    def render(self) -> bytes:
        """Render everything; counters that are declared and have not counted stand as 0."""
        lines: list[str] = []
        for name, meaning in codes.list_counters().items():
            shown = _shape_name(name) + "_total"
            lines.append(f"# HELP {shown} {meaning}")
            lines.append(f"# TYPE {shown} counter")
            lines.append(f"{shown} {self._counters.get(name, 0)}")
        for name, read in self._gauges.items():
            shown = _shape_name(name)
            lines.append(f"# TYPE {shown} gauge")
            lines.append(f"{shown} {read():g}")
        for name in sorted({name for name, _ in self._histograms}):
            lines.append(f"# TYPE {_shape_name(name)}_seconds histogram")
            for (other, label), histogram in self._histograms.items():
                if other == name:
                    lines += _render_histogram(_shape_name(name), label, histogram)
        return ("\n".join(lines) + "\n").encode()


def _shape_name(name: str) -> str:
    return PREFIX + name.replace(".", "_")


def _render_histogram(name: str, label: str, histogram: Histogram) -> list[str]:
    lines: list[str] = []
    count = 0
    for bound, value in zip((*BUCKETS, "+Inf"), histogram.counts, strict=True):
        count += value
        lines.append(f'{name}_seconds_bucket{{kind="{label}",le="{bound}"}} {count}')
    lines.append(f'{name}_seconds_sum{{kind="{label}"}} {histogram.total:.6f}')
    lines.append(f'{name}_seconds_count{{kind="{label}"}} {count}')
    return lines
