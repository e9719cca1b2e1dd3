"""Plots figures of runs over time, one PNG file for each figure."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Final

import matplotlib
from matplotlib import pyplot

from loadtool._results import RunResult, Series

matplotlib.use("Agg")

PLOT_LABELS: Final = {
    "reuse": "share of prompt tokens from the prefix cache",
    "skew": "most loaded engine over the mean, highest of each second",
    "served_share": "share of requests served well",
    "first_byte_ms": "median time to the first byte, ms",
}


def draw_plots(results: Sequence[RunResult], folder: Path, stem: str) -> list[Path]:
    """Draw a plot of each figure with one line per run; return the paths of the files.

    Phases are marked as in the first run.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return [
        _draw_plot(results, name, label, folder / f"{stem}-{name}.png")
        for name, label in PLOT_LABELS.items()
    ]


def _draw_plot(results: Sequence[RunResult], name: str, label: str, path: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=(8, 3.5), layout="constrained")
    for result in results:
        values = _read_series(result.series, name)
        axes.plot(result.series.at, values, label=f"{result.policy}, seed {result.seed}")
    begin = 0.0
    for phase in results[0].phases:
        axes.axvline(begin, color="0.7", linewidth=0.8)
        axes.text(begin, 1.01, phase.name, transform=axes.get_xaxis_transform(), fontsize=8)
        begin += phase.seconds
    axes.set_xlabel("seconds since the load began")
    axes.set_ylabel(label, fontsize=8)
    axes.legend(fontsize=7)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def _read_series(series: Series, name: str) -> list[float]:
    values: list[float] = getattr(series, name)
    return values
