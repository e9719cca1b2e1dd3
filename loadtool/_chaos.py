"""`make soak ON=product`: a randomised run of faults while callers check every promise."""

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
# After an order to leave, a target may still be given work for this long.
LEAVE_SECONDS: Final = 3.0
RECOVERY_SECONDS: Final = 20.0
RECOVERY_REQUESTS: Final = 60
COMMAND_TRIES: Final = 6
ENGINE_OPTIONS: Final = ["--cold-requests", "4", "--cold-bears", "2", "--cold-factor", "2"]


@attrs.define(slots=True)
class ChaosResult:
    """What a run showed; `broken` is empty if every promise held."""

    seed: int
    answer_log: AnswerLog
    broken: list[str]
    stop_seconds: list[float]
    most_running: int


def make_layout() -> FleetLayout:
    """Name the nodes of the deployment."""
    letters = [zone[-1] for zone in ZONES]
    return FleetLayout(
        zones=ZONES,
        instances=[f"entry-{z}{n + 1}" for z in letters for n in range(INSTANCES_PER_ZONE)],
        engines=[f"engine-{z}{n + 1}" for z in letters for n in range(ENGINES_PER_ZONE)],
        plain_services=[f"booking-{z}1" for z in letters],
    )


async def _start(cluster: Cluster, layout: FleetLayout) -> None:
    zone_of = {zone[-1]: zone for zone in ZONES}
    await cluster.start_platform()
    starts: list[Awaitable[Any]] = []
    for name in layout.instances:
        starts.append(cluster.start_instance(name, zone_of[name[-2]]))
    for name in layout.engines:
        starts.append(cluster.start_engine(name, zone_of[name[-2]], "planner", *ENGINE_OPTIONS))
    for name in layout.plain_services:
        starts.append(cluster.start_plain(name, zone_of[name[-2]], "booking"))
    await asyncio.gather(*starts)
    await cluster.register()
    await cluster.wait_ready()
    await cluster.apply(ROOT / "examples" / "tengri")
    await cluster.wait_targets()


class Load:
    """The callers of a run."""

    def __init__(
        self, list_ready: Callable[[], list[Address]], ledger: AnswerLog, seed: int
    ) -> None:
        self._ledger = ledger
        self._seed = seed
        self.chats = Caller(list_ready, "pilgrim-groups-key")
        self.commands = Caller(list_ready, "mela-desk-key")

    async def run(self, until: float) -> None:
        """Run every caller until a time."""
        work = [self._run_chats(i, until) for i in range(CHAT_WORKERS)]
        work += [self._run_commands(i, until) for i in range(COMMAND_WORKERS)]
        work += [self._run_lookups(i, until) for i in range(LOOKUP_WORKERS)]
        await asyncio.gather(*work)

    async def _run_chats(self, worker: int, until: float) -> None:
        rng = random.Random(f"{self._seed}-chat-{worker}")
        chats = [Chat(f"chat-{worker}-{i}", "camp-large") for i in range(4)]
        while time.monotonic() < until:
            chat = rng.choice(chats)
            chat.ask(f"{chat.id} turn {chat.turns}: " + "tent ghat ration " * rng.randrange(5, 60))
            stream = rng.random() < 0.8
            answer = await self.chats.ask_chat(chat, rng.randrange(4, 60), stream, deadline=15.0)
            self._ledger.record_answer(answer)
            if not answer.good:
                chat.messages.pop()
                chat.ticket = "" if rng.random() < 0.2 else chat.ticket
            await asyncio.sleep(rng.uniform(0.02, 0.2))

    async def _run_commands(self, worker: int, until: float) -> None:
        """Send commands; one without a verdict is asked again, some are sent twice at once."""
        rng = random.Random(f"{self._seed}-command-{worker}")
        number = 0
        while time.monotonic() < until:
            number += 1
            key = f"plot-{worker}-{number}"
            body = b'{"plot": %d}' % number
            if rng.random() < 0.2:
                answers = await asyncio.gather(self._send(key, body), self._send(key, body))
                for answer in answers:
                    self._ledger.record_command_answer(key, answer)
            await self._send_until_known(key, body, rng)
            await asyncio.sleep(rng.uniform(0.02, 0.15))

    async def _send_until_known(self, key: str, body: bytes, rng: random.Random) -> None:
        for _ in range(COMMAND_TRIES):
            answer = await self._send(key, body)
            self._ledger.record_command_answer(key, answer)
            # Half of the refused commands are given up, so that "not run" stands as final.
            given_up = answer.verdict == "not_run" and rng.random() < 0.5
            if answer.good or given_up:
                return
            await asyncio.sleep(max(answer.retry_after, 0.2))

    async def _send(self, key: str, body: bytes) -> Answer:
        return await self.commands.send_command("/booking/bookings", key, body, deadline=6.0)

    async def _run_lookups(self, worker: int, until: float) -> None:
        rng = random.Random(f"{self._seed}-lookup-{worker}")
        while time.monotonic() < until:
            path = f"/booking/plots/{rng.randrange(10_000)}"
            self._ledger.record_answer(await self.commands.look_up(path, deadline=6.0))
            await asyncio.sleep(rng.uniform(0.02, 0.15))


