"""Notifies all tasks that wait for a change."""

from __future__ import annotations

import asyncio
import math
from typing import Final

# Changes reported within this time of the first one wake the waiting tasks only once.
COALESCE_DELAY_S: Final = 0.15
# Urgent changes wake them at once, but not more often than this.
MIN_URGENT_INTERVAL_S: Final = 0.05


class ChangeNotifier:
    """Wakes all waiting tasks at each notification."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._notified_at = -math.inf

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._notified_at = asyncio.get_running_loop().time()
        event, self._event = self._event, asyncio.Event()
        event.set()

    def notify_all_soon(self) -> None:
        """Wake all waiting tasks within `COALESCE_DELAY_S` seconds."""
        self._notify_at(asyncio.get_running_loop().time() + COALESCE_DELAY_S)

    def notify_all_urgently(self) -> None:
        """Wake all waiting tasks at once, or `MIN_URGENT_INTERVAL_S` after they were last woken."""
        now = asyncio.get_running_loop().time()
        if now >= self._notified_at + MIN_URGENT_INTERVAL_S:
            self.notify_all()
        else:
            self._notify_at(self._notified_at + MIN_URGENT_INTERVAL_S)

    def _notify_at(self, at: float) -> None:
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(at, self.notify_all)

    async def wait(self, timeout: float) -> None:
        """Wait until the next notification, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                await self._event.wait()
        except TimeoutError:
            pass
