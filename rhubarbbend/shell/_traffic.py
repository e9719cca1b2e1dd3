"""Counts the bytes that an instance spends on control: peers, platform, reports, metrics.

Bytes are counted where they pass the sockets, so that pings, heads and retries are in the sum;
headers of TCP and IP are not.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rhubarbbend.shell._metrics import Metrics


class ControlTraffic:
    """Turns running sums of bytes into counters."""

    def __init__(self, sums: Mapping[str, Callable[[], int]]) -> None:
        self._sums = sums
        self._counted = dict.fromkeys(sums, 0)

    def count(self, metrics: Metrics) -> None:
        """Count what has passed since the last call."""
        for name, read in self._sums.items():
            total = read()
            if total > self._counted[name]:
                metrics.add(name, total - self._counted[name])
                self._counted[name] = total
