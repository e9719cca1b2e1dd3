"""The commands of measured runs, such as `make measure`, `make compare`, `make measure-tables`."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final, TypeVar

from loadtool._deployments import DEPLOYMENTS
from loadtool._measure import RunOptions, measure
from loadtool._placement_cost import format_choice_times
from loadtool._plots import draw_plots
from loadtool._processes import ROOT
from loadtool._relay_cost import format_relay, measure_relay
from loadtool._report import format_comparison, format_markdown, format_run
from loadtool._results import RunResult, read_results, write_result
from loadtool._routing_cost import format_plan_times
from rhubarbbend.core.routing import POLICIES

T = TypeVar("T")

RESULTS_FOLDER: Final = ROOT / "results"
DEFAULT_DURATION_S: Final = 40.0
INTERRUPTED_EXIT_STATUS: Final = 130


def add_parsers(commands: Any) -> None:
    """Add the parsers of the commands and their options."""
    measure_parser = commands.add_parser("measure", help="run one deployment and write its result")
    measure_parser.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    measure_parser.add_argument("--policy", default="affinity", choices=POLICIES.list_names())
    measure_parser.add_argument("--seed", type=int, default=1)
    measure_parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    measure_parser.add_argument("--results", type=Path, default=RESULTS_FOLDER)
    compare_parser = commands.add_parser(
        "compare", help="compare two results, or two folders of them"
    )
    compare_parser.add_argument("first", type=Path)
    compare_parser.add_argument("second", type=Path)
    tables_parser = commands.add_parser("tables", help="run every deployment, policy and seed")
    tables_parser.add_argument("--deployments", nargs="+", default=sorted(DEPLOYMENTS))
    tables_parser.add_argument("--policies", nargs="+", default=POLICIES.list_names())
    tables_parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2, 3])
    tables_parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    tables_parser.add_argument("--jobs", type=int, default=1)
    tables_parser.add_argument("--results", type=Path, default=RESULTS_FOLDER)
    commands.add_parser(
        "costs", help="measure the processor time of a routing decision and of relaying a chunk"
    )
    show_parser = commands.add_parser("show", help="print the tables of results in markdown")
    show_parser.add_argument("--results", type=Path, default=RESULTS_FOLDER)


def run_measure(options: argparse.Namespace) -> int:
    """Run one measurement; write, print and plot its result.

    Return exit status 1 if an answer was wrong or a command ran twice.
    """
    run_options = RunOptions(options.deployment, options.policy, options.seed, options.seconds)
    result = _run_interruptible(_measure_and_write(run_options, options.results))
    if result is None:
        return INTERRUPTED_EXIT_STATUS
    print(format_run(result))
    stem = f"{result.deployment}-{result.policy}-{result.seed}"
    for path in draw_plots([result], options.results / "plots", stem):
        print(f"plot {path}")
    return 0 if result.wrong == 0 and result.run_twice == 0 else 1


def run_compare(options: argparse.Namespace) -> int:
    """Print a comparison of two results or sets of results; return exit status 0."""
    print(format_comparison(read_results(options.first), read_results(options.second)))
    return 0


def run_tables(options: argparse.Namespace) -> int:
    """Run every chosen deployment, policy and seed; print the tables in Markdown and draw plots.

    Return exit status 1 if an answer was wrong or a command ran twice.
    """
    run_options = [
        RunOptions(deployment, policy, seed, options.seconds)
        for seed in options.seeds
        for deployment in options.deployments
        for policy in options.policies
    ]
    results = _run_interruptible(_run_all(run_options, options.jobs, options.results))
    if results is None:
        return INTERRUPTED_EXIT_STATUS
    print(format_markdown(results))
    for deployment in options.deployments:
        first = [r for r in results if r.deployment == deployment and r.seed == options.seeds[0]]
        draw_plots(first, options.results / "plots", deployment)
    return 0 if all(r.wrong == 0 and r.run_twice == 0 for r in results) else 1


def run_show(options: argparse.Namespace) -> int:
    """Print the tables of stored results in Markdown; return exit status 0."""
    print(format_markdown(read_results(options.results)))
    return 0


def run_costs(options: argparse.Namespace) -> int:
    """Measure and print the processor time of a routing decision and of relaying a chunk."""
    print(format_plan_times())
    print(format_choice_times())
    result = _run_interruptible(measure_relay())
    if result is None:
        return INTERRUPTED_EXIT_STATUS
    print(format_relay(result))
    return 0


async def _measure_and_write(options: RunOptions, folder: Path) -> RunResult:
    result = await measure(options)
    name = f"{options.deployment}/{options.policy}/{options.seed}.json"
    write_result(result, folder / name)
    return result


async def _run_all(run_options: list[RunOptions], jobs: int, folder: Path) -> list[RunResult]:
    semaphore = asyncio.Semaphore(jobs)

    async def run_one(options: RunOptions) -> RunResult:
        async with semaphore:
            return await _run_in_subprocess(options, folder)

    return list(await asyncio.gather(*(run_one(options) for options in run_options)))


async def _run_in_subprocess(options: RunOptions, folder: Path) -> RunResult:
    """Run one measurement in a subprocess, so that concurrent runs do not share an event loop."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "loadtool", "measure", options.deployment),
        *("--policy", options.policy, "--seed", str(options.seed)),
        *("--seconds", str(options.seconds), "--results", str(folder)),
        cwd=ROOT,
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        await process.wait()
    except asyncio.CancelledError:
        process.terminate()
        await process.wait()
        raise
    path = folder / options.deployment / options.policy / f"{options.seed}.json"
    return read_results(path)[0]


def _run_interruptible(work: Coroutine[Any, Any, T]) -> T | None:
    """Run a coroutine and return its result, or None if SIGINT or SIGTERM cancelled it."""

    async def run() -> T:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await work

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        print("interrupted", file=sys.stderr)
        return None
