"""Runs one part of the measuring tool."""

from __future__ import annotations

import argparse
import sys

from loadtool import _demo


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    parser.add_subparsers(dest="what", required=True).add_parser("demo")
    return parser.parse_args()


if __name__ == "__main__":
    _parse()
    sys.exit(_demo.main())
