"""Series of measurements at several sizes and the lines through them."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from typing import Final

import msgspec
import numpy as np

MICROSECONDS: Final = 1e6
ROUNDS: Final = 5


class Point(msgspec.Struct, frozen=True):
    """Measurements at one size: the median and the range over the rounds."""

    size: float
    median: float
    least: float
    most: float


class Series(msgspec.Struct, frozen=True):
    """One quantity over sizes: `base + slope * size`; `error` is the largest miss of the line."""

    name: str
    unit: str
    per: str
    points: list[Point]
    base: float
    slope: float
    error: float


def fit(name: str, unit: str, per: str, samples: dict[float, list[float]]) -> Series:
    """Fit a line through the medians of the samples at each size."""
    points = [
        Point(size, statistics.median(values), min(values), max(values))
        for size, values in samples.items()
    ]
    sizes = [point.size for point in points]
    medians = [point.median for point in points]
    slope, base = np.polyfit(sizes, medians, 1)
    misses = [abs(base + slope * s - m) for s, m in zip(sizes, medians, strict=True)]
    return Series(name, unit, per, points, float(base), float(slope), float(max(misses)))


def sample(
    sizes: list[int], prepare: Callable[[int], Callable[[], float]], rounds: int = ROUNDS
) -> dict[float, list[float]]:
    """Measure at each size: `prepare` sets up once, its result measures once a round."""
    samples: dict[float, list[float]] = {}
    for size in sizes:
        measure = prepare(size)
        samples[size] = [measure() for _ in range(rounds)]
    return samples
