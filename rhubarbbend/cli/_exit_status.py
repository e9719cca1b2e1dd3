"""The exit statuses of the program."""

from __future__ import annotations

import enum


class ExitStatus(enum.IntEnum):
    """An exit status; every command uses the same ones."""

    DONE = 0
    FAILED = 1  # The fleet refused or was unreachable, a replay differs, or no log line matches.
    USAGE = 2  # Options, settings, declarations or a trace are invalid.
    CONFLICT = 3  # Another operator's change was accepted first.
    UNKNOWN = 4  # Whether the change was accepted is unknown: retry with the same change id.
    DECLINED = 5  # The differences were shown, but the operator did not confirm them.
