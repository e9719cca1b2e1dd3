"""Runs one part of the measuring tool."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from loadtool import _commands, _demo

COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "demo": lambda options: _demo.main(),
    "measure": _commands.run_measure,
    "compare": _commands.run_compare,
    "tables": _commands.run_tables,
    "show": _commands.run_show,
}


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    commands = parser.add_subparsers(dest="what", required=True)
    commands.add_parser("demo", help="the demo")
    _commands.add_parsers(commands)
    return parser.parse_args()


if __name__ == "__main__":
    chosen = _parse()
    sys.exit(COMMANDS[chosen.what](chosen))
