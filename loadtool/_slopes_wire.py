"""Slopes of real processes over sockets: relaying, open streams, and control without callers."""

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
from loadtool._slopes_fit import Series, fit

ZONE: Final = "almaty-a"
MODEL: Final = "camp-large"
CHUNKS: Final = [8, 32, 96, 192]
REQUESTS: Final = 48
AT_ONCE: Final = 6
RELAY_ROUNDS: Final = 3
# Every instance reads the list every second, to measure what one read costs.
ALL_READ: Final = "zone_readers = 1000"
STREAMS: Final = [10, 40, 80, 160]
PEERS: Final = [2, 5, 10, 18]
WINDOW: Final = 3.0
WINDOWS: Final = 3
NANOSECONDS: Final = 1e9


def read_spent(pid: int) -> float:
    """Give the processor seconds of a process to the nanosecond, as the scheduler counts them."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NANOSECONDS


def read_resident(pid: int) -> float:
    """Give the resident memory of a process in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return float(next(line for line in lines if line.startswith("VmRSS")).split()[1]) * 1024


async def _ask_many(caller: Caller, prefix: str, count: int, tokens: int, at_once: int) -> None:
    gate = asyncio.Semaphore(at_once)

    async def ask(number: int) -> None:
        async with gate:
            chat = Chat(f"{prefix}-{number}", MODEL)
            chat.ask("which plots are free by the ghat? ")
            answer = await caller.ask_chat(chat, tokens)
            if not answer.good:
                raise RuntimeError(f"a measured request failed: {answer}")

    await asyncio.gather(*(ask(number) for number in range(count)))


async def _measure_relay(cluster: Cluster, node: Node) -> Series:
    """Processor time a request against its chunks: the slope is a relayed chunk."""
    caller = Caller(lambda: [node.address], "pilgrim-groups-key")
    await _ask_many(caller, "warm", REQUESTS, 8, AT_ONCE)
    samples: dict[float, list[float]] = {}
    for round_number in range(RELAY_ROUNDS):
        for chunks in CHUNKS:
            before = read_spent(node.process.pid)
            await _ask_many(caller, f"r{round_number}-{chunks}", REQUESTS, chunks, AT_ONCE)
            spent = (read_spent(node.process.pid) - before) / REQUESTS * 1e6
            samples.setdefault(chunks, []).append(spent)
    return fit("chat over sockets, instance", "us", "relayed chunk", samples)


async def _measure_streams(cluster: Cluster, node: Node) -> Series:
    """Resident memory against streams open at once."""
    caller = Caller(lambda: [node.address], "pilgrim-groups-key")
    samples: dict[float, list[float]] = {}
    for count in STREAMS:
        running = asyncio.gather(_ask_many(caller, f"open-{count}", count, 600, count))
        await asyncio.sleep(1.5)
        samples[count] = [read_resident(node.process.pid)]
        await running
    return fit("resident memory, instance", "B", "open stream", samples)


async def measure_relay(folder: Path) -> list[Series]:
    """Measure one instance between callers and one engine."""
    async with Cluster(folder, [ZONE]) as cluster:
        await cluster.start_platform()
        options = ("--token-time", "0.002", "--slots", "256")
        await cluster.start_engine("engine-1", ZONE, "planner", *options)
        node = await cluster.start_instance("entry-1", ZONE, "slot_timeout = 5.0")
        await cluster.register()
        await cluster.wait_ready()
        await cluster.apply(ROOT / "examples" / "tengri")
        await cluster.wait_targets()
        relay = await _measure_relay(cluster, node)
        return [relay, await _measure_streams(cluster, node)]


@attrs.define(slots=True)
class IdleCost:
    """Control without callers, a second of one instance, by the number of zone peers."""

    processor: dict[float, list[float]] = attrs.Factory(dict)
    peer_bytes: dict[float, list[float]] = attrs.Factory(dict)
    platform_bytes: dict[float, list[float]] = attrs.Factory(dict)


async def _measure_window(cluster: Cluster, sink: CounterSink, cost: IdleCost) -> None:
    """Note the mean of all instances over one window."""
    nodes = list(cluster.instances.values())
    peers = len(nodes) - 1
    spent = sum(read_spent(node.process.pid) for node in nodes)
    counted = Counter(sink.sum_over_instances())
    await asyncio.sleep(WINDOW)
    share = len(nodes) * WINDOW
    spent = sum(read_spent(node.process.pid) for node in nodes) - spent
    total = sink.sum_over_instances()
    cost.processor.setdefault(peers, []).append(spent / share * 1e6)
    for name, samples in (("peer", cost.peer_bytes), ("platform", cost.platform_bytes)):
        key = f"control.{name}_bytes"
        samples.setdefault(peers, []).append((total[key] - counted[key]) / share)


async def measure_idle_zone(folder: Path) -> list[Series]:
    """Measure a zone that grows, without callers: all that it does is control."""
    cost = IdleCost()
    sink, port = await open_sink(HOST)
    statsd = f'[statsd]\nhost = "{HOST}"\nport = {port}\n'
    async with Cluster(folder, [ZONE], core_settings=ALL_READ) as cluster:
        await cluster.start_platform()
        for count in PEERS:
            wanted = [f"entry-{n}" for n in range(len(cluster.instances), count)]
            await asyncio.gather(*(cluster.start_instance(n, ZONE, statsd) for n in wanted))
            await cluster.register()
            await cluster.wait_ready()
            # New instances settle their ownership, and counters are sent once a second.
            await asyncio.sleep(2.5)
            for _ in range(WINDOWS):
                await _measure_window(cluster, sink, cost)
    return [
        fit("control without callers, processor a second", "us", "zone peer", cost.processor),
        fit("control without callers, peers a second", "B", "zone peer", cost.peer_bytes),
        fit("control without callers, platform a second", "B", "list entry", cost.platform_bytes),
    ]


async def measure_wire() -> list[Series]:
    """Measure everything that needs real processes."""
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-slopes-") as name:
        folders = [Path(name) / part for part in ("relay", "idle")]
        for folder in folders:
            folder.mkdir()
        return [*await measure_relay(folders[0]), *await measure_idle_zone(folders[1])]
