"""The bytes that instances spend on control arrive as counters."""

from __future__ import annotations

from pathlib import Path

from loadtool._counters import open_sink
from rhubarbbend import codes
from tests.fleet.harness import run, start_fleet, wait_until

CONTROL = (
    codes.CONTROL_PEERS,
    codes.CONTROL_PLATFORM,
    codes.CONTROL_TARGETS,
    codes.CONTROL_METRICS,
)


def test_each_kind_of_control_traffic_is_counted(tmp_path: Path) -> None:
    # Nobody calls. Every instance still talks to peers, the platform and its targets, and sends
    # counters; an operator who watches only requests would not see what that costs.
    async def work() -> None:
        sink, port = await open_sink("127.0.0.1")
        statsd = f'[statsd]\nhost = "127.0.0.1"\nport = {port}\n'
        async with start_fleet(tmp_path, core_settings=statsd) as cluster:

            async def check() -> bool:
                seen = [sink.by_instance.get(name, {}) for name in cluster.instances]
                return all(counters.get(kind, 0) > 0 for counters in seen for kind in CONTROL)

            await wait_until("control counters of every instance", check)

    run(work)
