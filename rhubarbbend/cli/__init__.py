"""The command line of `rhubarbbend`: its options, commands and exit statuses.

The commands run an instance, check its settings, replay traces, explain requests from logs, and
let operators view and change the fleet's configuration.
"""

from rhubarbbend.cli._main import main
from rhubarbbend.cli._status import ExitStatus

__all__ = ["ExitStatus", "main"]
