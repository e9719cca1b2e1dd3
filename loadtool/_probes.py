"""Measures the latency that the fleet adds, with pairs of short streamed requests.

One request of a pair goes through the fleet, the other directly to an engine.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import attrs

from loadtool._caller import Answer, Caller, Chat
from loadtool._fleet import MeasuredFleet
from loadtool._histograms import Histogram

PAIR_INTERVAL_S: Final = 0.15
PROBE_ANSWER_WORDS: Final = 6
PROBE_TEXT: Final = "a short question that no cache holds "


@attrs.define(slots=True)
class PathLatencies:
    """Times to the first byte and between chunks on one path to the engines."""

    first_byte: Histogram = attrs.Factory(Histogram)
    gap: Histogram = attrs.Factory(Histogram)

    def record_answer(self, answer: Answer) -> None:
        """Record the times of an answer; ignore one that is incomplete or not right."""
        if answer.is_correct:
            self.first_byte.record(answer.first_byte)
            for gap in answer.chunk_gaps[: PROBE_ANSWER_WORDS - 1]:
                self.gap.record(gap)


class PairedProbes:
    """Sends the pairs. Both paths pass the same proxy, which adds the callers' latency."""

    def __init__(self, fleet: MeasuredFleet, now: Callable[[], float], seed: int) -> None:
        self.fleet_times = PathLatencies()
        self.direct_times = PathLatencies()
        self._fleet = fleet
        self._now = now
        self._rng = random.Random(f"{seed}/probes")
        self._sent = 0

    async def run(self, begin: float, end: float) -> None:
        """Send pairs between two times in seconds since the load began."""
        await asyncio.sleep(max(0.0, begin - self._now()))
        while self._now() < end:
            await self._send_pair()
            await asyncio.sleep(PAIR_INTERVAL_S)

    async def _send_pair(self) -> None:
        """Send one request on each path, in random order so that neither is always the first."""
        fleet = self._fleet
        engine = self._rng.choice(fleet.list_engines())
        paths = [
            (self.fleet_times, self._rng.choice(fleet.list_caller_addresses())),
            (self.direct_times, fleet.caller_addresses[engine.id]),
        ]
        self._rng.shuffle(paths)
        account = fleet.deployment.accounts[0]
        caller = Caller(fleet.list_caller_addresses, f"{account}-key")
        for times, address in paths:
            self._sent += 1
            chat = Chat(f"probe-{self._sent}", fleet.deployment.model)
            chat.add_user_message(f"{PROBE_TEXT}{self._sent}")
            times.record_answer(await caller.send_chat(chat, PROBE_ANSWER_WORDS, address=address))
