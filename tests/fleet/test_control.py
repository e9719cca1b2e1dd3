"""Instances report the bytes of their control traffic as counters."""

from __future__ import annotations

from pathlib import Path

from loadtool._counter_sink import open_sink
from rhubarbbend import codes
from tests.fleet.harness import run_with_timeout, start_fleet, wait_until

CONTROL_COUNTERS = (
    codes.CONTROL_PEERS,
    codes.CONTROL_PLATFORM,
    codes.CONTROL_TARGETS,
    codes.CONTROL_METRICS,
)


def test_each_kind_of_control_traffic_is_counted(tmp_path: Path) -> None:
    # Without any caller, every instance still exchanges messages with peers, the platform and its
    # targets, and sends counters. Counters of requests alone would not show this traffic.
    async def work() -> None:
        sink, port = await open_sink("127.0.0.1")
        statsd = f'[statsd]\nhost = "127.0.0.1"\nport = {port}\n'
        async with start_fleet(tmp_path, core_settings=statsd) as cluster:

            async def all_counted() -> bool:
                counters_of_instances = [
                    sink.counters_by_instance.get(name, {}) for name in cluster.instances
                ]
                return all(
                    counters.get(kind, 0) > 0
                    for counters in counters_of_instances
                    for kind in CONTROL_COUNTERS
                )

            await wait_until("every instance has sent all control traffic counters", all_counted)

    run_with_timeout(work)
