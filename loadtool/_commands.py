"""The commands behind `make measure`, `make compare` and `make measure-tables`."""

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
from loadtool._planning import show_planning
from loadtool._plots import draw_plots
from loadtool._processes import ROOT
from loadtool._relay import measure_relay, show_relay
from loadtool._report import compare, show_markdown, show_run
from loadtool._results import RunResult, read_results, write_result
from rhubarbbend.core.routing import POLICIES

T = TypeVar("T")

RESULTS: Final = ROOT / "results"
DEFAULT_SECONDS: Final = 40.0
INTERRUPTED: Final = 130


def add_parsers(commands: Any) -> None:
    """Add the commands' options."""
    one = commands.add_parser("measure", help="run one deployment and write its result")
    one.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    one.add_argument("--policy", default="affinity", choices=POLICIES.list_names())
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    one.add_argument("--results", type=Path, default=RESULTS)
    two = commands.add_parser("compare", help="compare two results, or two folders of them")
    two.add_argument("first", type=Path)
    two.add_argument("second", type=Path)
    tables = commands.add_parser("tables", help="run every deployment, policy and seed")
    tables.add_argument("--deployments", nargs="+", default=sorted(DEPLOYMENTS))
    tables.add_argument("--policies", nargs="+", default=POLICIES.list_names())
    tables.add_argument("--seeds", nargs="+", type=int, default=[1, 2, 3])
    tables.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    tables.add_argument("--jobs", type=int, default=1)
    tables.add_argument("--results", type=Path, default=RESULTS)
    commands.add_parser("costs", help="processor time of a routing decision and of a chunk")
    shown = commands.add_parser("show", help="print the tables of results in markdown")
    shown.add_argument("--results", type=Path, default=RESULTS)


def run_measure(options: argparse.Namespace) -> int:
    """Run once; write, print and plot the result."""
    chosen = RunOptions(options.deployment, options.policy, options.seed, options.seconds)
    result = _run_interruptible(_measure_and_write(chosen, options.results))
    if result is None:
        return INTERRUPTED
    print(show_run(result))
    stem = f"{result.deployment}-{result.policy}-{result.seed}"
    for path in draw_plots([result], options.results / "plots", stem):
        print(f"plot {path}")
    return 0 if result.wrong == 0 and result.run_twice == 0 else 1


def run_compare(options: argparse.Namespace) -> int:
    """Print two sets of results beside each other."""
    print(compare(read_results(options.first), read_results(options.second)))
    return 0


def run_tables(options: argparse.Namespace) -> int:
    """Run everything and print the tables in markdown."""
    chosen = [
        RunOptions(deployment, policy, seed, options.seconds)
        for seed in options.seeds
        for deployment in options.deployments
        for policy in options.policies
    ]
    results = _run_interruptible(_run_all(chosen, options.jobs, options.results))
    if results is None:
        return INTERRUPTED
    print(show_markdown(results))
    for deployment in options.deployments:
        first = [r for r in results if r.deployment == deployment and r.seed == options.seeds[0]]
        draw_plots(first, options.results / "plots", deployment)
    return 0 if all(r.wrong == 0 and r.run_twice == 0 for r in results) else 1


def run_show(options: argparse.Namespace) -> int:
    """Print the tables of the results that are there."""
    print(show_markdown(read_results(options.results)))
    return 0


def run_costs(options: argparse.Namespace) -> int:
    """Print the processor time of a routing decision and of relaying a chunk."""
    print(show_planning())
    result = _run_interruptible(measure_relay())
    if result is None:
        return INTERRUPTED
    print(show_relay(result))
    return 0


async def _measure_and_write(options: RunOptions, folder: Path) -> RunResult:
    result = await measure(options)
    name = f"{options.deployment}/{options.policy}/{options.seed}.json"
    write_result(result, folder / name)
    return result


async def _run_all(chosen: list[RunOptions], jobs: int, folder: Path) -> list[RunResult]:
    gate = asyncio.Semaphore(jobs)

    async def run_one(options: RunOptions) -> RunResult:
        async with gate:
            return await _run_apart(options, folder)

    return list(await asyncio.gather(*(run_one(options) for options in chosen)))


async def _run_apart(options: RunOptions, folder: Path) -> RunResult:
    """Run in a process of its own, so that runs beside it do not share its loop."""
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
    """Run so that Ctrl-C ends it and everything it started; None if it was interrupted."""

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
