"""Runs one part of the measuring tool."""

from __future__ import annotations

import argparse
import sys

from loadtool import _chaos, _demo


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    parts = parser.add_subparsers(dest="what", required=True)
    parts.add_parser("demo", help="a whole deployment for about 15 s")
    chaos = parts.add_parser("chaos", help="a randomised run of faults")
    chaos.add_argument("--seed", type=int, default=1)
    chaos.add_argument("--duration", type=float, default=60.0, help="seconds")
    return parser.parse_args()


def _run(options: argparse.Namespace) -> int:
    if options.what == "chaos":
        return _chaos.main(options.seed, options.duration)
    return _demo.main()


if __name__ == "__main__":
    sys.exit(_run(_parse()))
