"""Histograms of durations, kept with the HdrHistogram library."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from hdrh.histogram import HdrHistogram

from loadtool._results import Quantiles

MIN_US: Final = 1
MAX_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 3


class Histogram:
    """A histogram of durations in seconds, kept to SIGNIFICANT_DIGITS digits."""

    def __init__(self, seconds: Iterable[float] = ()) -> None:
        self._histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        for value in seconds:
            self.record(value)

    def record(self, seconds: float) -> None:
        """Record one duration in seconds."""
        self._histogram.record_value(max(MIN_US, int(seconds * 1e6)))

    def compute_quantiles(self) -> Quantiles:
        """Return the quantiles in milliseconds."""
        histogram = self._histogram
        if not histogram.total_count:
            return Quantiles()
        p50, p95, p99 = (histogram.get_value_at_percentile(p) / 1e3 for p in (50, 95, 99))
        return Quantiles(int(histogram.total_count), p50, p95, p99)
