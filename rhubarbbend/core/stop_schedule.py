"""The times of a planned stop, and which requests it leaves enough time for."""

from __future__ import annotations

import msgspec


class StopSchedule(msgspec.Struct, frozen=True):
    """When a planned stop began and ends; times of the event loop, in seconds.

    Until `late_from`, the load balancer may still send requests here. What is open at `ends_at` is
    cut, since the process is killed soon after.
    """

    began_at: float
    late_from: float
    ends_at: float

    def leaves_time(self, arrived_at: float, deadline: float) -> bool:
        """Return whether a request may be accepted that arrives during the stop.

        From `late_from` on, only one that ends by its own deadline before the stop does: another
        one could be cut in the middle of its answer, and its caller can still go elsewhere.
        """
        return arrived_at < self.late_from or deadline <= self.ends_at
