"""The command line: options, commands and exit statuses."""

from rhubarbbend.cli._main import ExitStatus, main

__all__ = ["ExitStatus", "main"]
