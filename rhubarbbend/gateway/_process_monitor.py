"""Records how late the event loop runs, and why the connections of callers end.

Together they tell whether a connection ended by a decision of this process, and whether the process
was busy at that moment.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.catalog import TrafficLimits
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import IDLE_ENDS, ConnectionEnd

# Delays of the event loop are logged from this length on: callers notice them, and time-outs of
# this process may expire together with the data that they wait for.
MIN_LOGGED_DELAY_S: Final = 0.1
COUNTERS: Final = {
    ConnectionEnd.IDLE: codes.CONNECTIONS_IDLE,
    ConnectionEnd.STOPPING: codes.CONNECTIONS_STOPPING,
    ConnectionEnd.CLIENT_CLOSED: codes.CONNECTIONS_CLIENT_CLOSED,
    ConnectionEnd.LAST_RESPONSE: codes.CONNECTIONS_LAST_RESPONSE,
    ConnectionEnd.REJECTED: codes.CONNECTIONS_REJECTED,
    ConnectionEnd.TOO_MANY: codes.CONNECTIONS_TOO_MANY,
    ConnectionEnd.FAILED: codes.CONNECTIONS_FAILED,
}


class ProcessMonitor:
    """Counts and logs delays of the event loop and ends of callers' connections."""

    def __init__(self, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        # The last delay that was logged, and when it ended.
        self._delay_s = 0.0
        self._delayed_at = 0.0

    def handle_delay(self, delay_s: float) -> None:
        """Record by how many seconds the event loop was late at a check."""
        self._state.metrics.observe("loop_delay", "check", delay_s)
        if delay_s < MIN_LOGGED_DELAY_S:
            return
        now = self._clock()
        self._delay_s = delay_s
        self._delayed_at = now
        self._state.event_log.write(
            "loop_delayed",
            now,
            seconds=round(delay_s, 3),
            config=None if self._state.catalog is None else self._state.catalog.version,
        )

    def handle_connection_end(self, end: ConnectionEnd, unanswered_bytes: int) -> None:
        """Record why a caller's connection ended, and what was received on it and not answered."""
        self._state.metrics.increment_counter(COUNTERS[end])
        if not unanswered_bytes or end not in IDLE_ENDS:
            return
        now = self._clock()
        self._state.metrics.increment_counter(codes.CONNECTIONS_UNANSWERED)
        self._state.event_log.write(
            "connection_unanswered",
            now,
            end=end.value,
            bytes=unanswered_bytes,
            loop_delay=round(self._delay_s, 3) or None,
            delayed_before=round(now - self._delayed_at, 3) if self._delay_s else None,
        )

    def log_limits(self, config_version: int, limits: TrafficLimits) -> None:
        """Log the limits of callers' connections that are in force from now on."""
        self._state.event_log.write(
            "limits_applied",
            self._clock(),
            config=config_version,
            idle=limits.idle_timeout,
            head=limits.header_timeout,
        )
