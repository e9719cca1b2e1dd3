"""Shares the event loop among requests that take very much parsing.

Load handled here: requests of legal size in parts of a few bytes. Each part costs as much time as a
usual one of some kilobytes, and what was received at once may hold ten thousand of them.
"""

from __future__ import annotations

import asyncio
from typing import Final

# Parts of a body below this size count as small.
SMALL_PART_BYTES: Final = 1_024
# A head of this size may hold a thousand fields; it needs a turn.
LARGE_HEAD_BYTES: Final = 4_096
# Small parts of a body that are parsed in one turn. The first ones of each body need no turn.
PARTS_PER_TURN: Final = 32


class ParseTurns:
    """Gives one request after the other a turn to be parsed.

    Invariant: one turn is given in an iteration of the event loop, so other work goes on between
    two turns, however many requests wait for theirs.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, in the order of the calls."""
        async with self._lock:
            await asyncio.sleep(0)