class Watch:
    """Looks at the targets during a run: load, and new work while out of service."""

    def __init__(self, cluster: Cluster, faults: FaultInjector) -> None:
        self._cluster = cluster
        self._faults = faults
        self._seen_requests: dict[str, tuple[str, int]] = {}
        self.most_running = 0
        self._fell_over: dict[tuple[str, str], int] = {}
        self.broken: set[str] = set()

    async def run(self) -> None:
        """Look every quarter of a second until cancelled."""
        while True:
            for node in list(self._cluster.targets.values()):
                if node.process.running and not node.process.frozen:
                    await self._look(node.id)
            await asyncio.sleep(0.25)

    async def _look(self, name: str) -> None:
        node = self._cluster.targets[name]
        try:
            stats = await self._cluster.ask_admin(node, "stats")
        except HttpFailure:
            return
        self.most_running = max(self.most_running, stats["running"])
        if stats.get("fell_over"):
            self._fell_over[(name, stats["boot_id"])] = stats["fell_over"]
        self._check_out(name, stats)

    def list_fallen(self) -> list[str]:
        """List the engines that got more than they bear while cold.

        An engine that turns cold under its boot id gives no sign before it has fallen over once:
        its reports still show the requests that it bore a moment ago.
        """
        return [
            f"cold engine {name} boot {boot_id} fell over {count} times"
            for (name, boot_id), count in sorted(self._fell_over.items())
            if count > self._faults.cold_cache_counts[name]
        ]

    def _check_out(self, name: str, stats: dict[str, Any]) -> None:
        """A target out of service for some seconds gets no new request."""
        boot_id, before = self._seen_requests.get(name, ("", 0))
        self._seen_requests[name] = (stats["boot_id"], stats["requests"])
        if boot_id != stats["boot_id"] or stats["requests"] <= before:
            return
        for period in self._faults.out_of_service_periods:
            if self._is_out(name, period) and stats["last_request"] > (
                period.accepted_at + LEAVE_SECONDS
            ):
                late = stats["last_request"] - period.accepted_at
                self.broken.add(f"{name} got work {late:.1f} s after {period.name} went out")

    def _is_out(self, name: str, period: OutOfServicePeriod) -> bool:
        node = self._cluster.targets[name]
        return not period.ended_at and period.name in (name, node.zone)


async def _check_recovery(cluster: Cluster, load: Load) -> list[str]:
    """Every fault is over: within some seconds everything asked must be answered."""
    await cluster.wait_ready()
    await cluster.wait_targets()
    deadline = time.monotonic() + RECOVERY_SECONDS
    failed: list[Answer] = []
    while time.monotonic() < deadline:
        failed = await _ask_round(load)
        if not failed:
            return []
        await asyncio.sleep(1.0)
    shown = [f"{a.status}/{a.code or a.failure}" for a in failed[:5]]
    return [
        f"{len(failed)} requests still fail {RECOVERY_SECONDS:.0f} s after the last fault: {shown}"
    ]


async def _ask_round(load: Load) -> list[Answer]:
    answers: list[Answer] = []
    for number in range(RECOVERY_REQUESTS // 3):
        chat = Chat(f"recovery-{number}", "camp-large")
        chat.ask("is the plot free?")
        stamp = time.time_ns()
        answers += await asyncio.gather(
            load.chats.ask_chat(chat, 4),
            load.commands.send_command("/booking/bookings", f"recovery-{stamp}", b"{}"),
            load.commands.look_up(f"/booking/plots/{number}"),
        )
    return [answer for answer in answers if not answer.good]


async def run_chaos(seed: int, duration: float, folder: Path) -> ChaosResult:
    """Run a seed's schedule and check every promise."""
    layout = make_layout()
    schedule = make_fault_schedule(seed, duration, layout)
    ledger = AnswerLog()
    async with Cluster(folder, ZONES, proxied=True) as cluster:
        await _start(cluster, layout)
        return await _run_schedule(cluster, seed, duration, schedule, ledger)


async def _run_schedule(
    cluster: Cluster, seed: int, duration: float, schedule: list[ScheduledFault], ledger: AnswerLog
) -> ChaosResult:
    addresses = [node.address for node in cluster.instances.values()]
    faults = FaultInjector(cluster)
    async with Balancer(lambda: addresses) as balancer:
        load = Load(lambda: balancer.list_ready() or addresses, ledger, seed)
        watch = Watch(cluster, faults)
        watching = asyncio.create_task(watch.run())
        started = time.monotonic()
        await asyncio.gather(
            load.run(started + duration), *(faults.run(step, started) for step in schedule)
        )
        broken = await _check_recovery(cluster, load)
        watching.cancel()
        broken += sorted(watch.broken)
        broken += watch.list_fallen()
        broken += [
            f"a planned stop ended with status {status}"
            for status in faults.stop_statuses
            if status != 0
        ]
    broken += ledger.find_violations(cluster.read_runs())
    return ChaosResult(seed, ledger, broken, faults.stop_seconds, watch.most_running)


def print_result(result: ChaosResult) -> None:
    """Print a run's figures and every broken promise."""
    ledger = result.answer_log
    print(
        f"  {ledger.requests} requests, {ledger.good_count} whole answers, "
        f"{len(ledger.wrong_answers)} wrong"
    )
    print(f"  {len(ledger.commands)} commands; most running at one engine: {result.most_running}")
    for code, count in sorted(ledger.refusals.items()):
        print(f"  refused {code}: {count}")
    for reason, count in sorted(ledger.failures.items()):
        print(f"  failed {reason}: {count}")
    if result.stop_seconds:
        longest = max(result.stop_seconds)
        print(f"  {len(result.stop_seconds)} planned stops, the longest {longest:.1f} s")
    for line in result.broken:
        print(f"  BROKEN: {line}")


def main(seed: int, duration: float) -> int:
    """Run one seed; gives exit status 1 if a promise was broken."""
    print(f"chaos: seed {seed}, {duration:.0f} s")
    for step in make_fault_schedule(seed, duration, make_layout()):
        print(f"  {step}")
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-chaos-") as name:
        result = asyncio.run(run_chaos(seed, duration, Path(name)))
    print_result(result)
    print(f"chaos: seed {seed}: {len(result.broken)} promises broken")
    return 1 if result.broken else 0
