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

from loadtool._gateway_config import ACCOUNT
from loadtool._gateway_fleet import ZONES, GatewayFleet, start_fleet
from loadtool._soak_caller import REQUEST_KINDS, SoakCaller
from loadtool._soak_changes import SoakChanges, make_change_schedule
from loadtool._soak_checks import RunRecord, count_outcomes, find_violations
from loadtool._soak_crashes import SoakCrashes
from loadtool._soak_crowd import SoakCrowd
from loadtool._soak_faults import SoakFaultInjector
from loadtool._soak_full import SoakLimits
from loadtool._soak_links import find_link_violations
from loadtool._soak_load import TARGETS_UNDER_LOAD, SoakLoad, make_load_options
from loadtool._soak_notices import find_notice_violations
from loadtool._soak_parts import SoakParts
from loadtool._soak_reading import (
    BODY_BYTES,
    EVENT_BYTES,
    MEMORY_MB,
    UNREAD_TIMEOUT_S,
    SoakReading,
)
from loadtool._soak_returns import (
    describe_return,
    find_return_violations,
    make_return_schedule,
)
from loadtool._soak_rollout import SoakRollout
from loadtool._soak_schedule import (
    ScheduledSoakFault,
    SoakLayout,
    make_break_schedule,
    make_notice_schedule,
    make_own_link_schedule,
    make_soak_schedule,
)
from loadtool._soak_versions import SoakVersions

DEFAULT_INSTANCE_COUNT: Final = 6
TARGETS_PER_SERVICE: Final = 3
# So many that most remain while others are down after a crash.
TARGETS_BESIDE_CRASHES: Final = 7
CALLERS_PER_INSTANCE: Final = 3
# All callers share this process, which can run about this many; beyond 20 instances there are fewer
# callers per instance.
MAX_CALLERS: Final = 60
# After the last fault each request must be answered within this time. Requests in flight when the
# callers stop end within their deadline.
RECOVERY_TIMEOUT_S: Final = 12.0

# What acts beside the usual callers and faults, and checks what came of it.
SoakExtra = (
    SoakCrashes | SoakParts | SoakVersions | SoakLimits | SoakLoad | SoakReading | SoakChanges
)


@attrs.define(slots=True, frozen=True)
class SoakOptions:
    """What a run has beside its usual faults.

    With `has_rollout` a version is rolled out meanwhile, with `has_notices` targets ask for pauses
    and say that they leave. With `has_link_faults` each instance has its own links to targets, and
    they are cut. With `has_crashes` callers send requests that crash the targets that run them.
    With `has_unframed_answers` answers have neither length nor chunks, and targets break them off.
    With `has_versions` engines are replaced by other versions, and callers take streams up again;
    instances then reach one another directly, since the proxy passes no datagrams. Without
    `has_peer_path_faults` the paths between instances do not fail. With `has_crashing_parts`
    callers send requests with parts of prompts that crash engines. If it `is_crowded`, most new
    connections go to one instance, then to another. With `has_connection_limits` the number of
    connections that targets accept sinks and rises. With `has_load` demand exceeds for a time what
    the targets can do, and their pace varies. With `has_unread_answers` callers read slowly or not
    at all, and instances have little memory. With `has_config_changes` the configuration changes
    in quick succession, and instances and targets are suspended at these moments. With
    `has_returns` all instances are lost at once and come back.
    """

    has_rollout: bool = False
    has_notices: bool = False
    has_link_faults: bool = False
    has_crashes: bool = False
    has_unframed_answers: bool = False
    has_versions: bool = False
    has_peer_path_faults: bool = True
    has_crashing_parts: bool = False
    is_crowded: bool = False
    has_connection_limits: bool = False
    has_load: bool = False
    has_unread_answers: bool = False
    has_config_changes: bool = False
    has_returns: bool = False


@attrs.define(slots=True)
class SoakResult:
    """The result of a run; `violations` has a line for each violated guarantee."""

    seed: int
    record: RunRecord
    violations: list[str]
    summaries: list[str]


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
    seed: int, duration: float, instance_count: int, options: SoakOptions
) -> list[ScheduledSoakFault]:
    layout = make_soak_layout(instance_count)
    has_peer_path_faults = options.has_peer_path_faults and not options.has_versions
    schedule = make_soak_schedule(seed, duration, layout, has_peer_path_faults)
    notices = make_notice_schedule(seed, duration, layout) if options.has_notices else []
    links = make_own_link_schedule(seed, duration, layout) if options.has_link_faults else []
    breaks = make_break_schedule(seed, duration, layout) if options.has_unframed_answers else []
    changes = make_change_schedule(seed, duration, layout) if options.has_config_changes else None
    suspensions = [] if changes is None else changes.suspensions
    returns = make_return_schedule(seed, duration, layout) if options.has_returns else []
    return sorted(
        [*schedule, *notices, *links, *breaks, *suspensions, *returns],
        key=lambda scheduled_fault: scheduled_fault.at,
    )


async def run_soak(
    seed: int, duration: float, instance_count: int, folder: Path, options: SoakOptions
) -> SoakResult:
    """Run the schedule of a seed and check every guarantee; `duration` is in seconds."""
    schedule = _make_schedule(seed, duration, instance_count, options)
    has_crashes = options.has_crashes or options.has_crashing_parts
    target_count = TARGETS_UNDER_LOAD if options.has_load else TARGETS_PER_SERVICE
    target_count = TARGETS_BESIDE_CRASHES if has_crashes else target_count
    async with start_fleet(
        folder,
        instances=instance_count,
        use_proxy_routes=True,
        own_links=options.has_link_faults,
        has_rollouts=not options.has_versions,
        has_peer_datagrams=options.has_versions,
        plain_worker_count=target_count,
        engine_worker_count=target_count,
        memory_mb=MEMORY_MB if options.has_unread_answers else None,
        **(make_load_options() if options.has_load else {}),
    ) as fleet:
        if options.has_unframed_answers:
            await fleet.set_default_worker_faults(unframed=True)
        return await _run_schedule(fleet, seed, duration, schedule, options)


