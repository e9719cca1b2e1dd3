"""The program `rhubarbbend`."""

from __future__ import annotations

import signal
import sys
from types import FrameType


def _leave(number: int, frame: FrameType | None) -> None:
    """End a process that has not begun to do anything."""
    sys.exit(0)


def run() -> None:
    """Run the command line and exit with its status."""
    # Loading the program takes 0.3 s, and seconds on a busy machine. Told to stop in that time the
    # process would die by the signal, which looks like a planned stop that failed.
    signal.signal(signal.SIGTERM, _leave)
    from rhubarbbend.cli import main

    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
