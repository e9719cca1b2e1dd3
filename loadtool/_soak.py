"""`make soak`: a randomised run of faults over a fleet on the users' platform, and its checks.

Real processes, faults only from outside: signals, a proxy, and what the stand-ins of store and
targets do. Callers keep their connections open until the process at the other end is gone.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs

from loadtool._gateway_fleet import ACCOUNT, HOST, KEY, ZONES, Fleet, start_fleet
from loadtool._soak_checks import Outcome, Record, count_outcomes, find_broken
from loadtool._soak_faults import SECOND_KEY, SoakFaults
from loadtool._soak_schedule import SoakLayout, SoakStep, make_soak_schedule
from rhubarbbend.http import Connection, HttpFailure

DEFAULT_SIZE: Final = 6
TARGETS_PER_SERVICE: Final = 3
CALLERS_PER_INSTANCE: Final = 3
# All callers share this process, which serves about so many; beyond 20 instances each has fewer.
MAX_CALLERS: Final = 60
CALLER_TIMEOUT: Final = 4.0
DEADLINE_MS: Final = "2000"
# After the last fault everything asked must be answered within this time.
RECOVERY_SECONDS: Final = 12.0
# Requests under way when the callers stop end within their deadline.
KINDS: Final = ("read", "read", "book", "chat", "chat", "plan")
SECOND_KEY_SHARE: Final = 0.2
SESSIONS: Final = 20


@attrs.define(slots=True)
class SoakResult:
    """What a run showed; `broken` is empty if every promise held."""

    seed: int
    record: Record
    broken: list[str]


class SoakCaller:
    """One caller with one connection, which it keeps as long as it can be used."""

    def __init__(self, fleet: Fleet, record: Record, ready: set[str], seed: str) -> None:
        self._fleet = fleet
        self._record = record
        self._ready = ready
        self._random = random.Random(seed)
        self._connection: Connection | None = None
        self._instance = ""

    async def run(self, until: float) -> None:
        """Send one request after the other until a time."""
        while time.time() < until:
            await self.ask()
            await asyncio.sleep(self._random.uniform(0.02, 0.25))
        if self._connection is not None:
            self._connection.close()

    async def ask(self, instance: str = "", kind: str = "") -> Outcome:
        """Send one request, to a given instance over a new connection or to the present one."""
        outcome = self._draw(kind or self._random.choice(KINDS))
        connection = await self._take_connection(instance)
        outcome.instance = self._instance
        outcome.sent_at = time.time()
        if connection is None:
            outcome.ended_at = outcome.sent_at
            return outcome
        self._record.outcomes.append(outcome)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT):
                await self._exchange(connection, outcome)
        except (HttpFailure, TimeoutError):
            connection.close()
        outcome.ended_at = time.time()
        if outcome.whole and connection.make_reusable():
            self._connection = connection
        else:
            connection.close()
        return outcome

    async def _take_connection(self, instance: str) -> Connection | None:
        kept, self._connection = self._connection, None
        if kept is not None and not kept.closed and not instance:
            return kept
        if kept is not None:
            kept.close()
        names = sorted(self._ready) or list(self._fleet.instances)
        self._instance = instance or self._random.choice(names)
        try:
            return await Connection.open(self._fleet.instances[self._instance].callers, 1.0)
        except HttpFailure:
            return None

    def _draw(self, kind: str) -> Outcome:
        number = self._random.randrange(1_000_000)
        key = SECOND_KEY if self._random.random() < SECOND_KEY_SHARE else KEY
        path = f"/{kind}/{number}"
        if kind in ("chat", "plan"):
            path += "/stream"
        body = b"" if kind == "read" else f"{kind} {number}".encode()
        return Outcome(self._fleet.make_id(), kind, "", key, path, body, 0.0)

    async def _exchange(self, connection: Connection, outcome: Outcome) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": outcome.id,
            "X-Api-Key": outcome.key,
            "Deadline-Ms": DEADLINE_MS,
            "Content-Length": str(len(outcome.body)),
        }
        if outcome.kind in ("chat", "plan"):
            headers["Prefix-Hash"] = f"common:300,{self._random.randrange(SESSIONS):x}:900,own:50"
        raw = [(name.encode(), value.encode()) for name, value in headers.items()]
        method = b"POST" if outcome.body else b"GET"
        connection.send_raw(method, outcome.path.encode(), raw, outcome.body)
        response = await connection.receive_head(CALLER_TIMEOUT)
        outcome.status = response.status
        outcome.sealed = "response-seal" in response.headers
        async for part in connection.receive_body(CALLER_TIMEOUT):
            outcome.answer += part
        outcome.whole = True


async def _watch_ready(fleet: Fleet, ready: set[str]) -> None:
    """Keep the set of instances that say that they are ready, as the platform's balancer does."""
    misses = dict.fromkeys(fleet.instances, 0)

    async def look(name: str) -> None:
        misses[name] = 0 if await fleet.is_ready(name, 1.0) else misses[name] + 1
        if misses[name] == 0:
            ready.add(name)
        elif misses[name] >= 2:
            ready.discard(name)

    while True:
        await asyncio.gather(*(look(name) for name in fleet.instances), asyncio.sleep(1.0))


