"""Finds out when unreachable targets accept connections again, without making requests wait."""

from __future__ import annotations

from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._attempts import CONNECT_TIMEOUT_S
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Connection, ConnectionPool, HttpFailure


class TargetProber:
    """Opens connections to unreachable targets, each one when its backoff has ended.

    Invariant: no target has more than one probe in progress, since a probe is a trial.
    """

    def __init__(self, state: State, pool: ConnectionPool, clock: Clock) -> None:
        self._state = state
        self._pool = pool
        self._clock = clock
        self._probes = BackgroundTasks(state.report_internal_error)

    def probe(self, service: str, now: float) -> None:
        """Start a probe of each unreachable target of a service that may be tried now."""
        health = self._state.health
        for target in self._state.registry.list_available(service, now):
            if not health.is_blocked(target.id, now) and health.begin_trial(target.id, now):
                self._probes.spawn(self._run(target))

    async def _run(self, target: Target) -> None:
        try:
            connection = await Connection.open(target.address, CONNECT_TIMEOUT_S)
        except HttpFailure:
            self._state.health.record_unreachable(target.id, self._clock())
            return
        now = self._clock()
        self._state.health.record_connected(target.id, now)
        connection.idle_since = now
        self._pool.add_idle(connection)
