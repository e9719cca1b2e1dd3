"""Runs the bench for days of a deployment with several seeds, and summarises the results.

    python -m tools.plays play --bench PATH --site FILE --seeds 1-8 --why "..." --out results.json
    python -m tools.plays show results.json
    python -m tools.plays compare before.json after.json

A day is one of the scenarios that the site file describes. Results are shown as means with their
spread: the same day with another seed differs by more than the effect of most changes, so a
single run says little.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import math
import statistics
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Final

import attrs

# Half of the processors: with more concurrent runs the bench aborts days, as the machine is too
# busy.
DEFAULT_JOBS: Final = 6
QUIET_SLOT: Final = "quiet"
# The parts of a day's score ("worth"), as the bench's report names them.
SCORE_PARTS: Final = ("whole day", "worst windows", "worst class", "worst zone")
# Two-sided 95% quantile of the normal distribution.
Z_95: Final = 1.96


@attrs.define(slots=True, frozen=True)
class DayResult:
    """The result of one day with one seed.

    `worth` is the bench's score, `prices` maps the name of each deduction from it to its size;
    `served`, `refused` and `failed` are shares of requests, `late` is a number of requests;
    `rules` are the rules that were broken, `fault` is the fault that the bench reports, or empty.
    """

    day: str
    seed: int
    worth: float
    served: float
    refused: float
    failed: float
    parts: dict[str, float]
    prices: dict[str, float]
    rules: list[str]
    late: int
    fault: str


def parse_report(day: str, seed: int, report: dict[str, Any]) -> DayResult:
    """Return the result contained in the bench's report of one day."""
    return DayResult(
        day=day,
        seed=seed,
        worth=report["G"],
        served=report["served"],
        refused=report["refused"],
        failed=report["failed"],
        parts={name: value for name, _, value in report["parts"]},
        prices={name: price for name, _, price in report["prices"]},
        rules=sorted(report["breaks"]),
        late=report["all"]["late"],
        fault=report["fault"] or "",
    )


def list_days(site: Path, include_quiet: bool) -> list[str]:
    """Return the names of the days in a site file, with or without the quiet ones."""
    rows = tomllib.loads(site.read_text("utf-8"))["day"]
    return [row["name"] for row in rows if include_quiet or row["slot"] != QUIET_SLOT]


