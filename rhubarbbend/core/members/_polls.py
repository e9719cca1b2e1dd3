"""Reads of the platform that the instances of a zone share between them."""

from __future__ import annotations

from rhubarbbend.core._context import Context


class SharedPoll:
    """Says when it is this instance's turn to read what every instance of its zone follows.

    If each of 80 instances read the list every second, the list alone would cost a node several
    times what control may cost and the platform a fifth of its reads. What one has read, the
    others learn from its heartbeat: who leaves and the configuration's version. An instance that
    hears nobody counts itself alone and reads every time.
    """

    def __init__(self, context: Context, interval: float) -> None:
        self._context = context
        self._interval = interval
        self._read_at = -1.0

    def take_turn(self, now: float) -> bool:
        """Whether to read now; noted as read if so."""
        context = self._context
        live = len(context.fleet.list_live(context.identity.zone))
        spread = max(1.0, live / max(1, context.options.zone_readers))
        if self._read_at >= 0 and now - self._read_at < (spread - 1.0) * self._interval:
            return False
        self._read_at = now
        return True
