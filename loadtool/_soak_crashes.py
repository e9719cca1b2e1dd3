"""Requests of a soak run that crash the targets that run them, and the checks on both sides.

Each such request comes again and again, in one of several ways, while other callers send sound
requests. A target that has crashed is replaced some seconds later.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import defaultdict
from typing import Any, Final

import attrs

from loadtool._gateway_config import KEY
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_caller import REQUEST_KINDS, SoakCaller
from loadtool._soak_checks import RequestOutcome, RunRecord
from loadtool._soak_faults import SoakFaultInjector
from standins._worker_types import Arrival

CRASH_TRIGGER: Final = "poison"
# Mean time between the first sendings of two such requests, and for how long each is repeated at
# least; a slow one comes four times at least.
MEAN_INTERVAL_S: Final = 3.0
REPEATED_FOR_S: Final = 8.0
MIN_REPEATS: Final = 4
MAX_REPEATS: Final = 60
# Down time of a crashed target.
DOWN_S: Final = 2.0
# From the users' rule: requests that may still run later than `CONTACT_S` after the third crash.
CONTACT_S: Final = 3.0
MAX_LATE_ARRIVALS: Final = 3
# Sound requests that take longer are told as late.
LATE_S: Final = 1.0


@attrs.define(slots=True, frozen=True)
class Repetition:
    """How a request comes again: `callers` send it, and each waits after an answer."""

    callers: int
    pause_s: float
    # Whether they all send it at the same moment each time.
    is_together: bool = False


WAYS: Final = (
    Repetition(1, 0.0),
    Repetition(1, 0.1),
    Repetition(3, 0.0),
    Repetition(2, 0.5),
    Repetition(1, 1.0),
    Repetition(1, 2.0),
    Repetition(1, 4.0),
    Repetition(3, 4.0, is_together=True),
)
REFUSAL_CODES: Final = frozenset({"crashes_targets", "part_crashes_targets"})


@attrs.define(slots=True)
class CrashingRequest:
    """A request that crashes targets: its kind and path, and what its callers got."""

    kind: str
    path: str
    repetition: Repetition
    outcomes: list[RequestOutcome] = attrs.Factory(list)


class SoakCrashes:
    """Sends such requests, replaces the targets that they crash, and checks what comes of it."""

    def __init__(
        self,
        fleet: GatewayFleet,
        faults: SoakFaultInjector,
        record: RunRecord,
        ready: set[str],
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._faults = faults
        self._record = record
        self._ready = ready
        self._random = random.Random(f"crashes {seed}")
        self._requests: list[CrashingRequest] = []

    async def run(self, until: float) -> None:
        """Send such requests until a Unix time."""
        after_events = self._random.choice((-1, 0, 2))
        faults: dict[str, Any] = {"crash_on": CRASH_TRIGGER, "crash_after_events": after_events}
        await self._fleet.add_default_worker_faults(**faults)
        replacing = asyncio.create_task(self._faults.replace_all_ended(DOWN_S))
        sendings: list[asyncio.Task[None]] = []
        while time.time() < until - REPEATED_FOR_S:
            sendings.append(asyncio.create_task(self._send_repeatedly(len(sendings), until)))
            await asyncio.sleep(self._random.expovariate(1.0 / MEAN_INTERVAL_S))
        await asyncio.gather(*sendings)
        await asyncio.sleep(2 * DOWN_S)
        replacing.cancel()

    async def _send_repeatedly(self, number: int, latest: float) -> None:
        kind = self._random.choice(REQUEST_KINDS)
        path = f"/{kind}/{CRASH_TRIGGER}-{number}" + ("/stream" if kind in ("chat", "plan") else "")
        repetition = self._random.choice(WAYS)
        request = CrashingRequest(kind, path, repetition)
        self._requests.append(request)
        duration_s = max(REPEATED_FOR_S, MIN_REPEATS * repetition.pause_s)
        until = min(latest, time.time() + duration_s)
        barrier = asyncio.Barrier(repetition.callers if repetition.is_together else 1)
        await asyncio.gather(
            *(
                self._repeat(request, f"{number}-{n}", until, barrier)
                for n in range(repetition.callers)
            )
        )

    async def _repeat(
        self, request: CrashingRequest, seed: str, until: float, barrier: asyncio.Barrier
    ) -> None:
        caller = SoakCaller(self._fleet, self._record, self._ready, seed)
        for _ in range(MAX_REPEATS):
            try:
                await barrier.wait()
            except asyncio.BrokenBarrierError:
                return
            if time.time() >= until:
                break
            await self._send_once(request, caller)
        await barrier.abort()

    async def _send_once(self, request: CrashingRequest, caller: SoakCaller) -> None:
        attempt = self._fleet.make_attempt_id()
        outcome = RequestOutcome(
            attempt, request.kind, "", KEY, request.path, CRASH_TRIGGER.encode(), 0.0
        )
        names = sorted(self._ready) or list(self._fleet.instances)
        await caller.send(outcome, self._random.choice(names))
        request.outcomes.append(outcome)
        # A refusal comes so fast that the repeats would be over before the rule binds.
        is_refused = outcome.status in (0, 503)
        await asyncio.sleep(max(request.repetition.pause_s, 0.1 if is_refused else 0.0))

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        paths = {request.path for request in self._requests}
        return find_crash_violations(self._record, paths, self._fleet.read_arrivals())

    def describe(self) -> str:
        """Return the crashes and refusals of the run as a line."""
        paths = {request.path for request in self._requests}
        crashes = _group_crashes(self._fleet.read_arrivals())
        counts = [len(crashes[request.path]) for request in self._requests]
        sound = [outcome for outcome in self._record.outcomes if outcome.path not in paths]
        late = sum(o.status == 200 and o.ended_at - o.sent_at > LATE_S for o in sound)
        refused = len(_list_refused(self._record, paths))
        return (
            f"crashing requests: {len(paths)}, crashes of each: {counts}, sound requests: "
            f"{len(sound)}, of them refused for crashes: {refused}, later than {LATE_S:g} s: {late}"
        )


def find_crash_violations(
    record: RunRecord, crashing_paths: set[str], arrivals: list[Arrival]
) -> list[str]:
    """Return a line for each request that crashed too many, and for each sound one refused."""
    violations: list[str] = []
    for path, crashes in _group_crashes(arrivals).items():
        late = _count_late(record, crashes)
        if late > MAX_LATE_ARRIVALS:
            violations.append(
                f"crashing: {path} ran {late} times from {CONTACT_S:g} s after its third crash on"
            )
    refused = _list_refused(record, crashing_paths)
    return [*violations, *(f"suspect: {path} was refused" for path in refused)]


def _group_crashes(arrivals: list[Arrival]) -> dict[str, list[Arrival]]:
    """Return the arrivals that crashed a target, by path and in order."""
    crashes: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if arrival.crashes:
            crashes[arrival.target].append(arrival)
    return crashes


def _count_late(record: RunRecord, crashes: list[Arrival]) -> int:
    """Count the crashes later than `CONTACT_S` after the third, at undisturbed instances."""
    instances = {outcome.id: outcome.instance for outcome in record.outcomes}
    return sum(
        crash.at > crashes[2].at + CONTACT_S
        and record.is_undisturbed(instances[crash.id], crash.at)
        for crash in crashes[3:]
    )


def _list_refused(record: RunRecord, crashing_paths: set[str]) -> list[str]:
    """Return the paths of sound requests that were refused for crashes."""
    return [
        outcome.path
        for outcome in record.outcomes
        if outcome.path not in crashing_paths and read_code(outcome.answer) in REFUSAL_CODES
    ]


def read_code(answer: bytes) -> str:
    """Return the code of an error that the fleet answered with; empty for any other answer."""
    try:
        return str(json.loads(answer).get("code", ""))
    except (ValueError, AttributeError):
        return ""
