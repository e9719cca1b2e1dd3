"""Wakes everything that waits for something to change."""

from __future__ import annotations

import asyncio
from typing import Final

# Hints that come one by one are passed on together after this many seconds.
GATHER: Final = 0.15


class Signal:
    """Wakes all waiters at once, as often as it is needed."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def notify(self) -> None:
        """Wake everyone that waits now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        event, self._event = self._event, asyncio.Event()
        event.set()

    def notify_soon(self) -> None:
        """Wake everyone within GATHER seconds."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(GATHER, self.notify)

    async def wait(self, timeout: float) -> None:
        """Wait until the next notice, for `timeout` seconds at the most."""
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                await self._event.wait()
        except TimeoutError:
            pass
