"""Lets requests that arrive while an instance starts wait for its configuration."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from rhubarbbend import codes
from rhubarbbend.gateway._interfaces import CallerProtocol
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Exchange

# For this long after its start, an instance lets callers wait for the configuration. This is twice
# the time that the store takes to return it, and the time that other instances take to send it if
# the store does not.
STARTUP_WAIT_S: Final = 0.8
# At startup, a caller waits at most this fraction of its request's time-out, so that an attempt
# at another instance can still be answered in time.
STARTUP_WAIT_FRACTION: Final = 0.33


class StartupGate:
    """Has requests wait until the instance can serve callers for the first time."""

    def __init__(self, state: State, caller_protocol: CallerProtocol, clock: Clock) -> None:
        self._state = state
        self._caller_protocol = caller_protocol
        self._clock = clock

    async def wait(self, exchange: Exchange, now: float) -> None:
        """Wait until the configuration is known, for at most the time that a start usually takes.

        If all instances start at once and each refused its callers, a caller would use up its
        attempts in less time than the configuration takes to arrive. An instance that starts
        without a reachable store has not received it by the end of that time, and refuses requests
        at once from then on.
        """
        caller_timeout_s = self._caller_protocol.read_timeout(exchange)
        timeout = self._state.started_at + STARTUP_WAIT_S - now
        if caller_timeout_s is not None:
            timeout = min(timeout, STARTUP_WAIT_FRACTION * caller_timeout_s)
        if timeout <= 0.0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._state.became_ready.wait()
        self._state.metrics.increment_counter(codes.WAITED_FOR_START)
        is_gone = exchange.closed.is_set()
        if is_gone:
            self._state.metrics.increment_counter(codes.CALLER_GONE)
        self._state.event_log.write(
            "waited_for_start",
            self._clock(),
            id=self._caller_protocol.read_request_id(exchange),
            waited=round(self._clock() - now, 4),
            opened=self._state.became_ready.is_set(),
            caller_gone=is_gone or None,
        )
