"""Finds out whether the caller of a request is still there."""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend.http import Exchange

# Iterations of the event loop within which a disconnection is read that arrived right after the
# request.
EOF_LOOP_ITERATIONS: Final = 3


async def is_disconnected(exchange: Exchange) -> bool:
    """Return whether the caller had already disconnected when its request was read.

    After this process was paused, a request and the end of its connection can be waiting together;
    they are then read one after the other.
    """
    for _ in range(EOF_LOOP_ITERATIONS):
        await asyncio.sleep(0)
    return exchange.closed.is_set()
