"""Count the bytes of an instance's control traffic: peers, platform, load reports and metrics.

Bytes are counted at the sockets, so the totals include pings, HTTP heads and retries, but not the
headers of TCP and IP.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rhubarbbend.shell._metrics import Metrics


class ControlTraffic:
    """Add the increase of running byte totals to the metrics counters."""

    def __init__(self, totals: Mapping[str, Callable[[], int]]) -> None:
        self._totals = totals
        self._recorded = dict.fromkeys(totals, 0)

    def record(self, metrics: Metrics) -> None:
        """Add the bytes transferred since the last call to the counters."""
        for name, read_total in self._totals.items():
            total = read_total()
            if total > self._recorded[name]:
                metrics.add(name, total - self._recorded[name])
                self._recorded[name] = total
