"""The entry point of the program `rhubarbbend`.

The command line is imported only after SIGTERM is handled, because loading it takes time in which
the process may already be told to stop.
"""

from __future__ import annotations

import sys

from rhubarbbend.stop_signals import take_early_stop


def run() -> None:
    """Run the command line and exit with its status."""
    take_early_stop()
    from rhubarbbend.cli import main

    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
