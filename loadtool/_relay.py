"""Processor time of relaying one chunk of a stream through an instance.

Two loads with the same number of requests, one with short and one with long answers: what the
instance uses more for the long ones, over the chunks more, is the cost of a chunk alone.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Final

import msgspec

from loadtool._caller import Address, Caller, Chat
from loadtool._cluster import Cluster, Node
from loadtool._deployments import TENGRI
from loadtool._samples import read_processor_time

REQUESTS: Final = 48
AT_ONCE: Final = 8
SHORT_WORDS: Final = 10
LONG_WORDS: Final = 400
TOKEN_TIME: Final = "0.005"


class RelayResult(msgspec.Struct):
    """Processor seconds of the instance for each load, and the chunks between them."""

    short_seconds: float
    long_seconds: float
    more_chunks: int

    @property
    def per_chunk(self) -> float:
        """Processor seconds of one chunk."""
        return (self.long_seconds - self.short_seconds) / self.more_chunks


async def measure_relay() -> RelayResult:
    """Run one instance and one engine; gives what a chunk costs."""
    zone = TENGRI.zones[0]
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-relay-") as name:
        async with Cluster(Path(name), [zone]) as cluster:
            await cluster.start_platform()
            instance = await cluster.start_instance("entry-1", zone)
            options = ("--slots", str(AT_ONCE), "--token-time", TOKEN_TIME)
            await cluster.start_engine("engine-1", zone, TENGRI.engine_service, *options)
            await cluster.register()
            await cluster.wait_ready()
            await cluster.apply(TENGRI.declarations)
            await cluster.wait_targets()
            # The first requests warm the instance's code and the engine's limit.
            await _run_streams(instance, "warm", SHORT_WORDS)
            short = await _run_streams(instance, "short", SHORT_WORDS)
            long = await _run_streams(instance, "long", LONG_WORDS)
    return RelayResult(short, long, REQUESTS * (LONG_WORDS - SHORT_WORDS))


async def _run_streams(instance: Node, name: str, words: int) -> float:
    """Run the requests, a few at once; gives the instance's processor seconds."""
    addresses: list[Address] = [instance.address]
    caller = Caller(lambda: addresses, f"{TENGRI.accounts[0]}-key")
    gate = asyncio.Semaphore(AT_ONCE)

    async def run_one(number: int) -> None:
        async with gate:
            chat = Chat(f"{name}-{number}", TENGRI.model)
            chat.ask(f"tell me of plot {number}")
            answer = await caller.ask_chat(chat, words)
            if not answer.good:
                raise RuntimeError(f"stream failed: {answer.status} {answer.code} {answer.failure}")

    before = read_processor_time(instance.process.pid)
    await asyncio.gather(*(run_one(number) for number in range(REQUESTS)))
    return read_processor_time(instance.process.pid) - before


def show_relay(result: RelayResult) -> str:
    """Show the result as one line."""
    return (
        f"relay of a streamed chunk: {result.per_chunk * 1e6:.0f} us of processor time "
        f"({result.more_chunks} chunks; {result.short_seconds:.2f} and "
        f"{result.long_seconds:.2f} s for {REQUESTS} requests each)"
    )
