"""Measures a quantity at several sizes and fits a straight line through the results."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from typing import Final

import msgspec
import numpy as np

MICROSECONDS_PER_S: Final = 1e6
ROUNDS: Final = 5


class Point(msgspec.Struct, frozen=True):
    """Measurements at one size: the median and the range over the rounds."""

    size: float
    median: float
    least: float
    most: float


class Series(msgspec.Struct, frozen=True):
    """A quantity over sizes with the fitted line `base + slope * size`.

    `error` is the largest distance of a median from the line.
    """

    name: str
    unit: str
    per: str
    points: list[Point]
    base: float
    slope: float
    error: float


def fit_line(name: str, unit: str, per: str, samples: dict[float, list[float]]) -> Series:
    """Fit a line through the medians of the samples at each size and return the series."""
    points = [
        Point(size, statistics.median(values), min(values), max(values))
        for size, values in samples.items()
    ]
    sizes = [point.size for point in points]
    medians = [point.median for point in points]
    slope, base = np.polyfit(sizes, medians, 1)
    residuals = [abs(base + slope * s - m) for s, m in zip(sizes, medians, strict=True)]
    return Series(name, unit, per, points, float(base), float(slope), float(max(residuals)))


def sample_sizes(
    sizes: list[int], prepare: Callable[[int], Callable[[], float]], rounds: int = ROUNDS
) -> dict[float, list[float]]:
    """Return the measurements of all rounds by size.

    `prepare` is called once for each size; the function that it returns measures once per round.
    """
    samples: dict[float, list[float]] = {}
    for size in sizes:
        measure = prepare(size)
        samples[size] = [measure() for _ in range(rounds)]
    return samples
