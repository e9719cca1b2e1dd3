"""Monitors the liveness of targets while answers are awaited from them.

`TargetLivenessMonitor` records when data last arrived from each target and probes silent ones.
`StreamTimeoutPolicy` uses it to decide when a request gives up a silent target.
"""

from __future__ import annotations

import asyncio
import math
from typing import Final

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.delivery import LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._alternatives import ALTERNATIVE_CHECK_S, Alternatives
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import BodyTimeoutPolicy, Connection, ConnectionPool, HttpFailure

# For this long after it accepted a probe connection, a target counts as alive and is not probed.
PROBE_VALIDITY_S: Final = 0.5
# A sound target may be silent for a second or so, in which it may accept no connection either.
MAX_SOUND_SILENCE_S: Final = 2.0


class TargetLivenessMonitor:
    """Tracks when data last arrived from each target, and probes silent targets.

    A probe opens a connection to the target. Invariant: at most one probe per target is in
    progress.
    """

    def __init__(
        self, state: State, pool: ConnectionPool, connect_timeout: float, clock: Clock
    ) -> None:
        self._state = state
        self._pool = pool
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._awaiting_answer: dict[str, set[Connection]] = {}
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._background = BackgroundTasks(state.report_internal_error)
        # Until when a target counts as alive because it accepted a probe connection.
        self._alive_until: dict[str, float] = {}
        self._probe_failed_at: dict[str, float] = {}

    def add_connection(self, target: str, connection: Connection) -> None:
        """Record that an answer is awaited on a connection to a target."""
        self._awaiting_answer.setdefault(target, set()).add(connection)

    def discard_connection(self, target: str, connection: Connection) -> None:
        """Record that no answer is awaited on a connection any longer."""
        connections = self._awaiting_answer.get(target)
        if connections is None:
            return
        connections.discard(connection)
        if not connections:
            del self._awaiting_answer[target]
            self._alive_until.pop(target, None)
            self._probe_failed_at.pop(target, None)

    def has_open_connection(self, target: str) -> bool:
        """Return whether an answer is awaited on a connection that the target has not closed."""
        connections = self._awaiting_answer.get(target, ())
        return any(not connection.closed for connection in connections)

    def count_open(self, target: str, opened_before: float) -> int:
        """Return how many connections that await answers are open and were opened earlier."""
        awaiting = self._awaiting_answer.get(target, ())
        return sum(c.opened_at < opened_before and not c.closed for c in awaiting)

    def has_contact(self, target: str, opened_before: float, since: float) -> bool:
        """Return whether data has arrived since a time on a connection that was opened earlier."""
        return any(
            connection.opened_at <= opened_before
            and connection.last_received_at >= since
            and not connection.closed
            for connection in self._awaiting_answer.get(target, ())
        )

    def find_last_contact(self, target: str, now: float) -> float:
        """Return when data last arrived from a target on a connection that awaits an answer.

        A recent successful probe counts as contact at `now`. Return minus infinity if no answer is
        awaited from the target.
        """
        if now < self._alive_until.get(target, -math.inf):
            return now
        times = (
            connection.last_received_at for connection in self._awaiting_answer.get(target, ())
        )
        return max(times, default=-math.inf)

    def has_failed_probe(self, target: str) -> bool:
        """Return whether the last probe of a target failed and no data has arrived since."""
        failed_at = self._probe_failed_at.get(target)
        return failed_at is not None and self.find_last_contact(target, failed_at) < failed_at

    def start_probe(self, target: Target) -> None:
        """Start a probe of a target unless one is in progress.

        A successful probe adds its connection to the pool, where the next request can use it.
        """
        if target.id not in self._probes:
            probe = self._background.spawn(self._run_probe(target))
            self._probes[target.id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(target.id))

    async def _run_probe(self, target: Target) -> None:
        self._state.metrics.increment_counter(codes.SILENT_TARGETS_PROBED)
        try:
            connection = await Connection.open(target.address, self._connect_timeout)
        except HttpFailure as failure:
            now = self._clock()
            if target.id in self._awaiting_answer:
                self._probe_failed_at[target.id] = now
            # Either silence or a failed connection alone may have another cause; both together show
            # that the target is unreachable.
            self._state.health.record_unreachable(target.id, now)
            self._state.handle_unreachable_target(target, now)
            self._pool.close_idle_to(target.address)
            self._state.event_log.write(
                "silent_target_lost", now, target=target.id, reason=failure.reason
            )
            return
        now = self._clock()
        if target.id in self._awaiting_answer:
            self._alive_until[target.id] = now + PROBE_VALIDITY_S
        self._probe_failed_at.pop(target.id, None)
        self._state.health.record_connected(target.id, now)
        connection.idle_since = now
        self._pool.add_idle(connection)


class StreamTimeoutPolicy(BodyTimeoutPolicy):
    """Decides how long to wait for a target's answer: for its first event, then for each next one.

    It applies to one attempt; an answer that is not a stream is awaited like a first event.
    """

    def __init__(
        self,
        request: OpenRequest,
        target: Target,
        liveness: TargetLivenessMonitor,
        latencies: LatencyTracker,
        alternatives: Alternatives,
        clock: Clock,
    ) -> None:
        self._request = request
        self._relay = request.relay
        self._target = target
        self._liveness = liveness
        self._first_event_timeouts = latencies.compute_first_event_timeouts(request.route)
        self._pause_timeouts = latencies.compute_pause_timeouts(request.route)
        self._alternatives = alternatives
        self._clock = clock

    def compute_remaining(self, silence: float) -> float:
        """Return how many more seconds to wait after `silence` seconds; 0 to give up.

        The target is probed if the time-outs demand it. Once they have passed, it is given up if it
        is gone, or as soon as another target can take the request; a retry is then reserved.
        """
        now = self._clock()
        timeouts = (
            self._pause_timeouts if self._relay.has_received_event else self._first_event_timeouts
        )
        contact_age = now - self._liveness.find_last_contact(self._target.id, now)
        decision = timeouts.decide(
            silence, contact_age, self._liveness.has_failed_probe(self._target.id)
        )
        if decision.probe:
            self._liveness.start_probe(self._target)
        if decision.seconds > 0.0:
            return decision.seconds
        if self._is_gone(silence) or self._alternatives.reserve(self._request):
            self._request.has_left_silent_target = True
            return 0.0
        if contact_age > PROBE_VALIDITY_S and not self._liveness.has_failed_probe(self._target.id):
            self._liveness.start_probe(self._target)
        return ALTERNATIVE_CHECK_S

    def _is_gone(self, silence: float) -> bool:
        """Return whether a target is silent for longer than a sound one, and takes no connection.

        A stream that has begun is not ended for that: its connection ends if the target is gone.
        """
        if self._request.progress.started or silence <= MAX_SOUND_SILENCE_S:
            return False
        return self._liveness.has_failed_probe(self._target.id)
