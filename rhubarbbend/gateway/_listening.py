"""Listens to targets: what was heard from each, and when a silent one is given up."""

from __future__ import annotations

import asyncio
import math
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.delivery import LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import BodyTimeoutPolicy, Connection, ConnectionPool, HttpFailure

# For so long after it took a connection a target is not asked again.
VOUCHED: Final = 0.5


class TargetListener:
    """Knows when a target was heard last, and asks silent ones for a connection.

    Invariant: one question at a time is under way to a target.
    """

    def __init__(
        self, state: State, pool: ConnectionPool, connect_timeout: float, clock: Clock
    ) -> None:
        self._state = state
        self._pool = pool
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._open: dict[str, set[Connection]] = {}
        self._questions: dict[str, asyncio.Task[None]] = {}
        # Until when the connection that a target took says that it is there.
        self._vouched_until: dict[str, float] = {}
        self._lost_at: dict[str, float] = {}

    def add(self, target: str, connection: Connection) -> None:
        """Note that an answer is awaited on a connection."""
        self._open.setdefault(target, set()).add(connection)

    def discard(self, target: str, connection: Connection) -> None:
        """Note that it is not any more."""
        connections = self._open.get(target)
        if connections is None:
            return
        connections.discard(connection)
        if not connections:
            del self._open[target]
            self._vouched_until.pop(target, None)
            self._lost_at.pop(target, None)

    def find_last_heard(self, target: str, now: float) -> float:
        """Give when anything came last from a target that answers are awaited of."""
        if now < self._vouched_until.get(target, -math.inf):
            return now
        times = (connection.last_received_at for connection in self._open.get(target, ()))
        return max(times, default=-math.inf)

    def is_lost(self, target: str) -> bool:
        """Whether a target took no connection when it was asked, and was not heard since."""
        lost_at = self._lost_at.get(target)
        return lost_at is not None and self.find_last_heard(target, lost_at) < lost_at

    def ask(self, target: Target) -> None:
        """Ask a target for a connection, which the next request can use."""
        if target.id not in self._questions:
            question = asyncio.get_running_loop().create_task(self._ask(target))
            self._questions[target.id] = question
            question.add_done_callback(lambda _: self._questions.pop(target.id))

    async def _ask(self, target: Target) -> None:
        self._state.metrics.add(codes.SILENT_TARGETS_PROBED)
        try:
            connection = await Connection.open(target.address, self._connect_timeout)
        except HttpFailure as failure:
            now = self._clock()
            if target.id in self._open:
                self._lost_at[target.id] = now
            # Silence and a connection that is not taken say together what one of them may not.
            self._state.health.record_unreachable(target.id, now)
            self._state.note_lost(target, now)
            self._pool.close_idle_to(target.address)
            self._state.journal.write(
                "silent_target_lost", now, target=target.id, reason=failure.reason
            )
            return
        now = self._clock()
        if target.id in self._open:
            self._vouched_until[target.id] = now + VOUCHED
        self._lost_at.pop(target.id, None)
        self._state.health.record_connected(target.id, now)
        connection.idle_since = now
        self._pool.add_idle(connection)


class StreamTimeoutPolicy(BodyTimeoutPolicy):
    """How long one run of a stream is waited for: its first event, then each next one."""

    def __init__(
        self,
        request: OpenRequest,
        target: Target,
        listener: TargetListener,
        latencies: LatencyTracker,
        clock: Clock,
    ) -> None:
        self._relay = request.relay
        self._target = target
        self._listener = listener
        self._first = latencies.compute_first_event_timeouts(request.route)
        self._pause = latencies.compute_pause_timeouts(request.route)
        self._clock = clock

    def compute_remaining_s(self, silence: float) -> float:
        """Give for how many seconds more to wait; 0: not any longer."""
        now = self._clock()
        timeouts = self._pause if self._relay.has_begun else self._first
        heard_ago = now - self._listener.find_last_heard(self._target.id, now)
        wait = timeouts.decide(silence, heard_ago, self._listener.is_lost(self._target.id))
        if wait.probe:
            self._listener.ask(self._target)
        return wait.seconds
