"""`make soak ON=product`: injects random faults while callers check the guarantees of the fleet."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import attrs

from loadtool._answer_log import AnswerLog
from loadtool._balancer import Balancer
from loadtool._caller import Address, Answer, Caller, Chat
from loadtool._cluster import Cluster
from loadtool._fault_schedule import FleetLayout, ScheduledFault, make_fault_schedule
from loadtool._faults import FaultInjector, OutOfServicePeriod
from loadtool._processes import ROOT
from rhubarbbend.http import HttpFailure

ZONES: Final = ["almaty-a", "almaty-b", "almaty-c"]
INSTANCES_PER_ZONE: Final = 2
ENGINES_PER_ZONE: Final = 2
CHAT_WORKERS: Final = 16
COMMAND_WORKERS: Final = 8
LOOKUP_WORKERS: Final = 2
# A target may still receive new requests for this long after it was taken out of service.
DRAIN_GRACE_S: Final = 3.0
RECOVERY_TIMEOUT_S: Final = 20.0
RECOVERY_REQUESTS: Final = 60
MAX_COMMAND_ATTEMPTS: Final = 6
# A caller that is told to return later gives its command up. A refusal for crashes once asked for
# 600 s, and a run did not end as long as one caller waited.
MAX_PAUSE_S: Final = 5.0
ENGINE_OPTIONS: Final = ["--cold-requests", "4", "--cold-bears", "2", "--cold-factor", "2"]


@attrs.define(slots=True)
class ChaosResult:
    """The result of a run.

    `violations` has a line for each violated guarantee. `stop_seconds` has the duration of each
    planned stop, `max_running` the most requests that ran at one target at the same time.
    """

    seed: int
    answer_log: AnswerLog
    violations: list[str]
    stop_seconds: list[float]
    max_running: int


def make_chaos_layout() -> FleetLayout:
    """Return the names of the zones and nodes of the deployment."""
    letters = [zone[-1] for zone in ZONES]
    return FleetLayout(
        zones=ZONES,
        instances=[f"entry-{z}{n + 1}" for z in letters for n in range(INSTANCES_PER_ZONE)],
        engines=[f"engine-{z}{n + 1}" for z in letters for n in range(ENGINES_PER_ZONE)],
        plain_services=[f"booking-{z}1" for z in letters],
    )


async def _start_cluster(cluster: Cluster, layout: FleetLayout) -> None:
    zone_by_letter = {zone[-1]: zone for zone in ZONES}
    await cluster.start_platform()
    start_calls: list[Awaitable[Any]] = []
    for name in layout.instances:
        start_calls.append(cluster.start_instance(name, zone_by_letter[name[-2]]))
    for name in layout.engines:
        start_calls.append(
            cluster.start_engine(name, zone_by_letter[name[-2]], "planner", *ENGINE_OPTIONS)
        )
    for name in layout.plain_services:
        start_calls.append(cluster.start_plain_service(name, zone_by_letter[name[-2]], "booking"))
    await asyncio.gather(*start_calls)
    await cluster.register()
    await cluster.wait_until_instances_ready()
    await cluster.apply_declarations(ROOT / "examples" / "tengri")
    await cluster.wait_until_targets_ready()


class ChaosLoad:
    """The callers of a run: they send chats, commands and lookups and record the answers."""

    def __init__(
        self, list_ready: Callable[[], list[Address]], answer_log: AnswerLog, seed: int
    ) -> None:
        self._answer_log = answer_log
        self._seed = seed
        self.chats = Caller(list_ready, "pilgrim-groups-key")
        self.commands = Caller(list_ready, "mela-desk-key")

    async def run(self, until: float) -> None:
        """Run all callers until a time of the monotonic clock."""
        work = [self._run_chats(i, until) for i in range(CHAT_WORKERS)]
        work += [self._run_commands(i, until) for i in range(COMMAND_WORKERS)]
        work += [self._run_lookups(i, until) for i in range(LOOKUP_WORKERS)]
        await asyncio.gather(*work)

    async def _run_chats(self, worker: int, until: float) -> None:
        rng = random.Random(f"{self._seed}-chat-{worker}")
        chats = [Chat(f"chat-{worker}-{i}", "camp-large") for i in range(4)]
        while time.monotonic() < until:
            chat = rng.choice(chats)
            chat.add_user_message(
                f"{chat.id} turn {chat.turns}: " + "tent ghat ration " * rng.randrange(5, 60)
            )
            stream = rng.random() < 0.8
            answer = await self.chats.send_chat(chat, rng.randrange(4, 60), stream, deadline=15.0)
            self._answer_log.record_answer(answer)
            if not answer.is_correct:
                chat.messages.pop()
                chat.ticket = "" if rng.random() < 0.2 else chat.ticket
            await asyncio.sleep(rng.uniform(0.02, 0.2))

    async def _run_commands(self, worker: int, until: float) -> None:
        """Send commands until their outcomes are known; some are first sent twice concurrently."""
        rng = random.Random(f"{self._seed}-command-{worker}")
        number = 0
        while time.monotonic() < until:
            number += 1
            key = f"plot-{worker}-{number}"
            body = b'{"plot": %d}' % number
            if rng.random() < 0.2:
                answers = await asyncio.gather(self._send(key, body), self._send(key, body))
                for answer in answers:
                    self._answer_log.record_command_answer(key, answer)
            await self._send_until_outcome_known(key, body, rng)
            await asyncio.sleep(rng.uniform(0.02, 0.15))

    async def _send_until_outcome_known(self, key: str, body: bytes, rng: random.Random) -> None:
        for _ in range(MAX_COMMAND_ATTEMPTS):
            answer = await self._send(key, body)
            self._answer_log.record_command_answer(key, answer)
            # Half of the commands with the verdict "not run" are not sent again, so that this
            # verdict stays final and can be checked.
            given_up = answer.verdict == "not_run" and rng.random() < 0.5
            if answer.is_correct or given_up or answer.retry_after > MAX_PAUSE_S:
                return
            await asyncio.sleep(max(answer.retry_after, 0.2))

    async def _send(self, key: str, body: bytes) -> Answer:
        return await self.commands.send_command("/booking/bookings", key, body, deadline=6.0)

    async def _run_lookups(self, worker: int, until: float) -> None:
        rng = random.Random(f"{self._seed}-lookup-{worker}")
        while time.monotonic() < until:
            path = f"/booking/plots/{rng.randrange(10_000)}"
            self._answer_log.record_answer(await self.commands.look_up(path, deadline=6.0))
            await asyncio.sleep(rng.uniform(0.02, 0.15))


class TargetMonitor:
    """Polls the targets during a run: their load, and new requests while out of service."""

    def __init__(self, cluster: Cluster, faults: FaultInjector) -> None:
        self._cluster = cluster
        self._faults = faults
        self._last_request_counts: dict[str, tuple[str, int]] = {}
        self.max_running = 0
        self._overload_counts: dict[tuple[str, str], int] = {}
        self.violations: set[str] = set()

    async def run(self) -> None:
        """Poll every quarter of a second until cancelled."""
        while True:
            for node in list(self._cluster.targets.values()):
                if node.process.running and not node.process.frozen:
                    await self._check_target(node.id)
            await asyncio.sleep(0.25)

    async def _check_target(self, name: str) -> None:
        node = self._cluster.targets[name]
        try:
            stats = await self._cluster.call_admin(node, "stats")
        except HttpFailure:
            return
        self.max_running = max(self.max_running, stats["running"])
        if stats.get("fell_over"):
            self._overload_counts[(name, stats["boot_id"])] = stats["fell_over"]
        self._check_out_of_service(name, stats)

    def list_overloaded_engines(self) -> list[str]:
        """Return a line for each engine that got more requests than it can handle while cold.

        An engine that turns cold without a new boot id cannot be recognised before it has been
        overloaded once: its reports still show the requests that it handled a moment before.
        """
        return [
            f"cold engine {name} with boot id {boot_id} was overloaded {count} times"
            for (name, boot_id), count in sorted(self._overload_counts.items())
            if count > self._faults.cold_cache_counts[name]
        ]

    def _check_out_of_service(self, name: str, stats: dict[str, Any]) -> None:
        """Check that a target gets no new request some seconds after it left service."""
        boot_id, before = self._last_request_counts.get(name, ("", 0))
        self._last_request_counts[name] = (stats["boot_id"], stats["requests"])
        if boot_id != stats["boot_id"] or stats["requests"] <= before:
            return
        for period in self._faults.out_of_service_periods:
            if self._is_out_of_service(name, period) and stats["last_request"] > (
                period.accepted_at + DRAIN_GRACE_S
            ):
                delay = stats["last_request"] - period.accepted_at
                self.violations.add(
                    f"{name} got a new request {delay:.1f} s after {period.name} was taken out "
                    "of service"
                )

    def _is_out_of_service(self, name: str, period: OutOfServicePeriod) -> bool:
        node = self._cluster.targets[name]
        return not period.ended_at and period.name in (name, node.zone)


async def _check_recovery(cluster: Cluster, load: ChaosLoad) -> list[str]:
    """Check that all requests are answered some seconds after the last fault has ended."""
    await cluster.wait_until_instances_ready()
    await cluster.wait_until_targets_ready()
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    failed: list[Answer] = []
    while time.monotonic() < deadline:
        failed = await _send_recovery_requests(load)
        if not failed:
            return []
        await asyncio.sleep(1.0)
    failure_list = [f"{a.status}/{a.code or a.failure}" for a in failed[:5]]
    return [
        f"{len(failed)} requests still fail {RECOVERY_TIMEOUT_S:.0f} s after the last fault: "
        f"{failure_list}"
    ]


async def _send_recovery_requests(load: ChaosLoad) -> list[Answer]:
    answers: list[Answer] = []
    for number in range(RECOVERY_REQUESTS // 3):
        chat = Chat(f"recovery-{number}", "camp-large")
        chat.add_user_message("is the plot free?")
        unique_suffix = time.time_ns()
        answers += await asyncio.gather(
            load.chats.send_chat(chat, 4),
            load.commands.send_command("/booking/bookings", f"recovery-{unique_suffix}", b"{}"),
            load.commands.look_up(f"/booking/plots/{number}"),
        )
    return [answer for answer in answers if not answer.is_correct]


async def run_chaos(seed: int, duration: float, folder: Path) -> ChaosResult:
    """Run the schedule of a seed and check every guarantee; `duration` is in seconds."""
    layout = make_chaos_layout()
    schedule = make_fault_schedule(seed, duration, layout)
    answer_log = AnswerLog()
    async with Cluster(folder, ZONES, use_proxies=True) as cluster:
        await _start_cluster(cluster, layout)
        return await _run_schedule(cluster, seed, duration, schedule, answer_log)


async def _run_schedule(
    cluster: Cluster,
    seed: int,
    duration: float,
    schedule: list[ScheduledFault],
    answer_log: AnswerLog,
) -> ChaosResult:
    addresses = [node.address for node in cluster.instances.values()]
    faults = FaultInjector(cluster)
    async with Balancer(lambda: addresses) as balancer:
        load = ChaosLoad(lambda: balancer.list_ready() or addresses, answer_log, seed)
        monitor = TargetMonitor(cluster, faults)
        monitor_task = asyncio.create_task(monitor.run())
        started = time.monotonic()
        await asyncio.gather(
            load.run(started + duration),
            *(faults.run(scheduled_fault, started) for scheduled_fault in schedule),
        )
        violations = await _check_recovery(cluster, load)
        monitor_task.cancel()
        violations += sorted(monitor.violations)
        violations += monitor.list_overloaded_engines()
        violations += [
            f"a planned stop ended with exit status {status}"
            for status in faults.stop_statuses
            if status != 0
        ]
    violations += answer_log.find_violations(cluster.count_runs_by_key())
    return ChaosResult(seed, answer_log, violations, faults.stop_seconds, monitor.max_running)


def print_result(result: ChaosResult) -> None:
    """Print the counts of a run and each violated guarantee."""
    answer_log = result.answer_log
    print(
        f"  {answer_log.requests} requests, {answer_log.good_count} correct answers, "
        f"{len(answer_log.wrong_answers)} wrong"
    )
    print(
        f"  {len(answer_log.commands)} commands; most running at one engine: {result.max_running}"
    )
    for code, count in sorted(answer_log.refusals.items()):
        print(f"  refused {code}: {count}")
    for reason, count in sorted(answer_log.failures.items()):
        print(f"  failed {reason}: {count}")
    if result.stop_seconds:
        longest = max(result.stop_seconds)
        print(f"  {len(result.stop_seconds)} planned stops, the longest {longest:.1f} s")
    for line in result.violations:
        print(f"  BROKEN: {line}")


def main(seed: int, duration: float) -> int:
    """Run one seed; return exit status 1 if a guarantee was violated, else 0."""
    print(f"chaos: seed {seed}, {duration:.0f} s")
    for scheduled_fault in make_fault_schedule(seed, duration, make_chaos_layout()):
        print(f"  {scheduled_fault}")
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-chaos-") as name:
        result = asyncio.run(run_chaos(seed, duration, Path(name)))
    print_result(result)
    print(f"chaos: seed {seed}: {len(result.violations)} promises broken")
    return 1 if result.violations else 0
