"""The exit statuses of every command."""

from __future__ import annotations

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses of every command."""

    DONE = 0
    FAILED = 1  # The fleet refused, or could not be reached; a replay differs.
    USAGE = 2  # Options, settings or declarations are wrong.
    CONFLICT = 3  # Another operator's change came first.
    UNKNOWN = 4  # No word whether the change was accepted: send the same change id again.
    DECLINED = 5  # The difference was shown and not sent.
