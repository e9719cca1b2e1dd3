"""`make soak`: injects random faults into a gateway fleet and checks its guarantees.

The processes are real and faults come only from outside them: signals, a proxy, and faults that the
stand-ins of the store and the targets inject. Callers keep their connections open as long as the
instance does.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs

from loadtool._gateway_config import ACCOUNT, HOST, KEY
from loadtool._gateway_fleet import ZONES, GatewayFleet, start_fleet
from loadtool._soak_checks import RequestOutcome, RunRecord, count_outcomes, find_violations
from loadtool._soak_faults import SECOND_KEY, SoakFaultInjector
from loadtool._soak_links import find_link_violations
from loadtool._soak_notices import find_notice_violations
from loadtool._soak_rollout import SoakRollout
from loadtool._soak_schedule import (
    ScheduledSoakFault,
    SoakLayout,
    make_notice_schedule,
    make_own_link_schedule,
    make_soak_schedule,
)
from rhubarbbend.http import Connection, HttpFailure

DEFAULT_INSTANCE_COUNT: Final = 6
TARGETS_PER_SERVICE: Final = 3
CALLERS_PER_INSTANCE: Final = 3
# All callers share this process, which can run about this many; beyond 20 instances there are fewer
# callers per instance.
MAX_CALLERS: Final = 60
CALLER_TIMEOUT_S: Final = 4.0
DEADLINE_MS: Final = "2000"
# After the last fault each request must be answered within this time. Requests in flight when the
# callers stop end within their deadline.
RECOVERY_TIMEOUT_S: Final = 12.0
REQUEST_KINDS: Final = ("read", "read", "book", "chat", "chat", "plan")
SECOND_KEY_FRACTION: Final = 0.2
PREFIX_SESSION_COUNT: Final = 20


@attrs.define(slots=True)
class SoakResult:
    """The result of a run; `violations` has a line for each violated guarantee."""

    seed: int
    record: RunRecord
    violations: list[str]
    rollout: str = ""


class SoakCaller:
    """A caller with one connection at a time, which it keeps as long as it can be used."""

    def __init__(self, fleet: GatewayFleet, record: RunRecord, ready: set[str], seed: str) -> None:
        self._fleet = fleet
        self._record = record
        self._ready = ready
        self._random = random.Random(seed)
        self._connection: Connection | None = None
        self._instance = ""

    async def run(self, until: float) -> None:
        """Send one request after the other until a Unix time."""
        while time.time() < until:
            await self.send_request()
            await asyncio.sleep(self._random.uniform(0.02, 0.25))
        if self._connection is not None:
            self._connection.close()

    async def send_request(self, instance: str = "", kind: str = "") -> RequestOutcome:
        """Send one request and return its outcome.

        It goes to `instance` over a new connection, or over the present connection if there is no
        `instance`. Without a `kind` it is of a random kind.
        """
        outcome = self._make_random_request(kind or self._random.choice(REQUEST_KINDS))
        connection = await self._acquire_connection(instance)
        outcome.instance = self._instance
        outcome.sent_at = time.time()
        if connection is None:
            outcome.ended_at = outcome.sent_at
            return outcome
        self._record.outcomes.append(outcome)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self._send_and_receive(connection, outcome)
        except (HttpFailure, TimeoutError):
            connection.close()
        outcome.ended_at = time.time()
        if outcome.complete and connection.make_reusable():
            self._connection = connection
        else:
            connection.close()
        return outcome

    async def _acquire_connection(self, instance: str) -> Connection | None:
        kept_connection, self._connection = self._connection, None
        if kept_connection is not None and not kept_connection.closed and not instance:
            return kept_connection
        if kept_connection is not None:
            kept_connection.close()
        names = sorted(self._ready) or list(self._fleet.instances)
        self._instance = instance or self._random.choice(names)
        try:
            return await Connection.open(self._fleet.instances[self._instance].front_address, 1.0)
        except HttpFailure:
            return None

    def _make_random_request(self, kind: str) -> RequestOutcome:
        number = self._random.randrange(1_000_000)
        key = SECOND_KEY if self._random.random() < SECOND_KEY_FRACTION else KEY
        path = f"/{kind}/{number}"
        if kind in ("chat", "plan"):
            path += "/stream"
        body = b"" if kind == "read" else f"{kind} {number}".encode()
        return RequestOutcome(self._fleet.make_attempt_id(), kind, "", key, path, body, 0.0)

    async def _send_and_receive(self, connection: Connection, outcome: RequestOutcome) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": outcome.id,
            "X-Api-Key": outcome.key,
            "Deadline-Ms": DEADLINE_MS,
            "Content-Length": str(len(outcome.body)),
        }
        if outcome.kind in ("chat", "plan"):
            headers["Prefix-Hash"] = (
                f"common:300,{self._random.randrange(PREFIX_SESSION_COUNT):x}:900,own:50"
            )
        raw_headers = [(name.encode(), value.encode()) for name, value in headers.items()]
        method = b"POST" if outcome.body else b"GET"
        connection.send_raw(method, outcome.path.encode(), raw_headers, outcome.body)
        response = await connection.receive_head(CALLER_TIMEOUT_S)
        outcome.status = response.status
        outcome.sealed = "response-seal" in response.headers
        async for part in connection.receive_body(CALLER_TIMEOUT_S):
            outcome.answer += part
        outcome.complete = True


async def _probe_readiness(fleet: GatewayFleet, ready: set[str]) -> None:
    """Keep the set of ready instances up to date, as the load balancer of the platform does.

    An instance is removed after two failed probes in a row.
    """
    failed_probes = dict.fromkeys(fleet.instances, 0)

    async def probe(name: str) -> None:
        failed_probes[name] = 0 if await fleet.is_ready(name, 1.0) else failed_probes[name] + 1
        if failed_probes[name] == 0:
            ready.add(name)
        elif failed_probes[name] >= 2:
            ready.discard(name)

    while True:
        await asyncio.gather(*(probe(name) for name in fleet.instances), asyncio.sleep(1.0))


def make_soak_layout(instance_count: int) -> SoakLayout:
    """Return the names of the zones and nodes of a fleet with `instance_count` instances."""
    targets = [f"plain-{n}" for n in range(TARGETS_PER_SERVICE)]
    targets += [f"engine-{n}" for n in range(TARGETS_PER_SERVICE)]
    return SoakLayout(ZONES, [f"front-{n}" for n in range(instance_count)], targets)


def _make_schedule(
    seed: int,
    duration: float,
    instance_count: int,
    peer_path_faults: bool,
    has_notices: bool,
    has_link_faults: bool = False,
) -> list[ScheduledSoakFault]:
    layout = make_soak_layout(instance_count)
    schedule = make_soak_schedule(seed, duration, layout, peer_path_faults)
    notices = make_notice_schedule(seed, duration, layout) if has_notices else []
    links = make_own_link_schedule(seed, duration, layout) if has_link_faults else []
    return sorted([*schedule, *notices, *links], key=lambda scheduled_fault: scheduled_fault.at)


async def run_soak(
    seed: int,
    duration: float,
    instance_count: int,
    folder: Path,
    peer_path_faults: bool = True,
    has_rollout: bool = False,
    has_notices: bool = False,
    has_link_faults: bool = False,
) -> SoakResult:
    """Run the schedule of a seed and check every guarantee; `duration` is in seconds.

    With `peer_path_faults` the paths between instances fail too. With `has_rollout` a version is
    rolled out meanwhile, with `has_notices` targets ask for pauses and say that they leave. With
    `has_link_faults` each instance has its own links to targets, and they are cut.
    """
    schedule = _make_schedule(
        seed, duration, instance_count, peer_path_faults, has_notices, has_link_faults
    )
    counts = {"plain_worker_count": TARGETS_PER_SERVICE, "engine_worker_count": TARGETS_PER_SERVICE}
    async with start_fleet(
        folder,
        instances=instance_count,
        use_proxy_routes=True,
        own_links=has_link_faults,
        **counts,
    ) as fleet:
        rollout = SoakRollout(fleet, seed) if has_rollout else None
        return await _run_schedule(fleet, seed, duration, schedule, rollout)


async def _run_schedule(
    fleet: GatewayFleet,
    seed: int,
    duration: float,
    schedule: list[ScheduledSoakFault],
    rollout: SoakRollout | None,
) -> SoakResult:
    record = RunRecord(started=time.time(), scheduled_faults=schedule)
    record.zone_by_target = {name: node.zone for name, node in fleet.workers.items()}
    faults = SoakFaultInjector(fleet, record)
    ready = set(fleet.instances)
    readiness_task = asyncio.create_task(_probe_readiness(fleet, ready))
    callers = [
        SoakCaller(fleet, record, ready, f"{seed}-{number}")
        for number in range(min(MAX_CALLERS, CALLERS_PER_INSTANCE * len(fleet.instances)))
    ]
    until = record.started + duration
    await asyncio.gather(
        *(caller.run(until) for caller in callers),
        *(faults.run(scheduled_fault) for scheduled_fault in schedule),
        *([] if rollout is None else [rollout.run(duration)]),
    )
    for name in fleet.instances:
        await faults.ensure_running(name)
    record.zone_by_target |= {name: node.zone for name, node in fleet.workers.items()}
    violations = await _check_recovery(fleet, callers[0])
    readiness_task.cancel()
    arrivals = fleet.read_arrivals()
    record.detoured = _list_detoured(fleet)
    violations += find_violations(record, arrivals)
    violations += find_notice_violations(record, arrivals)
    violations += find_link_violations(record)
    violations += _find_internal_errors(fleet)
    if rollout is not None:
        violations += rollout.find_violations(record)
    return SoakResult(seed, record, violations, "" if rollout is None else rollout.describe())


async def _check_recovery(fleet: GatewayFleet, caller: SoakCaller) -> list[str]:
    """Check that each instance answers each kind of request soon after the last fault has ended."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    failed: list[str] = []
    while time.monotonic() < deadline:
        failed = []
        for name in fleet.instances:
            for kind in sorted(set(REQUEST_KINDS)):
                outcome = await caller.send_request(name, kind)
                if outcome.status != 200 or not outcome.complete:
                    failed.append(f"{kind} at {name}: {outcome.status}")
        if not failed:
            return []
        await asyncio.sleep(0.5)
    return [f"recovery: {', '.join(failed[:5])}"]