def parse_seeds(text: str) -> list[int]:
    """Parse a seed (`4`) or an inclusive range of seeds (`1-8`)."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


class BenchRunner:
    """Runs the bench in a checkout, in one process for each day and seed."""

    def __init__(
        self,
        bench: Path,
        site: Path,
        tree: Path,
        reason: str,
        reports_folder: Path | None = None,
        small: bool = False,
    ) -> None:
        self._bench = bench
        self._site = site
        self._tree = tree
        self._reason = reason
        # Folder in which the bench's full reports are kept; None: they are deleted.
        self._reports_folder = reports_folder
        # Whether to run the small variants of a large site's days.
        self._is_small = small

    def run_day(self, day: str, seed: int) -> DayResult:
        """Run one day with one seed; raise `RuntimeError` if the bench writes no report."""
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = [str(self._bench), "run", str(self._site), day, "--seed", str(seed)]
            command += ["--report", str(report), "--why", f"{self._reason} (seed {seed})"]
            command += ["--small"] if self._is_small else []
            process = subprocess.run(
                command, cwd=self._tree, capture_output=True, text=True, check=False
            )
            if not report.exists():
                raise RuntimeError(
                    f"{day} seed {seed}: {process.stdout[-600:]}{process.stderr[-300:]}"
                )
            text = report.read_text("utf-8")
            if self._reports_folder is not None:
                (self._reports_folder / f"{day}-{seed}.json").write_text(text, "utf-8")
                (self._reports_folder / f"{day}-{seed}.txt").write_text(process.stdout, "utf-8")
            return parse_report(day, seed, json.loads(text))

    def run_all(self, days: list[str], seeds: list[int], jobs: int) -> list[DayResult]:
        """Run every day with every seed, `jobs` at a time."""
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            futures = [pool.submit(self.run_day, day, seed) for day in days for seed in seeds]
            return [future.result() for future in futures]


def _format_summary(values: Iterable[float]) -> str:
    """Format the mean, its standard error and the range."""
    samples = list(values)
    standard_error = (
        statistics.stdev(samples) / math.sqrt(len(samples)) if len(samples) > 1 else 0.0
    )
    low, high = min(samples), max(samples)
    return f"{statistics.mean(samples):.4f} ±{standard_error:.4f} ({low:.3f} to {high:.3f})"


MEASURES: Final[dict[str, Callable[[DayResult], float]]] = {
    "worth": lambda result: result.worth,
    "served": lambda result: result.served,
    "refused": lambda result: result.refused,
    "failed": lambda result: result.failed,
    "late requests": lambda result: float(result.late),
}


def _get_price(result: DayResult, name: str) -> float:
    return result.prices.get(name, 0.0)


def format_results(results: list[DayResult]) -> str:
    """Format the statistics of a set of results as text."""
    lines = [f"{len(results)} runs"]
    lines += [f"{name:24} {_format_summary(map(read, results))}" for name, read in MEASURES.items()]
    for name in SCORE_PARTS:
        lines.append(
            f"{name:24} {_format_summary(result.parts.get(name, 1.0) for result in results)}"
        )
    for day in sorted({result.day for result in results}):
        worth = _format_summary(result.worth for result in results if result.day == day)
        lines.append(f"worth of {day:15} {worth}")
    names = sorted({name for result in results for name in result.prices})
    means = {
        name: statistics.mean(_get_price(result, name) for result in results) for name in names
    }
    for name, mean in sorted(means.items(), key=lambda row: -row[1]):
        if mean >= 0.0005:
            lines.append(f"price {mean:.4f} {name}")
    for result in results:
        if result.rules or result.fault:
            lines.append(f"BROKEN {result.day} seed {result.seed}: {result.rules} {result.fault}")
    return "\n".join(lines)


def format_comparison(before: list[DayResult], after: list[DayResult]) -> str:
    """Format the mean differences between results of the same day and seed.

    Each has its 95% confidence interval; a star marks those whose interval excludes zero.
    """
    before_by_key = {(result.day, result.seed): result for result in before}
    pairs = [
        (before_by_key[key], result)
        for result in after
        if (key := (result.day, result.seed)) in before_by_key
    ]
    lines = [f"{len(pairs)} pairs"]
    measures = dict(MEASURES)
    for part in SCORE_PARTS:
        measures[part] = lambda result, part=part: result.parts.get(part, 1.0)  # type: ignore[misc]
    for price in sorted({name for _, result in pairs for name in result.prices}):
        measures[f"price: {price}"] = lambda result, price=price: _get_price(result, price)  # type: ignore[misc]
    for name, read in measures.items():
        differences = [read(b) - read(a) for a, b in pairs]
        mean = statistics.mean(differences)
        deviation = statistics.stdev(differences) if len(differences) > 1 else 0.0
        margin = Z_95 * deviation / math.sqrt(len(differences))
        if name.startswith("price") and abs(mean) < 0.0005:
            continue
        sign = "" if abs(mean) <= margin else "  *"
        lines.append(f"{name:40} {mean:+.4f} ±{margin:.4f}{sign}")
    broken = [result for _, result in pairs if result.rules or result.fault]
    lines += [f"BROKEN {p.day} seed {p.seed}: {p.rules} {p.fault}" for p in broken]
    return "\n".join(lines)


def load_results(path: Path) -> list[DayResult]:
    """Read the results that `save_results` wrote."""
    return [DayResult(**row) for row in json.loads(path.read_text("utf-8"))]


def save_results(results: list[DayResult], path: Path) -> None:
    """Write results as JSON."""
    path.write_text(json.dumps([attrs.asdict(result) for result in results], indent=1), "utf-8")


def _parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tools.plays", description=__doc__)
    subparsers = parser.add_subparsers(dest="verb", required=True)
    run_parser = subparsers.add_parser("play")
    run_parser.add_argument("--bench", type=Path, required=True)
    run_parser.add_argument("--site", type=Path, required=True)
    run_parser.add_argument("--tree", type=Path, default=Path.cwd(), help="the checkout to run")
    run_parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-4"))
    run_parser.add_argument(
        "--days", default="", help="comma-separated names; default: all but quiet days"
    )
    run_parser.add_argument("--quiet", action="store_true", help="include the quiet days")
    run_parser.add_argument(
        "--small", action="store_true", help="run the small variants of a large site's days"
    )
    run_parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    run_parser.add_argument("--why", required=True)
    run_parser.add_argument(
        "--keep", type=Path, help="folder in which to keep the bench's full reports"
    )
    run_parser.add_argument("--out", type=Path, required=True)
    subparsers.add_parser("show").add_argument("results", type=Path)
    compare_parser = subparsers.add_parser("compare")
    compare_parser.add_argument("before", type=Path)
    compare_parser.add_argument("after", type=Path)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run one subcommand; return 1 if a run broke a rule or had a fault, else 0."""
    options = _parse_arguments(arguments)
    if options.verb == "compare":
        print(format_comparison(load_results(options.before), load_results(options.after)))
        return 0
    if options.verb == "show":
        print(format_results(load_results(options.results)))
        return 0
    days = options.days.split(",") if options.days else list_days(options.site, options.quiet)
    if options.keep is not None:
        options.keep.mkdir(parents=True, exist_ok=True)
    runner = BenchRunner(
        options.bench, options.site, options.tree, options.why, options.keep, options.small
    )
    results = runner.run_all(days, options.seeds, options.jobs)
    save_results(results, options.out)
    print(format_results(results))
    return int(any(result.rules or result.fault for result in results))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
