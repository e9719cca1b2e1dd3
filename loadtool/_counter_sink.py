"""A statsd server that sums the counters which instances send over UDP."""

from __future__ import annotations

import asyncio
from collections import Counter

from rhubarbbend.settings import StatsdSettings

PREFIX = StatsdSettings().prefix + "."


class CounterSink(asyncio.DatagramProtocol):
    """Receives statsd datagrams and sums their counters by instance and name."""

    def __init__(self) -> None:
        self.counters_by_instance: dict[str, Counter[str]] = {}

    def datagram_received(self, data: bytes, address: object) -> None:
        """Add the counters of one datagram; lines of other kinds and invalid ones are ignored."""
        for line in data.decode("ascii", "replace").splitlines():
            name, _, rest = line.removeprefix(PREFIX).partition(":")
            value, _, kind = rest.partition("|")
            instance, _, counter = name.partition(".")
            if kind == "c" and value.lstrip("-").isdigit():
                self.counters_by_instance.setdefault(instance, Counter())[counter] += int(value)

    def sum_over_instances(self) -> Counter[str]:
        """Return the counters by name, summed over all instances."""
        total: Counter[str] = Counter()
        for counters in self.counters_by_instance.values():
            total.update(counters)
        return total


async def open_sink(host: str) -> tuple[CounterSink, int]:
    """Listen on a free UDP port of a host; return the sink and the port."""
    loop = asyncio.get_running_loop()
    transport, sink = await loop.create_datagram_endpoint(CounterSink, local_addr=(host, 0))
    return sink, int(transport.get_extra_info("sockname")[1])
