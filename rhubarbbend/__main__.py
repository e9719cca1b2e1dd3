"""The program `rhubarbbend`."""

from __future__ import annotations

import sys

from rhubarbbend.cli import main


def run() -> None:
    """Run the command line and exit with its status."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
