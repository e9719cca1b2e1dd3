"""Notifies all tasks that wait for a change."""

from __future__ import annotations

import asyncio
from typing import Final

# Changes reported within this time of the first one wake the waiting tasks only once.
COALESCE_DELAY_S: Final = 0.15


class ChangeNotifier:
    """Wakes all waiting tasks at each notification."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def notify_all(self) -> None:
        """Wake all tasks that are waiting now."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        event, self._event = self._event, asyncio.Event()
        event.set()

    def notify_all_soon(self) -> None:
        """Wake all waiting tasks within `COALESCE_DELAY_S` seconds."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(COALESCE_DELAY_S, self.notify_all)

    async def wait(self, timeout: float) -> None:
        """Wait until the next notification, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                await self._event.wait()
        except TimeoutError:
            pass
