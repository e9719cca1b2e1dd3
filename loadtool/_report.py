"""Formats results: one run, two sets of runs side by side, and all policies in Markdown."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from loadtool._results import RunResult
from loadtool._scenario import CHURN, STEADY, ZONE_BACK, ZONE_OUT

BYTES_PER_KILOBYTE: Final = 1000.0
# Index of the first measure that the table of phases does not show.
FIRST_NON_PHASE_MEASURE: Final = 13
# With fewer shared seeds, neither set of runs is reported as better.
MIN_SEEDS: Final = 2


@attrs.define(slots=True, frozen=True)
class Measure:
    """A figure of a run; `better_sign` is 1 if higher values are better and -1 if lower ones."""

    name: str
    unit: str
    better_sign: int
    read: Callable[[RunResult], float]


def _reuse_reader(phase: str) -> Callable[[RunResult], float]:
    return lambda result: result.find_phase(phase).reuse


def _reuse_ratio_reader(phase: str) -> Callable[[RunResult], float]:
    return lambda result: result.find_phase(phase).reuse_ratio


def _count_not_served(result: RunResult) -> float:
    return float(sum(phase.requests - phase.served for phase in result.phases))


MEASURES: Final = (
    Measure("reuse, steady", "", 1, _reuse_reader(STEADY)),
    Measure("reuse / bound, steady", "", 1, _reuse_ratio_reader(STEADY)),
    Measure("reuse / bound, churn", "", 1, _reuse_ratio_reader(CHURN)),
    Measure("reuse / bound, zone out", "", 1, _reuse_ratio_reader(ZONE_OUT)),
    Measure("reuse / bound, zone back", "", 1, _reuse_ratio_reader(ZONE_BACK)),
    Measure("skew, steady, p95", "", -1, lambda r: r.find_phase(STEADY).skew_p95),
    Measure("samples over the bound", "", -1, lambda r: r.find_phase(STEADY).over_share),
    Measure("most over the bound", "req", -1, lambda r: float(r.find_phase(STEADY).over_most)),
    Measure("first byte p50, steady", "ms", -1, lambda r: r.find_phase(STEADY).first_byte.p50),
    Measure("first byte p95, steady", "ms", -1, lambda r: r.find_phase(STEADY).first_byte.p95),
    Measure("first byte p99, steady", "ms", -1, lambda r: r.find_phase(STEADY).first_byte.p99),
    Measure("first byte p95, churn", "ms", -1, lambda r: r.find_phase(CHURN).first_byte.p95),
    Measure("first byte p95, zone out", "ms", -1, lambda r: r.find_phase(ZONE_OUT).first_byte.p95),
    Measure("not served, whole run", "req", -1, _count_not_served),
    Measure("lost by the zone's exit", "req", -1, lambda r: float(r.zone.lost)),
    Measure("served well, worst second", "", 1, lambda r: r.zone.lowest_share),
    Measure("seconds below 99 in 100", "s", -1, lambda r: r.zone.dip_seconds),
    Measure("last new work after exit", "s", -1, lambda r: r.zone.last_new_work),
    Measure(
        "added first token, p50",
        "ms",
        -1,
        lambda r: r.fleet_first.p50 - r.direct_first.p50,
    ),
    Measure(
        "added first token, p99",
        "ms",
        -1,
        lambda r: r.fleet_first.p99 - r.direct_first.p99,
    ),
    Measure("added between tokens, p50", "ms", -1, lambda r: r.fleet_gap.p50 - r.direct_gap.p50),
    Measure("control, idle", "KB/s", -1, lambda r: r.idle.total_bytes / BYTES_PER_KILOBYTE),
    Measure("control, busy", "KB/s", -1, lambda r: r.busy.total_bytes / BYTES_PER_KILOBYTE),
    Measure("core, idle", "%", -1, lambda r: 100 * r.idle.core_share),
    Measure("core, busy, requests too", "%", -1, lambda r: 100 * r.busy.core_share),
)


def _align_columns(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            cell.rjust(width) if i else cell.ljust(width)
            for i, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    ]


def format_run(result: RunResult) -> str:
    """Return one run as text: a table of its phases, then its other figures."""
    rows = [
        ["phase", "req", "served", "reuse", "of bound", "skew p95", "max", "over", "p50", "p95"]
    ]
    for phase in result.phases:
        rows.append(
            [
                phase.name,
                str(phase.requests),
                f"{phase.served_share:.4f}",
                f"{phase.reuse:.3f}",
                f"{phase.reuse_ratio:.3f}",
                f"{phase.skew_p95:.2f}",
                f"{phase.skew_max:.2f}",
                f"{phase.over_share:.3f}/{phase.over_most}",
                f"{phase.first_byte.p50:.0f} ms",
                f"{phase.first_byte.p95:.0f} ms",
            ]
        )
    lines = [
        f"{result.deployment}, {result.policy}, seed {result.seed}: {result.requests} requests in "
        f"{result.seconds:.0f} s; one second stands for {result.time_scale:.0f} s of chats' pauses",
        *_align_columns(rows),
        f"wrong answers {result.wrong}, commands run twice {result.run_twice}",
        *(
            f"{measure.name}: {measure.read(result):.3f} {measure.unit}".rstrip()
            for measure in MEASURES[FIRST_NON_PHASE_MEASURE:]
        ),
    ]
    for kind, rate in result.busy.bytes_per_second.items():
        idle = result.idle.bytes_per_second.get(kind, 0.0)
        lines.append(f"control {kind}: {idle / 1e3:.2f} KB/s idle, {rate / 1e3:.2f} busy")
    lines.extend(f"not served, {why}: {count}" for why, count in result.failures.items())
    shown = ("refused.", "retry.", "routed.", "tickets", "slots.", "resumes")
    lines.extend(
        f"counted {name}: {count}"
        for name, count in result.counters.items()
        if name.startswith(shown)
    )
    return "\n".join(lines)


def _format_range(values: Sequence[float]) -> str:
    mean = _format_number(statistics.fmean(values))
    if len(values) == 1:
        return mean
    return f"{mean} ({_format_number(min(values))} to {_format_number(max(values))})"


def _format_number(value: float) -> str:
    """Format a number with about three digits; more would exceed the precision of the runs."""
    if abs(value) >= 100 or value == int(value):
        return f"{value:.0f}"
    return f"{value:.1f}" if abs(value) >= 10 else f"{value:.3f}"


def format_comparison(first: Sequence[RunResult], second: Sequence[RunResult]) -> str:
    """Return a table of two sets of runs, A and B, with the ratio B/A and its range.

    The ratio is computed for each shared seed; the table shows its mean, minimum and maximum.
    """
    rows = [["measure", "A", "B", "B/A", "spread", ""]]
    for measure in MEASURES:
        a = {result.seed: measure.read(result) for result in first}
        b = {result.seed: measure.read(result) for result in second}
        ratios = [b[seed] / a[seed] for seed in sorted(a.keys() & b.keys()) if a[seed]]
        mean = f"{statistics.fmean(ratios):.3f}" if ratios else "-"
        spread = f"{min(ratios):.3f}-{max(ratios):.3f}" if ratios else "-"
        rows.append(
            [
                f"{measure.name} {measure.unit}".rstrip(),
                _format_range(list(a.values())),
                _format_range(list(b.values())),
                mean,
                spread,
                _compare_seeds(measure, ratios),
            ]
        )
    return "\n".join(_align_columns(rows))


def _compare_seeds(measure: Measure, ratios: Sequence[float]) -> str:
    """Return which set is better if at least MIN_SEEDS seeds are shared and all agree."""
    if len(ratios) < MIN_SEEDS:
        return ""
    if all((ratio - 1) * measure.better_sign > 0 for ratio in ratios):
        return "B better"
    if all((ratio - 1) * measure.better_sign < 0 for ratio in ratios):
        return "A better"
    return ""


def format_markdown(results: Sequence[RunResult]) -> str:
    """Return Markdown tables of each deployment: mean and range over seeds, by policy."""
    blocks: list[str] = []
    for deployment in sorted({result.deployment for result in results}):
        chosen = [result for result in results if result.deployment == deployment]
        policies = sorted({result.policy for result in chosen})
        seeds = sorted({result.seed for result in chosen})
        blocks.append(f"### {deployment}\n")
        blocks.append(f"Mean and range over seeds {', '.join(map(str, seeds))}.\n")
        blocks.append("| measure | " + " | ".join(policies) + " |")
        blocks.append("| --- |" + " --- |" * len(policies))
        for measure in MEASURES:
            cells = [
                _format_range(
                    [measure.read(result) for result in chosen if result.policy == policy]
                )
                for policy in policies
            ]
            blocks.append(
                f"| {measure.name} {measure.unit}".rstrip() + " | " + " | ".join(cells) + " |"
            )
        blocks.append("")
    return "\n".join(blocks)
