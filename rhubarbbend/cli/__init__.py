"""The command line: options, commands and exit statuses."""

from rhubarbbend.cli._main import main
from rhubarbbend.cli._status import ExitStatus

__all__ = ["ExitStatus", "main"]
