"""`make slopes`: measures how the costs of an instance grow with the size of the deployment.

A line is fitted through the measurements of each quantity; its slope is the cost of one more
target, account, peer, request or chunk.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Final

import msgspec

from loadtool._slopes_core import (
    measure_decisions,
    measure_full_size,
    measure_memory,
    measure_message_bytes,
    measure_messages,
)
from loadtool._slopes_fit import Series
from loadtool._slopes_wire import measure_wire

OUTPUT: Final = Path("results") / "slopes.json"


class Slopes(msgspec.Struct):
    """The results of one run, as they are written to JSON."""

    seconds: float
    series: list[Series]
    full_size_us: dict[str, float]
    message_bytes: dict[str, int]


def _format(value: float) -> str:
    return f"{value:,.3g}" if abs(value) < 1_000 else f"{value:,.0f}"


def _print_series(series: Series) -> None:
    print(f"{series.name}")
    for point in series.points:
        spread = f"({_format(point.least)} to {_format(point.most)})"
        print(f"  {point.size:>9,.0f}  {_format(point.median):>10} {series.unit}  {spread}")
    print(
        f"  = {_format(series.base)} + {_format(series.slope)} {series.unit} a {series.per}, "
        f"off by {_format(series.error)} at most"
    )


def measure() -> Slopes:
    """Run all measurements and return their results."""
    started = time.monotonic()
    series = [*measure_messages(), *measure_decisions(), *measure_memory()]
    series.extend(asyncio.run(measure_wire()))
    full = measure_full_size()
    return Slopes(time.monotonic() - started, series, full, measure_message_bytes())


def main(output: Path = OUTPUT) -> int:
    """Run all measurements, print them as a table and write them as JSON; return exit status 0."""
    slopes = measure()
    for series in slopes.series:
        _print_series(series)
    print("with 35,000 accounts, 950 targets, 400 instances, 25 services")
    for name, spent in slopes.full_size_us.items():
        print(f"  {name:32} {_format(spent):>10} us")
    for name, size in slopes.message_bytes.items():
        print(f"  {name:32} {size:>10} B")
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=2))
    print(f"slopes: {slopes.seconds:.0f} s, written to {output}")
    return 0
