"""Runs one part of the measuring tool."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from loadtool import _chaos, _commands, _demo, _slopes

COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "chaos": lambda options: _chaos.main(options.seed, options.duration),
    "demo": lambda options: _demo.main(),
    "slopes": lambda options: _slopes.main(),
    "measure": _commands.run_measure,
    "compare": _commands.run_compare,
    "tables": _commands.run_tables,
    "show": _commands.run_show,
    "costs": _commands.run_costs,
}


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    commands = parser.add_subparsers(dest="what", required=True)
    commands.add_parser("demo", help="a whole deployment for about 15 s")
    commands.add_parser("slopes", help="what each role costs at growing sizes")
    chaos = commands.add_parser("chaos", help="a randomised run of faults")
    chaos.add_argument("--seed", type=int, default=1)
    chaos.add_argument("--duration", type=float, default=60.0, help="seconds")
    _commands.add_parsers(commands)
    return parser.parse_args()


if __name__ == "__main__":
    chosen = _parse()
    sys.exit(COMMANDS[chosen.what](chosen))
