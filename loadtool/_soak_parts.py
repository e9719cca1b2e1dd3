"""Requests of a soak run whose prompts share parts that crash engines.

No two of them are equal; the part may stand at any place of the prompt but the last. The rules are
those of the users.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from typing import Final

import attrs

from loadtool._gateway_config import KEY
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_caller import SoakCaller
from loadtool._soak_checks import RequestOutcome, RunRecord
from loadtool._soak_crashes import REFUSAL_CODES, read_code
from loadtool._soak_faults import SoakFaultInjector
from standins._worker_types import Arrival

PARTS: Final = ("bad0", "bad1")
# Requests with each of them come for so long, with a mean interval.
SENT_FOR_S: Final = 12.0
MEAN_INTERVAL_S: Final = 0.4
DOWN_S: Final = 2.0
CONTACT_S: Final = 3.0
CRASHES_BEFORE_BOUND: Final = 5
MAX_LATE_RUNS: Final = 3


@attrs.define(slots=True)
class SoakParts:
    """Sends such requests, replaces the engines that they crash, and checks what comes of it."""

    _fleet: GatewayFleet
    _faults: SoakFaultInjector
    _record: RunRecord
    _ready: set[str]
    _random: random.Random
    # The part of each request, by its id.
    _parts: dict[str, str] = attrs.Factory(dict)

    async def run(self, until: float) -> None:
        """Send requests with each of the parts for a while, until a Unix time at most."""
        after_events = self._random.choice((-1, 0, 1))
        await self._fleet.add_default_worker_faults(
            crash_on_parts=list(PARTS), crash_after_events=after_events, crash_delay=0.05
        )
        replacing = asyncio.create_task(self._faults.replace_all_ended(DOWN_S))
        await asyncio.gather(*(self._send_with(part, until) for part in PARTS))
        await asyncio.sleep(2 * DOWN_S)
        replacing.cancel()

    async def _send_with(self, part: str, until: float) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 8.0))
        sendings: list[asyncio.Task[RequestOutcome]] = []
        until = min(until - 2 * DOWN_S, time.time() + SENT_FOR_S)
        while time.time() < until:
            sendings.append(asyncio.create_task(self._send(part, len(self._parts))))
            await asyncio.sleep(self._random.expovariate(1.0 / MEAN_INTERVAL_S))
        await asyncio.gather(*sendings)

    async def _send(self, part: str, number: int) -> RequestOutcome:
        caller = SoakCaller(self._fleet, self._record, self._ready, f"{part} {number}")
        attempt = self._fleet.make_attempt_id()
        self._parts[attempt] = part
        kind = self._random.choice(("chat", "plan"))
        path = f"/{kind}/{part}-{number}/stream"
        body = b"%d" % number
        outcome = RequestOutcome(attempt, kind, "", KEY, path, body, 0.0)
        shared = [f"common:300,{self._random.randrange(20):x}:900", "c0de:80"]
        shared.insert(self._random.randrange(3), f"{part}:200")
        outcome.prompt = ",".join([*shared, f"{number:x}:20"])
        names = sorted(self._ready) or list(self._fleet.instances)
        return await caller.send(outcome, self._random.choice(names))

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        return find_part_violations(self._record, self._parts, self._fleet.read_arrivals())

    def describe(self) -> str:
        """Return the crashes and refusals of the run as a line."""
        crashes = group_runs(self._parts, self._fleet.read_arrivals())
        counts = {part: len({run.worker for run in runs}) for part, runs in crashes.items()}
        sound = [outcome for outcome in self._record.outcomes if outcome.id not in self._parts]
        refused = sum(read_code(outcome.answer) in REFUSAL_CODES for outcome in sound)
        return (
            f"requests with parts that crash engines: {len(self._parts)}, engines ended: "
            f"{counts}, sound requests: {len(sound)}, of them refused for crashes: {refused}"
        )


def group_runs(parts: dict[str, str], arrivals: list[Arrival]) -> dict[str, list[Arrival]]:
    """Return the arrivals that crash an engine by part, in order."""
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if arrival.crashes and arrival.id in parts:
            runs[parts[arrival.id]].append(arrival)
    return runs


def find_part_violations(
    record: RunRecord, parts: dict[str, str], arrivals: list[Arrival]
) -> list[str]:
    """Return a line for each part that ran too often, and one if sound requests were refused.

    A few sound ones may be: a part of theirs may have been at two crashes and at no other engine.
    """
    violations: list[str] = []
    instances = {outcome.id: outcome.instance for outcome in record.outcomes}
    for part, runs in group_runs(parts, arrivals).items():
        ended: dict[str, float] = {}
        for run in runs:
            ended.setdefault(run.worker, run.at)
        if len(ended) < CRASHES_BEFORE_BOUND:
            continue
        bound = sorted(ended.values())[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
        late = sum(
            run.at > bound and record.is_undisturbed(instances.get(run.id, ""), run.at)
            for run in runs
        )
        if late > MAX_LATE_RUNS:
            line = f"part: {part} ran {late} times {CONTACT_S:g} s after its fifth crash"
            violations.append(line)
    sound = [outcome for outcome in record.outcomes if outcome.id not in parts]
    refused = sum(read_code(outcome.answer) in REFUSAL_CODES for outcome in sound)
    if 2 * refused > len(sound):
        violations.append(f"part: {refused} of {len(sound)} sound requests were refused")
    return violations
