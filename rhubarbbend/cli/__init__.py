"""The command line of `rhubarbbend`: its options, commands and exit statuses.

The commands run an instance, check its settings, replay traces, explain requests from logs, and
let operators view and change the fleet's configuration.
"""

from rhubarbbend.cli._exit_status import ExitStatus
from rhubarbbend.cli._main import main

__all__ = ["ExitStatus", "main"]
