"""Tells targets that are full from targets that fail, by the connections that they reset.

A target that accepts no more connections resets a new one right after it was accepted, while those
that it has go on. It has not failed, and nothing that was not written to it can have run.
"""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._liveness import TargetLivenessMonitor
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    ConnectionPool,
    HttpFailure,
    SendStage,
)

# Bounds the check where a connection was slow to open for another reason than its round trip.
MAX_ROUND_TRIP_S: Final = 0.01
# A connection that breaks later than this after it was opened may have another reason than want of
# room. A target that is short of processor time may take some tens of ms to reset it.
RESET_WINDOW_S: Final = 0.1
# If a target ends, its other connections break within this time after the first one.
CONFIRM_S: Final = 0.005
# To a target that is full, connections that were idle for longer are closed: they hold places that
# other instances want, and no command is sent over them.
MAX_IDLE_AT_FULL_S: Final = 0.2
# How often that is done while a target is full.
SWEEP_INTERVAL_S: Final = 0.05


class FullTargetDetector:
    """Finds targets that are full, and records that."""

    def __init__(
        self, state: State, pool: ConnectionPool, liveness: TargetLivenessMonitor, clock: Clock
    ) -> None:
        self._state = state
        self._pool = pool
        self._liveness = liveness
        self._clock = clock
        self._sweep: asyncio.TimerHandle | None = None
        state.connection_limits.on_full = self._start_sweep

    async def check_new_connection(
        self, request: OpenRequest, target: Target, connection: Connection
    ) -> bool:
        """Return whether a connection to which nothing was written yet can be used; else close it.

        A new one to a target that may be full is watched for some ms first.
        """
        limits = self._state.connection_limits
        is_idempotent = request.route.idempotent
        if connection.reused or not limits.needs_check(
            target.service, target.id, is_idempotent, self._clock()
        ):
            return True
        round_trip = min(MAX_ROUND_TRIP_S, max(0.0, connection.opened_at - request.chosen_at))
        try:
            check_s = limits.compute_check(target.service, self._clock())
            if not await connection.closes_within(check_s + round_trip):
                return True
        except asyncio.CancelledError:
            connection.close()
            raise
        connection.close()
        if not await self._record_if_full(request, target, connection, "before"):
            self._state.health.record_response(target.id, True, self._clock())
        return False

    async def detect_full(
        self,
        request: OpenRequest,
        target: Target,
        connection: Connection,
        failure: HttpFailure,
    ) -> bool:
        """Return whether a request failed because its target was full, and record that.

        The request was written, so it may have run for all that is known.
        """
        if connection.reused or not connection.closed or connection.has_received:
            return False
        if failure.stage is not SendStage.SENT or failure.reason == REASON_TIMEOUT:
            return False
        now = self._clock()
        if now - connection.opened_at > RESET_WINDOW_S:
            self._state.connection_limits.record_doubt(target.service, now)
            return False
        return await self._record_if_full(request, target, connection, "after")

    async def _record_if_full(
        self, request: OpenRequest, target: Target, connection: Connection, moment: str
    ) -> bool:
        """Record a reset of a new connection if others to the target go on, or it was full lately.

        `moment` is whether it came before the request was written, or after.
        """
        limits = self._state.connection_limits
        age = self._clock() - connection.opened_at
        limits.record_reset_age(target.service, age, self._clock())
        was_full = limits.was_full(target.id, self._clock())
        if self._count_serving(target, connection):
            await asyncio.sleep(CONFIRM_S)
        serving = self._count_serving(target, connection)
        now = self._clock()
        if not serving and not was_full:
            limits.record_doubt(target.service, now)
            return False
        limits.record_reset(target.service, target.id, serving, now)
        self._state.metrics.increment_counter(codes.CONNECTIONS_RESET)
        # Without `id`, so that it shows in the timelines of all requests that it concerns.
        self._state.event_log.write(
            "target_full",
            now,
            target=target.id,
            cause=request.id,
            reset=moment,
            open_for=round(age, 4),
            limit=limits.find_limit(target.id, now),
        )
        return True

    def _count_serving(self, target: Target, connection: Connection) -> int:
        """Count this instance's older connections to a target that are open."""
        before = connection.opened_at
        awaiting = self._liveness.count_open(target.id, before)
        return awaiting + self._pool.count_idle(target.address, before)

    def _start_sweep(self) -> None:
        if self._sweep is None:
            self._close_unused()

    def _close_unused(self) -> None:
        """Close connections to full targets that were idle long, as long as any target is full."""
        self._sweep = None
        now = self._clock()
        full = self._state.connection_limits.list_full(now)
        for target in filter(None, map(self._state.registry.find, full)):
            self._pool.close_idle_longer(target.address, MAX_IDLE_AT_FULL_S, now)
        if full:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._close_unused)
