"""Short streamed requests in pairs: one through the fleet, one straight to an engine."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

import attrs

from loadtool._caller import Answer, Caller, Chat
from loadtool._fleet import MeasuredFleet
from loadtool._histograms import Histogram

PAIR_INTERVAL: Final = 0.15
PROBE_WORDS: Final = 6
PROBE_TEXT: Final = "a short question that no cache holds "


@attrs.define(slots=True)
class PathTimes:
    """Times of one way to the engines."""

    first: Histogram = attrs.Factory(Histogram)
    gap: Histogram = attrs.Factory(Histogram)

    def add(self, answer: Answer) -> None:
        """Count a whole answer's times."""
        if answer.good:
            self.first.add(answer.first_byte)
            for gap in answer.gaps[: PROBE_WORDS - 1]:
                self.gap.add(gap)


class PairedProbes:
    """Sends the pairs. Both ways pass the same proxy with the callers' latency."""

    def __init__(self, fleet: MeasuredFleet, now: Callable[[], float], seed: int) -> None:
        self.fleet_times = PathTimes()
        self.direct_times = PathTimes()
        self._fleet = fleet
        self._now = now
        self._rng = random.Random(f"{seed}/probes")
        self._sent = 0

    async def run(self, begin: float, end: float) -> None:
        """Send pairs between two times of the run."""
        await asyncio.sleep(max(0.0, begin - self._now()))
        while self._now() < end:
            await self._send_pair()
            await asyncio.sleep(PAIR_INTERVAL)

    async def _send_pair(self) -> None:
        """Send one of each, in an order that changes, so that neither goes always first."""
        fleet = self._fleet
        engine = self._rng.choice(fleet.list_engines())
        ways = [
            (self.fleet_times, self._rng.choice(fleet.list_caller_addresses())),
            (self.direct_times, fleet.caller_addresses[engine.id]),
        ]
        self._rng.shuffle(ways)
        account = fleet.deployment.accounts[0]
        caller = Caller(fleet.list_caller_addresses, f"{account}-key")
        for times, address in ways:
            self._sent += 1
            chat = Chat(f"probe-{self._sent}", fleet.deployment.model)
            chat.ask(f"{PROBE_TEXT}{self._sent}")
            times.add(await caller.ask_chat(chat, PROBE_WORDS, address=address))
