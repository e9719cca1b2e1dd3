"""A time-out that expires only after input that has already arrived was passed on.

An event loop that was busy finds received data and an expired timer in the same iteration. It
passes the data to the protocol first, but the task that waits for it runs one iteration later, when
the timer has cancelled it already: the data would be taken for missing. This time-out therefore
lets the loop run for some iterations before it cancels its task.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Final

# Iterations of the event loop in which a task processes what was received: it wakes up in the first
# one; an answer that another task or callback passes on takes one more for each of them.
INPUT_LOOP_ITERATIONS: Final = 3


class InputTimeout:
    """Like `asyncio.timeout_at`, an asynchronous context manager that raises `TimeoutError`.

    `when` is in the event loop's time; None for no time-out.
    """

    __slots__ = ("_handle", "_loop", "_scope", "_when")

    def __init__(self, when: float | None) -> None:
        self._loop = asyncio.get_running_loop()
        self._when = when
        self._scope = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> InputTimeout:
        await self._scope.__aenter__()
        self.reschedule(self._when)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._cancel_timer()
        await self._scope.__aexit__(exc_type, exc_value, traceback)

    def reschedule(self, when: float | None) -> None:
        """Change the time at which it expires, unless it has expired."""
        if self._scope.expired():
            return
        self._cancel_timer()
        self._scope.reschedule(None)
        if when is None:
            return
        if when <= self._loop.time():
            # In the order of the calls, which timers that are due at the same time do not keep.
            self._handle = self._loop.call_soon(self._count_down, INPUT_LOOP_ITERATIONS)
        else:
            self._handle = self._loop.call_at(when, self._count_down, INPUT_LOOP_ITERATIONS)

    def expired(self) -> bool:
        """Return whether it has expired."""
        return self._scope.expired()

    def _count_down(self, iterations: int) -> None:
        if iterations > 0:
            self._handle = self._loop.call_soon(self._count_down, iterations - 1)
        else:
            self._scope.reschedule(self._loop.time())

    def _cancel_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
