"""Counters sent to statsd, summed over an interval so that counting needs no system call."""

from __future__ import annotations

from collections import Counter

from statsd import StatsClient

from rhubarbbend.settings import StatsdSettings


class Metrics:
    """Counters: their totals since the start, and their increments since the last send."""

    def __init__(self, settings: StatsdSettings, instance: str) -> None:
        self.totals: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
        self._client: StatsClient | None = None
        self._prefix = f"{settings.prefix}.{instance}"
        # Bytes sent to statsd.
        self.traffic = 0
        if settings.host:
            self._client = StatsClient(settings.host, settings.port, prefix=self._prefix)

    def add(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self.totals[name] += amount
        self._unsent[name] += amount

    def send(self) -> None:
        """Send the increments since the last send."""
        unsent, self._unsent = self._unsent, Counter()
        if self._client is None or not unsent:
            return
        with self._client.pipeline() as pipe:
            for name, amount in unsent.items():
                pipe.incr(name, amount)
                self.traffic += len(f"{self._prefix}.{name}:{amount}|c\n")
