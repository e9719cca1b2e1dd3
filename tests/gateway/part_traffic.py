"""Callers whose prompts share parts, some of which crash each engine that answers on them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from tests.gateway.harness import GatewayFleet, Reply

# Down time of an engine that has crashed.
DOWN_S: Final = 1.5
REFUSAL_CODE: Final = b"crashes_targets"
FIRST_PART: Final = "11aa:300"

MakePrompt = Callable[[str, int], str]


def put_in_the_middle(part: str, number: int) -> str:
    """Return a prompt with a part between the first one and those of its own."""
    return f"{FIRST_PART},{part}:150,33cc:100,{number + 4096:x}:20"


def put_first(part: str, number: int) -> str:
    """Return a prompt that begins with a part."""
    return f"{part}:150,33cc:100,{number + 4096:x}:20"


def put_deep(part: str, number: int) -> str:
    """Return a prompt with a part behind many others."""
    others = ",".join(f"{n:04x}:10" for n in range(40))
    return f"{FIRST_PART},{others},{part}:150,{number + 4096:x}:20"


@attrs.define(slots=True)
class Sending:
    """One request: the part that its prompt holds, and what its caller got."""

    part: str
    instance: str
    number: int
    reply: Reply = attrs.Factory(Reply)

    @property
    def is_refused(self) -> bool:
        return REFUSAL_CODE in self.reply.body

    @property
    def is_served(self) -> bool:
        return self.reply.status == 200 and self.reply.complete


class PartTraffic:
    """Sends requests of which no two are equal. `parts` crash engines, `sound` does not."""

    def __init__(
        self, fleet: GatewayFleet, parts: Sequence[str], make_prompt: MakePrompt, seed: int = 1
    ) -> None:
        self.sound = "22bb"
        self.sendings: list[Sending] = []
        self._fleet = fleet
        self._parts = parts
        self._make_prompt = make_prompt
        self._random = random.Random(seed)
        self._replaced: set[str] = set()

    async def run(
        self,
        path: str,
        duration_s: float,
        rate: float = 10.0,
        share: float = 0.35,
        instances: Sequence[str] = (),
    ) -> None:
        """Send `rate` requests a second, `share` of them with a part that crashes engines."""
        names = instances or list(self._fleet.instances)
        replacing = asyncio.create_task(self.replace_crashed())
        tasks: list[asyncio.Task[None]] = []
        for _ in range(int(duration_s * rate)):
            is_sound = self._random.random() >= share
            part = self.sound if is_sound else self._random.choice(self._parts)
            tasks.append(asyncio.create_task(self.send(path, part, self._random.choice(names))))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)
        replacing.cancel()

    async def send(self, path: str, part: str, instance: str, **headers: str) -> None:
        """Send one request with a part."""
        sending = Sending(part, instance, len(self.sendings))
        self.sendings.append(sending)
        prompt = self._make_prompt(part, sending.number)
        sending.reply = await self._fleet.send_request(
            path, b"body %d" % sending.number, instance, Prefix_Hash=prompt, **headers
        )

    async def replace_crashed(self) -> None:
        """Start another engine some time after one has ended."""
        waiting: set[asyncio.Task[None]] = set()
        while True:
            for name, node in list(self._fleet.workers.items()):
                if (
                    node.service == "llm"
                    and not node.process.running
                    and name not in self._replaced
                ):
                    self._replaced.add(name)
                    task = asyncio.create_task(self._replace(f"{name}-next", node.zone))
                    waiting.add(task)
                    task.add_done_callback(waiting.discard)
            await asyncio.sleep(0.02)

    async def _replace(self, name: str, zone: str) -> None:
        await asyncio.sleep(DOWN_S)
        await self._fleet.start_worker(name, "llm", zone)

    def list_sound(self, since: int = 0) -> list[Sending]:
        """Return the requests without a part that crashes engines, from a number on."""
        return [s for s in self.sendings if s.part not in self._parts and s.number >= since]


def list_crash_times(fleet: GatewayFleet) -> list[float]:
    """Return when engines were first reached by requests that crash them, in order."""
    first: dict[str, float] = {}
    for arrival in fleet.read_arrivals():
        if arrival.crashes:
            first[arrival.worker] = min(arrival.at, first.get(arrival.worker, arrival.at))
    return sorted(first.values())


def list_run_times(fleet: GatewayFleet) -> list[float]:
    """Return when requests arrived that crash engines, in order."""
    return sorted(arrival.at for arrival in fleet.read_arrivals() if arrival.crashes)
