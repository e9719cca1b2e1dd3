"""Shares a call among the tasks that need its result, and limits how often it is made."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from rhubarbbend.gateway._state import Clock

T = TypeVar("T")


class CoalescedCall(Generic[T]):
    """A call that is made once for all tasks that ask for it before it begins.

    Invariant: a task gets the result of a call that began after the task had asked for it, so the
    result tells of everything that happened before.
    """

    def __init__(self, call: Callable[[], Awaitable[T]], clock: Clock) -> None:
        self._call = call
        self._clock = clock
        self._began_at = -math.inf
        self._running: asyncio.Task[T] | None = None
        # Has not begun yet: it waits for the running one and for the interval.
        self._waiting: asyncio.Task[T] | None = None

    async def get(self, interval_s: float) -> T:
        """Return the result of a call that begins now, or `interval_s` after the one before."""
        if self._waiting is None:
            self._waiting = asyncio.create_task(self._make_call(interval_s))
        # Another task that waits for the same call must not lose it if this one is cancelled.
        return await asyncio.shield(self._waiting)

    async def _make_call(self, interval_s: float) -> T:
        if self._running is not None:
            await asyncio.wait([self._running])
        await asyncio.sleep(max(0.0, self._began_at + interval_s - self._clock()))
        self._running, self._waiting = self._waiting, None
        self._began_at = self._clock()
        return await self._call()
