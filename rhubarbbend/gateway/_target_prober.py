"""Finds out whether this instance reaches the targets of a service, without making requests wait.

An instance that has lost its links meets that target by target. With many targets, each request
would try some before most of them are known to be unreachable. So some targets of each availability
zone are tried as soon as a request has met several that accept no connection. If none of them
accepts one, the service is not reached.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._attempts import CONNECT_TIMEOUT_S
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Connection, ConnectionPool, HttpFailure

# Targets of each availability zone that are tried at a check. A zone is not taken for lost because
# one target there has ended.
SAMPLE_PER_ZONE: Final = 2
# Requests cause a check of a service at most once in this time.
MIN_CHECK_INTERVAL_S: Final = 0.25
# How often a service that is not reached is checked while no requests come: the other instances
# ask this one for help again only once it has told them that it reaches the targets.
WATCH_INTERVAL_S: Final = 1.0


class TargetProber:
    """Tries targets and checks services.

    Invariant: no target has more than one probe in progress, since a probe is a trial, and no
    service more than one check.
    """

    def __init__(self, state: State, pool: ConnectionPool, clock: Clock) -> None:
        self._state = state
        self._pool = pool
        self._clock = clock
        self._tasks = BackgroundTasks(state.report_internal_error)
        # By service, when the last check began.
        self._checked_at: dict[str, float] = {}
        self._checking: set[str] = set()
        # Services that are checked at intervals until they are reached.
        self._watched: set[str] = set()
        # Called with a service that is reached again; set by the instance.
        self.on_reached: Callable[[str], None] = lambda service: None

    def probe(self, service: str, now: float) -> None:
        """Start a probe of each unreachable target of a service that may be tried now."""
        health = self._state.health
        for target in self._state.registry.list_available(service, now):
            if health.is_unreachable(target.id) and not health.is_blocked(target.id, now):
                self._tasks.spawn(self._probe(target))

    async def _probe(self, target: Target) -> None:
        await self._try(target)

    def check(self, service: str, now: float) -> None:
        """Start a check of a service, unless one began just before."""
        if now - self._checked_at.get(service, -math.inf) >= MIN_CHECK_INTERVAL_S:
            self._tasks.spawn(self._check(service, now))

    def _record_unreached(self, service: str, now: float) -> None:
        """Record that this instance has lost its links to a service, and tell the others.

        All targets with which there was no contact just before are taken to be unreachable, so that
        requests do not wait for each of them.
        """
        if not self._state.reach.record_unreached(service, now):
            return
        targets = self._state.registry.list_available(service, now)
        self._state.health.mark_suspect([target.id for target in targets], now)
        self._state.metrics.increment_counter(codes.SERVICES_UNREACHED)
        self._state.event_log.write("service_unreached", now, service=service)
        if service not in self._watched:
            self._watched.add(service)
            self._tasks.spawn(self._watch(service))

    def _record_reached(self, service: str, now: float) -> None:
        if not self._state.reach.record_reached(service, now):
            return
        targets = self._state.registry.list_available(service, now)
        self._state.health.clear_marks([target.id for target in targets], now)
        self._state.event_log.write("service_reached", now, service=service)
        self.on_reached(service)

    async def _watch(self, service: str) -> None:
        try:
            while self._state.reach.is_unreached_here(service):
                await asyncio.sleep(WATCH_INTERVAL_S)
                await self._check(service, self._clock())
        finally:
            self._watched.discard(service)

    async def _check(self, service: str, now: float) -> None:
        """Try some of a service's targets, and record whether any accepts a connection."""
        if service in self._checking:
            return
        self._checking.add(service)
        self._checked_at[service] = now
        try:
            sample = self._select_sample(service, now)
            reached = await asyncio.gather(*(self._try(target) for target in sample))
        finally:
            self._checking.discard(service)
        if any(reached) or not sample:
            self._record_reached(service, self._clock())
        elif None not in reached:
            self._record_unreached(service, self._clock())

    def _select_sample(self, service: str, now: float) -> list[Target]:
        by_zone: dict[str, list[Target]] = {}
        for target in self._state.registry.list_available(service, now):
            by_zone.setdefault(target.zone, []).append(target)
        return [
            target
            for targets in by_zone.values()
            for target in self._state.random.sample(targets, min(SAMPLE_PER_ZONE, len(targets)))
        ]

    async def _try(self, target: Target) -> bool | None:
        """Return whether a target accepts a new connection; one that just did not is not tried.

        Return None while another task tries it.
        """
        health = self._state.health
        now = self._clock()
        if health.is_blocked(target.id, now):
            return None if health.is_on_trial(target.id, now) else False
        was_unreachable = health.begin_trial(target.id, now)
        try:
            connection = await Connection.open(target.address, CONNECT_TIMEOUT_S)
        except HttpFailure:
            health.record_unreachable(target.id, self._clock())
            return False
        now = self._clock()
        health.record_connected(target.id, now)
        if was_unreachable:
            connection.idle_since = now
            self._pool.add_idle(connection)
        else:
            # Checks go on for as long as requests meet others that accept none, and idle
            # connections would use up what the targets accept.
            connection.close()
        return True
