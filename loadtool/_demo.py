"""`make demo`: runs the Tengri deployment on one machine with chats and bookings."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs

from loadtool._caller import Address, Answer, Caller, Chat
from loadtool._cluster import Cluster
from loadtool._processes import ROOT

ZONES: Final = ["almaty-a", "almaty-b", "almaty-c"]
DURATION_S: Final = 15.0
CHAT_COUNT: Final = 60
CHAT_WORKERS: Final = 24
BOOKING_COUNT: Final = 120
SEED: Final = 7


@attrs.define(slots=True)
class AnswerStats:
    """Counts of the answers that all callers got, with their times to the first byte in seconds."""

    requests: int = 0
    whole: int = 0
    wrong: int = 0
    refused: dict[str, int] = attrs.Factory(dict)
    failed: dict[str, int] = attrs.Factory(dict)
    first_byte_times: list[float] = attrs.Factory(list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    bookings: int = 0

    def record_answer(self, answer: Answer) -> None:
        """Record one answer."""
        self.requests += 1
        self.whole += answer.is_correct
        self.wrong += answer.is_incorrect
        if answer.is_correct:
            self.first_byte_times.append(answer.first_byte)
            self.prompt_tokens += answer.prompt_tokens
            self.cached_tokens += answer.cached_tokens
        elif answer.code:
            self.refused[answer.code] = self.refused.get(answer.code, 0) + 1
        else:
            self.failed[answer.failure] = self.failed.get(answer.failure, 0) + 1


async def _start(cluster: Cluster) -> None:
    await cluster.start_platform()
    starts = []
    for number, zone in enumerate(ZONES * 2):
        starts.append(cluster.start_instance(f"entry-{number + 1}", zone))
        starts.append(cluster.start_engine(f"engine-{number + 1}", zone, "planner"))
    starts.extend(cluster.start_plain_service(f"booking-{z}", z, "booking") for z in ZONES)
    await asyncio.gather(*starts)
    await cluster.register()
    await cluster.wait_until_instances_ready()
    await cluster.apply_declarations(ROOT / "examples" / "tengri")
    await cluster.wait_until_targets_ready()


async def _run_chats(stats: AnswerStats, caller: Caller, seed: int, until: float) -> None:
    rng = random.Random(seed)
    chats = [Chat(f"chat-{seed}-{i}", "camp-large") for i in range(CHAT_COUNT // CHAT_WORKERS + 1)]
    while time.monotonic() < until:
        chat = rng.choice(chats)
        if not chat.messages:
            chat.add_user_message(
                f"group {chat.id} history: " + "tent ghat ration " * rng.randrange(20, 200)
            )
        else:
            chat.add_user_message(f"and what of day {chat.turns}?")
        answer = await caller.send_chat(chat, rng.randrange(4, 40), stream=rng.random() < 0.8)
        stats.record_answer(answer)
        if not answer.is_correct:
            chat.messages.pop()
        await asyncio.sleep(rng.uniform(0.05, 0.4))


async def _run_bookings(stats: AnswerStats, caller: Caller, until: float) -> None:
    rng = random.Random(SEED)
    for number in range(BOOKING_COUNT):
        if time.monotonic() >= until:
            return
        key = f"plot-{number}"
        body = b'{"plot": %d}' % number
        # Some bookings are sent twice at once, as by a user who clicks twice.
        copies = 2 if rng.random() < 0.2 else 1
        sent = [caller.send_command("/booking/bookings", key, body) for _ in range(copies)]
        for answer in await asyncio.gather(*sent):
            stats.record_answer(answer)
            stats.bookings += 1
        stats.record_answer(await caller.look_up(f"/booking/plots/{number}"))
        await asyncio.sleep(0.05)


async def _show_progress(stats: AnswerStats, until: float) -> None:
    while time.monotonic() < until:
        left = until - time.monotonic()
        line = f"  {left:4.0f} s left: {stats.requests} requests, {stats.whole} whole answers"
        if sys.stdout.isatty():
            print(f"\r{line}", end="", flush=True)
        else:
            print(line, flush=True)
        await asyncio.sleep(3.0 if not sys.stdout.isatty() else 0.5)


def _print_table(stats: AnswerStats, runs: dict[str, int]) -> None:
    first_byte_times = sorted(stats.first_byte_times) or [0.0]
    reuse = stats.cached_tokens / max(1, stats.prompt_tokens)
    rows = [
        ("requests", str(stats.requests)),
        ("whole answers", str(stats.whole)),
        ("bookings sent", str(stats.bookings)),
        ("bookings run", str(len(runs))),
        ("prompt tokens from cache", f"{reuse:.0%}"),
        ("first byte, median", f"{first_byte_times[len(first_byte_times) // 2] * 1000:.1f} ms"),
        (
            "first byte, 95 in 100",
            f"{first_byte_times[int(len(first_byte_times) * 0.95)] * 1000:.1f} ms",
        ),
    ]
    rows.extend((f"refused: {code}", str(count)) for code, count in stats.refused.items())
    rows.extend((f"failed: {why}", str(count)) for why, count in stats.failed.items())
    print()
    for name, value in rows:
        print(f"  {name:28} {value:>10}")


async def run_demo() -> int:
    """Run the demo; return exit status 0 if all answers were right and no booking ran twice."""
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-demo-") as name:
        print("starting a platform, 6 instances in 3 zones, 6 engines, 3 booking services")
        async with Cluster(Path(name), ZONES) as cluster:
            await _start(cluster)
            return await _run_callers(cluster)


async def _run_callers(cluster: Cluster) -> int:
    stats = AnswerStats()
    addresses: list[Address] = [node.address for node in cluster.instances.values()]
    chats = Caller(lambda: addresses, "pilgrim-groups-key")
    bookings = Caller(lambda: addresses, "mela-desk-key")
    until = time.monotonic() + DURATION_S
    work = [_run_chats(stats, chats, SEED + i, until) for i in range(CHAT_WORKERS)]
    await asyncio.gather(*work, _run_bookings(stats, bookings, until), _show_progress(stats, until))
    runs = cluster.count_runs_by_key()
    run_twice = sum(count > 1 for count in runs.values())
    _print_table(stats, runs)
    print(
        f"demo: {stats.requests} requests, {stats.whole} whole answers, "
        f"{stats.wrong} wrong, {run_twice} run twice"
    )
    passed = stats.whole == stats.requests and stats.requests > 0
    return 0 if passed and stats.wrong == 0 and run_twice == 0 else 1


def main() -> int:
    """Run the demo and return its exit status; Ctrl-C also ends the processes it started."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await run_demo()

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        print("\ndemo: interrupted")
        return 130
