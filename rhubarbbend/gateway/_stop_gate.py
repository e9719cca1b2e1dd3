"""Decides on requests that arrive during a planned stop."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import State


class StopGate:
    """Records the requests that arrive during a planned stop, and refuses some of them."""

    def __init__(self, state: State) -> None:
        self._state = state

    def refuses(self, request: OpenRequest) -> bool:
        """Return whether a request is refused because the stop could cut its answer."""
        stop = self._state.stop
        if stop is None:
            return False
        arrived_at = request.arrived_at
        is_refused = not stop.leaves_time(arrived_at, request.deadline)
        self._state.metrics.increment_counter(codes.REQUESTS_WHILE_STOPPING)
        self._state.event_log.write(
            "arrived_while_stopping",
            arrived_at,
            id=request.id,
            after=round(arrived_at - stop.began_at, 3),
            time_left=round(request.compute_time_left(arrived_at), 3),
            stop_left=round(stop.ends_at - arrived_at, 3),
            refused=is_refused,
        )
        return is_refused