async def _run_schedule(
    fleet: GatewayFleet,
    seed: int,
    duration: float,
    schedule: list[ScheduledSoakFault],
    options: SoakOptions,
) -> SoakResult:
    record = RunRecord(started=time.time(), scheduled_faults=schedule)
    record.zone_by_target = {name: node.zone for name, node in fleet.workers.items()}
    faults = SoakFaultInjector(fleet, record)
    rollout = SoakRollout(fleet, seed) if options.has_rollout else None
    ready = set(fleet.instances)
    chooser = random.Random(f"parts and crowd {seed}")
    extras = await _make_extras(fleet, faults, record, ready, chooser, seed, duration, options)
    names = sorted(fleet.instances)
    crowd = SoakCrowd(record.started, names, chooser) if options.is_crowded else None
    readiness_task = asyncio.create_task(_probe_readiness(fleet, ready))
    callers = [
        SoakCaller(fleet, record, ready, f"{seed}-{number}", crowd)
        for number in range(min(MAX_CALLERS, CALLERS_PER_INSTANCE * len(fleet.instances)))
    ]
    until = record.started + duration
    await asyncio.gather(
        *(caller.run(until) for caller in callers),
        *(faults.run(scheduled_fault) for scheduled_fault in schedule),
        *([] if rollout is None else [rollout.run(duration)]),
        *(extra.run(until) for extra in extras),
    )
    for name in fleet.instances:
        await faults.ensure_running(name)
    record.zone_by_target |= {name: node.zone for name, node in fleet.workers.items()}
    violations = await _check_recovery(fleet, callers[0])
    readiness_task.cancel()
    violations += _find_all_violations(fleet, record)
    violations += [] if rollout is None else rollout.find_violations(record)
    summaries = [] if rollout is None else [rollout.describe()]
    violations += [] if crowd is None else crowd.find_violations(record)
    if options.has_returns:
        losses = make_return_schedule(seed, duration, make_soak_layout(len(fleet.instances)))
        violations += find_return_violations(record, losses)
        summaries.append(describe_return(record, losses))
    for extra in extras:
        violations += extra.find_violations()
        summaries.append(extra.describe())
    return SoakResult(seed, record, violations, summaries)


async def _make_extras(
    fleet: GatewayFleet,
    faults: SoakFaultInjector,
    record: RunRecord,
    ready: set[str],
    chooser: random.Random,
    seed: int,
    duration: float,
    options: SoakOptions,
) -> list[SoakExtra]:
    """Return what a run has beside its usual callers and scheduled faults."""
    extras: list[SoakExtra] = []
    if options.has_crashes:
        extras.append(SoakCrashes(fleet, faults, record, ready, seed))
    if options.has_crashing_parts:
        extras.append(SoakParts(fleet, faults, record, ready, chooser))
    if options.has_versions:
        extras.append(SoakVersions(fleet, record, ready, seed))
    if options.has_connection_limits:
        extras.append(SoakLimits(fleet, record, chooser))
    if options.has_load:
        extras.append(SoakLoad(fleet, faults, record, ready, seed, duration))
    if options.has_unread_answers:
        extras.append(await _make_reading(fleet, record, chooser))
    if options.has_config_changes:
        schedule = make_change_schedule(seed, duration, make_soak_layout(len(fleet.instances)))
        extras.append(SoakChanges(fleet, faults, record, ready, seed, schedule.changes))
    return extras


async def _make_reading(
    fleet: GatewayFleet, record: RunRecord, chooser: random.Random
) -> SoakReading:
    record.body_bytes, record.event_bytes = BODY_BYTES, EVENT_BYTES
    await fleet.add_default_worker_faults(
        body_bytes=BODY_BYTES, event_bytes=EVENT_BYTES, unread_timeout=UNREAD_TIMEOUT_S
    )
    return SoakReading(fleet, record, chooser)


def _find_all_violations(fleet: GatewayFleet, record: RunRecord) -> list[str]:
    arrivals = fleet.read_arrivals()
    record.detoured = _list_detoured(fleet)
    return [
        *find_violations(record, arrivals),
        *find_notice_violations(record, arrivals),
        *find_link_violations(record),
        *_find_internal_errors(fleet),
    ]


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
    lines += [f"  {summary}" for summary in result.summaries]
    lines += [f"  BROKEN: {line}" for line in result.violations]
    lines.append(f"soak: seed {result.seed}: {len(result.violations)} promises broken")
    return "\n".join(lines)


def main(
    first_seed: int, seed_count: int, duration: float, instance_count: int, options: SoakOptions
) -> int:
    """Run seeds one after the other; return exit status 1 if a guarantee was violated, else 0."""
    status = 0
    for seed in range(first_seed, first_seed + seed_count):
        print(f"soak: seed {seed}, {duration:.0f} s, {instance_count} instances, account {ACCOUNT}")
        if seed_count == 1:
            for scheduled_fault in _make_schedule(seed, duration, instance_count, options):
                print(f"  {scheduled_fault}")
        with tempfile.TemporaryDirectory(prefix="rhubarbbend-soak-") as name:
            soak = run_soak(seed, duration, instance_count, Path(name), options)
            result = asyncio.run(soak)
        print(format_result(result), flush=True)
        status |= bool(result.violations)
    return status
