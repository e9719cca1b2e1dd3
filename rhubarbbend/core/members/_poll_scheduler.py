"""Scheduling of platform polls that the instances of an availability zone share."""

from __future__ import annotations

from rhubarbbend.core._context import Context


class ZonePollScheduler:
    """Decides when this instance polls data that every instance of its zone needs.

    If each of 80 instances read the member list every second, the list alone would take several
    times a node's budget for control traffic and a fifth of the reads that the platform can serve.
    The other instances learn the results from heartbeats: the leaving targets and the version of
    the configuration. An instance that receives no heartbeats regards itself as alone in its zone
    and polls every time.
    """

    def __init__(self, context: Context, interval: float) -> None:
        self._context = context
        self._interval = interval
        self._turn_acquired_at = -1.0

    def acquire_turn(self, now: float) -> bool:
        """Return whether to poll now, and if so record the time.

        Call it once in each `interval`, given in seconds. With more live instances in the zone
        than `zone_readers`, the turns of an instance are proportionally further apart.
        """
        context = self._context
        live_count = len(context.fleet.list_live(context.identity.zone))
        intervals_per_turn = max(1.0, live_count / max(1, context.options.zone_readers))
        if (
            self._turn_acquired_at >= 0
            and now - self._turn_acquired_at < (intervals_per_turn - 1.0) * self._interval
        ):
            return False
        self._turn_acquired_at = now
        return True
