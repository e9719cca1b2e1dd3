"""Runs one part of the measuring tool."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from loadtool import _chaos, _commands, _demo, _slopes, _soak

COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "soak": lambda options: _run_soak(options),
    "demo": lambda options: _demo.main(),
    "slopes": lambda options: _slopes.main(),
    "measure": _commands.run_measure,
    "compare": _commands.run_compare,
    "tables": _commands.run_tables,
    "show": _commands.run_show,
    "costs": _commands.run_costs,
}


def _run_soak(options: argparse.Namespace) -> int:
    if options.on == "product":
        return _chaos.main(options.seed, options.duration)
    return _soak.main(options.seed, options.seeds, options.duration, options.size)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    commands = parser.add_subparsers(dest="what", required=True)
    commands.add_parser("demo", help="a whole deployment for about 15 s")
    commands.add_parser("slopes", help="what each role costs at growing sizes")
    soak = commands.add_parser("soak", help="a randomised run of faults, checked as it runs")
    soak.add_argument("--on", choices=("platform", "product"), default="platform")
    soak.add_argument("--seed", type=int, default=1)
    soak.add_argument("--seeds", type=int, default=1, help="so many, one after the other")
    soak.add_argument("--duration", type=float, default=40.0, help="seconds a seed")
    soak.add_argument("--size", type=int, default=_soak.DEFAULT_SIZE, help="instances")
    _commands.add_parsers(commands)
    return parser.parse_args()


if __name__ == "__main__":
    chosen = _parse()
    sys.exit(COMMANDS[chosen.what](chosen))