def _list_detoured(fleet: GatewayFleet) -> set[str]:
    """Return the ids of the requests that instances handed to one another."""
    return {
        line["id"]
        for name in fleet.instances
        for line in fleet.read_log(name)
        if line["event"] == "detour_ended"
    }


def _find_internal_errors(fleet: GatewayFleet) -> list[str]:
    """Return a line for each internal error in the logs of the instances."""
    return [
        f"internal error at {name}: {line.get('reason', '')[-200:]}"
        for name in fleet.instances
        for line in fleet.read_log(name)
        if line["event"] == "internal_error"
    ]


def format_result(result: SoakResult) -> str:
    """Return the counts of a run and each violated guarantee as text."""
    counts = sorted(count_outcomes(result.record.outcomes).items())
    lines = ["  " + ", ".join(f"{label}: {count}" for label, count in counts)]
    lines += [f"  {result.rollout}"] if result.rollout else []
    lines += [f"  BROKEN: {line}" for line in result.violations]
    lines.append(f"soak: seed {result.seed}: {len(result.violations)} promises broken")
    return "\n".join(lines)


def main(
    first_seed: int,
    seed_count: int,
    duration: float,
    instance_count: int,
    has_rollout: bool = False,
    has_notices: bool = False,
    has_link_faults: bool = False,
) -> int:
    """Run seeds one after the other; return exit status 1 if a guarantee was violated, else 0."""
    status = 0
    for seed in range(first_seed, first_seed + seed_count):
        print(f"soak: seed {seed}, {duration:.0f} s, {instance_count} instances, account {ACCOUNT}")
        if seed_count == 1:
            for scheduled_fault in _make_schedule(
                seed, duration, instance_count, True, has_notices, has_link_faults
            ):
                print(f"  {scheduled_fault}")
        with tempfile.TemporaryDirectory(prefix="rhubarbbend-soak-") as name:
            folder = Path(name)
            soak = run_soak(
                seed,
                duration,
                instance_count,
                folder,
                has_rollout=has_rollout,
                has_notices=has_notices,
                has_link_faults=has_link_faults,
            )
            result = asyncio.run(soak)
            print(format_result(result), flush=True)
        status |= bool(result.violations)
    return status
