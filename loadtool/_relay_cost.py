"""Measures the processor time of relaying one chunk of a stream through an instance.

Two loads have the same number of requests, one with short and one with long answers. The additional
processor time of the instance, divided by the number of additional chunks, is the cost of a chunk
without the cost of a request.
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

REQUESTS_PER_LOAD: Final = 48
MAX_CONCURRENT_STREAMS: Final = 8
SHORT_ANSWER_WORDS: Final = 10
LONG_ANSWER_WORDS: Final = 400
TOKEN_TIME_S: Final = "0.005"


class RelayResult(msgspec.Struct):
    """Processor seconds of the instance for each load, and by how many chunks the loads differ."""

    short_seconds: float
    long_seconds: float
    more_chunks: int

    @property
    def seconds_per_chunk(self) -> float:
        """Processor time of relaying one chunk, in seconds."""
        return (self.long_seconds - self.short_seconds) / self.more_chunks


async def measure_relay() -> RelayResult:
    """Run both loads through one instance to one engine; return their costs."""
    zone = TENGRI.zones[0]
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-relay-") as name:
        async with Cluster(Path(name), [zone]) as cluster:
            await cluster.start_platform()
            instance = await cluster.start_instance("entry-1", zone)
            options = ("--slots", str(MAX_CONCURRENT_STREAMS), "--token-time", TOKEN_TIME_S)
            await cluster.start_engine("engine-1", zone, TENGRI.engine_service, *options)
            await cluster.register()
            await cluster.wait_until_instances_ready()
            await cluster.apply_declarations(TENGRI.declarations)
            await cluster.wait_until_targets_ready()
            # The first requests are not measured: they warm up the code of the instance and let the
            # limit of the engine rise.
            await _run_streams(instance, "warm", SHORT_ANSWER_WORDS)
            short = await _run_streams(instance, "short", SHORT_ANSWER_WORDS)
            long = await _run_streams(instance, "long", LONG_ANSWER_WORDS)
    return RelayResult(short, long, REQUESTS_PER_LOAD * (LONG_ANSWER_WORDS - SHORT_ANSWER_WORDS))


async def _run_streams(instance: Node, name: str, answer_words: int) -> float:
    """Run the requests, a few at once; return the processor seconds of the instance."""
    addresses: list[Address] = [instance.address]
    caller = Caller(lambda: addresses, f"{TENGRI.accounts[0]}-key")
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_STREAMS)

    async def run_one(number: int) -> None:
        async with semaphore:
            chat = Chat(f"{name}-{number}", TENGRI.model)
            chat.add_user_message(f"tell me of plot {number}")
            answer = await caller.send_chat(chat, answer_words)
            if not answer.is_correct:
                raise RuntimeError(
                    f"stream failed: status {answer.status}, code {answer.code}, {answer.failure}"
                )

    before = read_processor_time(instance.process.pid)
    await asyncio.gather(*(run_one(number) for number in range(REQUESTS_PER_LOAD)))
    return read_processor_time(instance.process.pid) - before


def format_relay(result: RelayResult) -> str:
    """Return the result as one line of text."""
    return (
        f"relay of a streamed chunk: {result.seconds_per_chunk * 1e6:.0f} us of processor time "
        f"({result.more_chunks} chunks; {result.short_seconds:.2f} and "
        f"{result.long_seconds:.2f} s for {REQUESTS_PER_LOAD} requests each)"
    )
