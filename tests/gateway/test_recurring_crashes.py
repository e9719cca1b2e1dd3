"""Requests that crash their targets and come back, at any pace and in several copies at once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Final

import attrs
import pytest

from tests.gateway.harness import KEY, ZONES, GatewayFleet, Reply, run, start_fleet

INSTANCES: Final = 6
TARGETS: Final = 3
# What the incident shows: a run until the crash, and the time until a target is replaced.
CRASH_DELAY_S: Final = 0.1
RETURN_S: Final = 3.2
# Three times the interval at which targets write their entries.
ENTRY_LIFETIME_S: Final = 3.6
POISON: Final = b"poison"
# From the rule on requests that crash the targets that run them.
CONTACT_S: Final = 3.0
MAX_LATE_RUNS: Final = 3
# Two crashes show the cause, and a third one may overtake the notice of the second.
MAX_CRASHES: Final = 3
# From the rule on parts of prompts: what is sent after the fifth crash counts.
MAX_PART_CRASHES: Final = 5


@attrs.define(slots=True, frozen=True)
class Recurrence:
    """How a request comes back: `copies` at once, then again after each of `gaps`, in seconds."""

    gaps: tuple[float, ...]
    copies: int = 1
    path: str = "/book/x"
    keys: tuple[str, ...] = (KEY,)
    # Whether it comes to the same instances each time.
    stays: bool = False
    # Whether the store removes the entries of targets that send nothing.
    expires: bool = False
    # A part that is in its prompt, which is another one each time.
    part: str = ""
    # Whether targets fall silent instead of ending, and accept no connections.
    silences: bool = False

    @property
    def max_crashes(self) -> int:
        """Copies that are in flight together cannot be known; one more may be a trial."""
        if self.part:
            return MAX_PART_CRASHES
        return MAX_CRASHES if self.copies == 1 else max(MAX_CRASHES, self.copies) + 1


RECURRENCES: Final = {
    "every 4 s": Recurrence((4.0,) * 4),
    "every 4 s to one instance": Recurrence((4.0,) * 4, stays=True),
    "every 2 s": Recurrence((2.0,) * 5),
    "a stream every 4 s": Recurrence((4.0,) * 4, path="/plan/stream"),
    "a read every 5 s": Recurrence((5.0,) * 3, path="/read/x"),
    "three copies": Recurrence((7.8, 3.5, 4.0), copies=3),
    "three copies, entries expire": Recurrence((7.8, 3.5, 4.0), copies=3, expires=True),
    "six copies": Recurrence((7.8, 3.5, 4.0), copies=6),
    "three copies, after the refusal": Recurrence((7.8, 31.0, 4.0), copies=3),
    "two keys of its account in turn": Recurrence((0.6,) * 7, keys=(KEY, "second-key")),
    "every 2 s, targets fall silent": Recurrence((2.0,) * 4, silences=True),
    "a stream every 2 s, targets fall silent": Recurrence(
        (2.0,) * 4, path="/plan/stream", silences=True
    ),
    "a part every 3 s": Recurrence((3.0,) * 5, path="/plan/stream", part="bad0"),
}


class CrashingTargets:
    """The targets of a fleet, each replaced by another one `RETURN_S` after it has crashed."""

    def __init__(self, fleet: GatewayFleet, recurrence: Recurrence) -> None:
        self._fleet = fleet
        self._recurrence = recurrence
        self._replacing: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start the targets of both services."""
        parts = [self._recurrence.part] if self._recurrence.part else []
        await self._fleet.set_default_worker_faults(
            crash_on=POISON.decode(),
            crash_on_parts=parts,
            crash_delay=CRASH_DELAY_S,
            crash_silently=self._recurrence.silences,
        )
        for number in range(TARGETS):
            for service in ("plain", "llm"):
                await self._start(f"{service}-{number}", service, ZONES[number])

    async def _start(self, name: str, service: str, zone: str) -> None:
        await self._fleet.start_worker(name, service, zone, self._recurrence.silences)

    async def replace_all(self) -> None:
        """Replace each target that ends, until this is cancelled."""
        while True:
            for name in self._list_ended():
                if name not in self._replacing:
                    self._replacing[name] = asyncio.create_task(self._replace(name))
            await asyncio.sleep(0.02)

    async def _replace(self, name: str) -> None:
        node = self._fleet.workers[name]
        if self._recurrence.silences:
            await asyncio.sleep(CRASH_DELAY_S)
            port = node.advertised_port
            await self._fleet.set_route_faults(port, blackhole=True, listening="silent")
        await asyncio.sleep(RETURN_S)
        await self._start(f"{name}-next", node.service, node.zone)
        if self._recurrence.expires:
            await asyncio.sleep(ENTRY_LIFETIME_S - RETURN_S)
            await self._fleet.write_row("servers", name, None)

    def list_runs(self) -> list[float]:
        """Return when requests arrived that crashed a target, in order."""
        return sorted(arrival.at for arrival in self._fleet.read_arrivals() if arrival.crashes)

    def count_ended(self) -> int:
        return len(self._list_ended())

    def _list_ended(self) -> set[str]:
        if self._recurrence.silences:
            return {arrival.worker for arrival in self._fleet.read_arrivals() if arrival.crashes}
        return {n for n, node in self._fleet.workers.items() if not node.process.running}


async def send_copies(fleet: GatewayFleet, recurrence: Recurrence, number: int) -> list[Reply]:
    """Send the copies of one time, each to an instance of its own."""
    first = 0 if recurrence.stays else 2 * number
    fronts = [(first + copy) % INSTANCES for copy in range(recurrence.copies)]
    headers = {"X_Api_Key": recurrence.keys[number % len(recurrence.keys)]}
    body = POISON
    if recurrence.part:
        headers["Prefix_Hash"] = f"11aa:300,{recurrence.part}:150,{number + 4096:x}:20"
        body = b"number %d" % number
    sendings = (
        fleet.send_request(recurrence.path, body, f"front-{front}", **headers) for front in fronts
    )
    return await asyncio.gather(*sendings)


def count_late_runs(runs: list[float]) -> int:
    return sum(at > runs[2] + CONTACT_S for at in runs[3:])


# Guards against losses of targets that count no longer after some time, though nothing showed that
# the targets went on, and against trials that each instance makes for itself.
@pytest.mark.parametrize("name", RECURRENCES)
def test_a_request_that_comes_back_crashes_few_targets(tmp_path: Path, name: str) -> None:
    recurrence = RECURRENCES[name]

    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=INSTANCES, plain_worker_count=0, engine_worker_count=0
        ) as fleet:
            targets = CrashingTargets(fleet, recurrence)
            await targets.start()
            await asyncio.sleep(0.5)
            replacing = asyncio.create_task(targets.replace_all())
            replies: list[Reply] = []
            ends: list[int] = []
            for number, gap in enumerate((*recurrence.gaps, 1.0)):
                replies = await send_copies(fleet, recurrence, number)
                await asyncio.sleep(gap)
                ends.append(targets.count_ended())
            replacing.cancel()
            assert ends[-1] <= recurrence.max_crashes, ends
            assert count_late_runs(targets.list_runs()) <= MAX_LATE_RUNS
            assert all(reply.status == 503 for reply in replies), replies

    run(work, timeout=110.0)