def make_soak_layout(size: int) -> SoakLayout:
    """Name the nodes of a fleet with `size` instances."""
    targets = [f"plain-{n}" for n in range(TARGETS_PER_SERVICE)]
    targets += [f"engine-{n}" for n in range(TARGETS_PER_SERVICE)]
    return SoakLayout(ZONES, [f"front-{n}" for n in range(size)], targets)


async def run_soak(
    seed: int, duration: float, size: int, folder: Path, between: bool = True
) -> SoakResult:
    """Run a seed's schedule and check every promise; `between`: also cut instances apart."""
    schedule = make_soak_schedule(seed, duration, make_soak_layout(size), between)
    counts = {"plains": TARGETS_PER_SERVICE, "engines": TARGETS_PER_SERVICE}
    async with start_fleet(folder, instances=size, routed=True, **counts) as fleet:
        return await _run_schedule(fleet, seed, duration, schedule)


async def _run_schedule(
    fleet: Fleet, seed: int, duration: float, schedule: list[SoakStep]
) -> SoakResult:
    record = Record(started=time.time(), steps=schedule)
    record.zone_of = {name: node.zone for name, node in fleet.workers.items()}
    faults = SoakFaults(fleet, record)
    ready = set(fleet.instances)
    watching = asyncio.create_task(_watch_ready(fleet, ready))
    callers = [
        SoakCaller(fleet, record, ready, f"{seed}-{number}")
        for number in range(min(MAX_CALLERS, CALLERS_PER_INSTANCE * len(fleet.instances)))
    ]
    until = record.started + duration
    await asyncio.gather(
        *(caller.run(until) for caller in callers), *(faults.run(step) for step in schedule)
    )
    for name in fleet.instances:
        await faults.ensure_running(name)
    broken = await _check_recovery(fleet, callers[0])
    watching.cancel()
    broken += find_broken(record, fleet.read_arrivals())
    broken += _find_errors(fleet)
    return SoakResult(seed, record, broken)


async def _check_recovery(fleet: Fleet, caller: SoakCaller) -> list[str]:
    """Every fault is over: each instance answers each kind of request within some seconds."""
    ends = time.monotonic() + RECOVERY_SECONDS
    failed: list[str] = []
    while time.monotonic() < ends:
        failed = []
        for name in fleet.instances:
            for kind in sorted(set(KINDS)):
                outcome = await caller.ask(name, kind)
                if outcome.status != 200 or not outcome.whole:
                    failed.append(f"{kind} at {name}: {outcome.status}")
        if not failed:
            return []
        await asyncio.sleep(0.5)
    return [f"recovery: {', '.join(failed[:5])}"]


def _find_errors(fleet: Fleet) -> list[str]:
    """List events in the instances' logs that are faults of the program itself."""
    return [
        f"internal error at {name}: {line.get('reason', '')[-200:]}"
        for name in fleet.instances
        for line in fleet.read_log(name)
        if line["event"] == "internal_error"
    ]


def show_result(result: SoakResult) -> str:
    """Give a run's figures and every broken promise as text."""
    counts = sorted(count_outcomes(result.record.outcomes).items())
    lines = ["  " + ", ".join(f"{what}: {count}" for what, count in counts)]
    lines += [f"  BROKEN: {line}" for line in result.broken]
    lines.append(f"soak: seed {result.seed}: {len(result.broken)} promises broken")
    return "\n".join(lines)


def main(first_seed: int, seeds: int, duration: float, size: int) -> int:
    """Run seeds one after the other; gives exit status 1 if a promise was broken."""
    status = 0
    for seed in range(first_seed, first_seed + seeds):
        print(f"soak: seed {seed}, {duration:.0f} s, {size} instances, account {ACCOUNT}")
        if seeds == 1:
            for step in make_soak_schedule(seed, duration, make_soak_layout(size)):
                print(f"  {step}")
        with tempfile.TemporaryDirectory(prefix="rhubarbbend-soak-") as name:
            result = asyncio.run(run_soak(seed, duration, size, Path(name)))
            print(show_result(result), flush=True)
        status |= bool(result.broken)
    return status
