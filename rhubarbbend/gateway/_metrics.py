"""Keeps counters, gauges and latency histograms, and renders them in the Prometheus text format.

prometheus_client is not used: it loads the standard library's HTTP and TLS modules and takes 5.2 MB
of resident memory, a sixth of what an instance uses, while the text format takes only a few lines
of code.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from typing import Final

from rhubarbbend import codes

PREFIX: Final = "rhubarbbend_"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds of the buckets, about a factor of two apart, from a fast read to the longest time
# that callers of chats wait.
BUCKET_BOUNDS_S: Final = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class Histogram:
    """Counts of durations by bucket, and their sum in seconds.

    Invariant: `counts` has one element more than `BUCKET_BOUNDS_S`, for durations above the last
    bound.
    """

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds


# The values of a gauge, each with its labels by name.
LabeledValues = list[tuple[dict[str, str], float]]


class Metrics:
    """All metrics of an instance. The names of counters are declared in `rhubarbbend.codes`."""

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._labeled_gauges: dict[str, Callable[[], LabeledValues]] = {}

    def increment_counter(self, name: str, by: int = 1) -> None:
        """Add `by` to a counter."""
        self._counters[name] = self._counters.get(name, 0) + by

    def read_counter(self, name: str) -> int:
        """Return the value of a counter."""
        return self._counters.get(name, 0)

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a duration to a histogram; `label` is the kind of request."""
        key = (name, label)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.add(seconds)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register the function that returns the current value of a gauge."""
        self._gauges[name] = read

    def register_labeled_gauge(self, name: str, read: Callable[[], LabeledValues]) -> None:
        """Register the function that returns the current values of a gauge with labels."""
        self._labeled_gauges[name] = read

    def render(self) -> bytes:
        """Return all metrics as text; declared counters that were never incremented appear as 0."""
        lines: list[str] = []
        for name, description in codes.list_counters().items():
            exported_name = _make_exported_name(name) + "_total"
            lines.append(f"# HELP {exported_name} {description}")
            lines.append(f"# TYPE {exported_name} counter")
            lines.append(f"{exported_name} {self._counters.get(name, 0)}")
        for name, read in self._gauges.items():
            exported_name = _make_exported_name(name)
            lines.append(f"# TYPE {exported_name} gauge")
            lines.append(f"{exported_name} {read():g}")
        for name, read_values in self._labeled_gauges.items():
            exported_name = _make_exported_name(name)
            lines.append(f"# TYPE {exported_name} gauge")
            for labels, value in read_values():
                label_text = ",".join(f'{key}="{label}"' for key, label in labels.items())
                lines.append(f"{exported_name}{{{label_text}}} {value:g}")
        for name in sorted({name for name, _ in self._histograms}):
            lines.append(f"# TYPE {_make_exported_name(name)}_seconds histogram")
            for (histogram_name, label), histogram in self._histograms.items():
                if histogram_name == name:
                    lines += _render_histogram(_make_exported_name(name), label, histogram)
        return ("\n".join(lines) + "\n").encode()


def _make_exported_name(name: str) -> str:
    return PREFIX + name.replace(".", "_")


def _render_histogram(name: str, label: str, histogram: Histogram) -> list[str]:
    lines: list[str] = []
    cumulative_count = 0
    for bound, bucket_count in zip((*BUCKET_BOUNDS_S, "+Inf"), histogram.counts, strict=True):
        cumulative_count += bucket_count
        lines.append(f'{name}_seconds_bucket{{kind="{label}",le="{bound}"}} {cumulative_count}')
    lines.append(f'{name}_seconds_sum{{kind="{label}"}} {histogram.total:.6f}')
    lines.append(f'{name}_seconds_count{{kind="{label}"}} {cumulative_count}')
    return lines
