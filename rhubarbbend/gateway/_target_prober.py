"""Finds out when unreachable targets accept connections again, without making requests wait."""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._attempts import CONNECT_TIMEOUT_S
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Connection, ConnectionPool, HttpFailure

# How often some targets of a service that is not reached are tried, also while no requests come.
# The other instances ask this one for help again only once it has told them that it reaches them.
WATCH_INTERVAL_S: Final = 1.0
WATCHED_TARGETS: Final = 2


class TargetProber:
    """Opens connections to unreachable targets, each one when its backoff has ended.

    Invariant: no target has more than one probe in progress, since a probe is a trial.
    """

    def __init__(self, state: State, pool: ConnectionPool, clock: Clock) -> None:
        self._state = state
        self._pool = pool
        self._clock = clock
        self._probes = BackgroundTasks(state.report_internal_error)
        # Services that are watched until they are reached.
        self._watched: set[str] = set()

    def probe(self, service: str, now: float) -> None:
        """Start a probe of each unreachable target of a service that may be tried now."""
        self._probe_some(self._list_unreachable(service, now), now)

    def watch(self, service: str, now: float) -> None:
        """Record that a service is not reached, and watch it until it is."""
        if not self._state.reach.record_unreached(service, now):
            return
        self._state.metrics.increment_counter(codes.SERVICES_UNREACHED)
        self._state.event_log.write("service_unreached", now, service=service)
        if service not in self._watched:
            self._watched.add(service)
            self._probes.spawn(self._watch(service))

    async def _watch(self, service: str) -> None:
        """Try some targets at intervals, and all of them once one accepts a connection."""
        try:
            while self._state.reach.is_unreached_here(service):
                await asyncio.sleep(WATCH_INTERVAL_S)
                now = self._clock()
                self.update_reach(service, now)
                tried = self._list_unreachable(service, now)
                count = min(WATCHED_TARGETS, len(tried))
                self._probe_some(self._state.random.sample(tried, count), now)
        finally:
            self._watched.discard(service)

    def update_reach(self, service: str, now: float) -> None:
        """Record that a service is reached again, if most of its targets are."""
        if not self._state.reach.is_unreached_here(service):
            return
        targets = self._state.registry.list_available(service, now)
        health = self._state.health
        unreachable = sum(health.is_unreachable(target.id) for target in targets)
        if not targets or 2 * unreachable < len(targets):
            self._state.reach.record_reached(service, now)
            self._state.event_log.write("service_reached", now, service=service)

    def _list_unreachable(self, service: str, now: float) -> list[Target]:
        """Return the unreachable targets of a service that may be tried now."""
        health = self._state.health
        return [
            target
            for target in self._state.registry.list_available(service, now)
            if health.is_unreachable(target.id) and not health.is_blocked(target.id, now)
        ]

    def _probe_some(self, targets: list[Target], now: float) -> None:
        for target in targets:
            self._state.health.begin_trial(target.id, now)
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
        self.update_reach(target.service, now)
        if self._state.reach.is_unreached_here(target.service):
            self.probe(target.service, now)
