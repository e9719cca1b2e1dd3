"""Histograms of times, by the HdrHistogram library."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from hdrh.histogram import HdrHistogram

from loadtool._results import Quantiles

LOWEST_US: Final = 1
HIGHEST_US: Final = 120_000_000
DIGITS: Final = 3


class Histogram:
    """Times in seconds, kept to three digits."""

    def __init__(self, seconds: Iterable[float] = ()) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        for value in seconds:
            self.add(value)

    def add(self, seconds: float) -> None:
        """Count one time."""
        self._histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def describe(self) -> Quantiles:
        """Give its quantiles in milliseconds."""
        found = self._histogram
        if not found.total_count:
            return Quantiles()
        p50, p95, p99 = (found.get_value_at_percentile(p) / 1e3 for p in (50, 95, 99))
        return Quantiles(int(found.total_count), p50, p95, p99)
