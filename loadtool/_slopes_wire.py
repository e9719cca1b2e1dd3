"""Measures real instance processes over sockets at growing sizes.

It measures the cost of relayed chunks, of open streams, and of the control traffic between
instances that have no callers.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final

import attrs

from loadtool._caller import Caller, Chat
from loadtool._cluster import HOST, Cluster, Node
from loadtool._counter_sink import CounterSink, open_sink
from loadtool._processes import ROOT
from loadtool._slopes_fit import Series, fit_line

ZONE: Final = "almaty-a"
MODEL: Final = "camp-large"
CHUNK_COUNTS: Final = [8, 32, 96, 192]
REQUESTS_PER_ROUND: Final = 48
CONCURRENCY: Final = 6
RELAY_ROUNDS: Final = 3
# Every instance reads the instance list every second, so that the cost of one read is measured.
ALL_INSTANCES_READ_SETTING: Final = "zone_readers = 1000"
STREAM_COUNTS: Final = [10, 40, 80, 160]
INSTANCE_COUNTS: Final = [2, 5, 10, 18]
WINDOW_S: Final = 3.0
WINDOW_COUNT: Final = 3
NANOSECONDS_PER_S: Final = 1e9


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds.

    The scheduler counts it in nanoseconds.
    """
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NANOSECONDS_PER_S


def read_resident_bytes(pid: int) -> float:
    """Return the resident memory of a process in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return float(next(line for line in lines if line.startswith("VmRSS")).split()[1]) * 1024


async def _send_chats(
    caller: Caller, prefix: str, count: int, tokens: int, concurrency: int
) -> None:
    semaphore = asyncio.Semaphore(concurrency)

    async def send_chat(number: int) -> None:
        async with semaphore:
            chat = Chat(f"{prefix}-{number}", MODEL)
            chat.add_user_message("which plots are free by the ghat? ")
            answer = await caller.send_chat(chat, tokens)
            if not answer.is_correct:
                raise RuntimeError(
                    f"a measured request failed, expected a complete right answer: {answer}"
                )

    await asyncio.gather(*(send_chat(number) for number in range(count)))


async def _measure_relay(cluster: Cluster, node: Node) -> Series:
    """Measure the processor time per request by the number of chunks in its answer.

    The slope is the cost of one relayed chunk.
    """
    caller = Caller(lambda: [node.address], "pilgrim-groups-key")
    await _send_chats(caller, "warm", REQUESTS_PER_ROUND, 8, CONCURRENCY)
    samples: dict[float, list[float]] = {}
    for round_number in range(RELAY_ROUNDS):
        for chunks in CHUNK_COUNTS:
            before = read_cpu_seconds(node.process.pid)
            await _send_chats(
                caller, f"r{round_number}-{chunks}", REQUESTS_PER_ROUND, chunks, CONCURRENCY
            )
            spent = (read_cpu_seconds(node.process.pid) - before) / REQUESTS_PER_ROUND * 1e6
            samples.setdefault(chunks, []).append(spent)
    return fit_line("chat over sockets, instance", "us", "relayed chunk", samples)


async def _measure_streams(cluster: Cluster, node: Node) -> Series:
    """Measure the resident memory by the number of streams that are open at the same time."""
    caller = Caller(lambda: [node.address], "pilgrim-groups-key")
    samples: dict[float, list[float]] = {}
    for count in STREAM_COUNTS:
        running = asyncio.gather(_send_chats(caller, f"open-{count}", count, 600, count))
        await asyncio.sleep(1.5)
        samples[count] = [read_resident_bytes(node.process.pid)]
        await running
    return fit_line("resident memory, instance", "B", "open stream", samples)


async def measure_relay(folder: Path) -> list[Series]:
    """Measure one instance between callers and one engine; logs go to the folder."""
    async with Cluster(folder, [ZONE]) as cluster:
        await cluster.start_platform()
        options = ("--token-time", "0.002", "--slots", "256")
        await cluster.start_engine("engine-1", ZONE, "planner", *options)
        node = await cluster.start_instance("entry-1", ZONE, "slot_timeout = 5.0")
        await cluster.register()
        await cluster.wait_until_instances_ready()
        await cluster.apply_declarations(ROOT / "examples" / "tengri")
        await cluster.wait_until_targets_ready()
        relay = await _measure_relay(cluster, node)
        return [relay, await _measure_streams(cluster, node)]


@attrs.define(slots=True)
class IdleCost:
    """The cost of control traffic per instance and second, by the number of peers in the zone."""

    cpu_us: dict[float, list[float]] = attrs.Factory(dict)
    peer_bytes: dict[float, list[float]] = attrs.Factory(dict)
    platform_bytes: dict[float, list[float]] = attrs.Factory(dict)


async def _measure_window(cluster: Cluster, sink: CounterSink, cost: IdleCost) -> None:
    """Record the mean over all instances for one window."""
    nodes = list(cluster.instances.values())
    peers = len(nodes) - 1
    spent = sum(read_cpu_seconds(node.process.pid) for node in nodes)
    counters_before = Counter(sink.sum_over_instances())
    await asyncio.sleep(WINDOW_S)
    instance_seconds = len(nodes) * WINDOW_S
    spent = sum(read_cpu_seconds(node.process.pid) for node in nodes) - spent
    total = sink.sum_over_instances()
    cost.cpu_us.setdefault(peers, []).append(spent / instance_seconds * 1e6)
    for name, samples in (("peer", cost.peer_bytes), ("platform", cost.platform_bytes)):
        key = f"control.{name}_bytes"
        samples.setdefault(peers, []).append((total[key] - counters_before[key]) / instance_seconds)


async def measure_idle_zone(folder: Path) -> list[Series]:
    """Measure the control traffic of a growing zone that has no callers."""
    cost = IdleCost()
    sink, port = await open_sink(HOST)
    statsd = f'[statsd]\nhost = "{HOST}"\nport = {port}\n'
    async with Cluster(folder, [ZONE], core_settings=ALL_INSTANCES_READ_SETTING) as cluster:
        await cluster.start_platform()
        for count in INSTANCE_COUNTS:
            new_names = [f"entry-{n}" for n in range(len(cluster.instances), count)]
            await asyncio.gather(*(cluster.start_instance(n, ZONE, statsd) for n in new_names))
            await cluster.register()
            await cluster.wait_until_instances_ready()
            # Ownership has to settle after instances were added, and counters are sent once a
            # second.
            await asyncio.sleep(2.5)
            for _ in range(WINDOW_COUNT):
                await _measure_window(cluster, sink, cost)
    return [
        fit_line("control without callers, processor a second", "us", "zone peer", cost.cpu_us),
        fit_line("control without callers, peers a second", "B", "zone peer", cost.peer_bytes),
        fit_line(
            "control without callers, platform a second", "B", "list entry", cost.platform_bytes
        ),
    ]


async def measure_wire() -> list[Series]:
    """Run all measurements that need real processes and return their series."""
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-slopes-") as name:
        folders = [Path(name) / part for part in ("relay", "idle")]
        for folder in folders:
            folder.mkdir()
        return [*await measure_relay(folders[0]), *await measure_idle_zone(folders[1])]
