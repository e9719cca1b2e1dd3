"""Detects that this process did not run for a while, or that its event loop was late.

After a pause, as when its machine was suspended, what the instance knows may be out of date and its
connections may be dead. The monotonic clock may not advance during a suspension, so the boot-time
clock is checked too.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from rhubarbbend.gateway._state import read_clock

# How often the process checks whether it was paused, and the delay from which it counts as paused.
PAUSE_CHECK_INTERVAL_S: Final = 0.25
MIN_PAUSE_S: Final = 0.75


async def detect_pauses(
    handle_pause: Callable[[float, float], None], handle_delay: Callable[[float], None]
) -> None:
    """Call `handle_pause` after each pause, with its length and the present time in seconds.

    `handle_delay` is called at each check, with the seconds by which the event loop was late.
    """
    before, before_boot = read_clock(), _read_boot_clock()
    while True:
        await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
        now, boot = read_clock(), _read_boot_clock()
        handle_delay(max(0.0, now - before - PAUSE_CHECK_INTERVAL_S))
        pause = max(now - before, boot - before_boot) - PAUSE_CHECK_INTERVAL_S
        before, before_boot = now, boot
        if pause > MIN_PAUSE_S:
            handle_pause(pause, now)


def _read_boot_clock() -> float:
    """Return the seconds since the machine booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
