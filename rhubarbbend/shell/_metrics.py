"""Counters to statsd, summed over an interval so that counting costs no system call."""

from __future__ import annotations

from collections import Counter

from statsd import StatsClient

from rhubarbbend.settings import StatsdSettings


class Metrics:
    """Sums of counters since the last send, and since the start."""

    def __init__(self, settings: StatsdSettings, instance: str) -> None:
        self.totals: Counter[str] = Counter()
        self._fresh: Counter[str] = Counter()
        self._client: StatsClient | None = None
        self._prefix = f"{settings.prefix}.{instance}"
        # Bytes sent.
        self.traffic = 0
        if settings.host:
            self._client = StatsClient(settings.host, settings.port, prefix=self._prefix)

    def add(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += by
        self._fresh[name] += by

    def send(self) -> None:
        """Send what was counted since the last send."""
        fresh, self._fresh = self._fresh, Counter()
        if self._client is None or not fresh:
            return
        with self._client.pipeline() as pipe:
            for name, by in fresh.items():
                pipe.incr(name, by)
                self.traffic += len(f"{self._prefix}.{name}:{by}|c\n")
