"""`make demo`: the Tengri deployment on one machine, with returning chats and bookings."""

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
SECONDS: Final = 15.0
CHATS: Final = 60
WORKERS: Final = 24
BOOKINGS: Final = 120
SEED: Final = 7


@attrs.define(slots=True)
class Tally:
    """What the callers saw."""

    requests: int = 0
    whole: int = 0
    wrong: int = 0
    refused: dict[str, int] = attrs.Factory(dict)
    failed: dict[str, int] = attrs.Factory(dict)
    first_bytes: list[float] = attrs.Factory(list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    bookings: int = 0

    def add(self, answer: Answer) -> None:
        """Count one answer."""
        self.requests += 1
        self.whole += answer.good
        self.wrong += answer.wrong
        if answer.good:
            self.first_bytes.append(answer.first_byte)
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
    starts.extend(cluster.start_plain(f"booking-{z}", z, "booking") for z in ZONES)
    await asyncio.gather(*starts)
    await cluster.register()
    await cluster.wait_ready()
    await cluster.apply(ROOT / "examples" / "tengri")
    await cluster.wait_targets()


async def _run_chats(tally: Tally, caller: Caller, seed: int, until: float) -> None:
    rng = random.Random(seed)
    chats = [Chat(f"chat-{seed}-{i}", "camp-large") for i in range(CHATS // WORKERS + 1)]
    while time.monotonic() < until:
        chat = rng.choice(chats)
        if not chat.messages:
            chat.ask(f"group {chat.id} history: " + "tent ghat ration " * rng.randrange(20, 200))
        else:
            chat.ask(f"and what of day {chat.turns}?")
        answer = await caller.ask_chat(chat, rng.randrange(4, 40), stream=rng.random() < 0.8)
        tally.add(answer)
        if not answer.good:
            chat.messages.pop()
        await asyncio.sleep(rng.uniform(0.05, 0.4))


async def _run_bookings(tally: Tally, caller: Caller, until: float) -> None:
    rng = random.Random(SEED)
    for number in range(BOOKINGS):
        if time.monotonic() >= until:
            return
        key = f"plot-{number}"
        body = b'{"plot": %d}' % number
        # Some callers send a booking twice at once, as an impatient desk does.
        copies = 2 if rng.random() < 0.2 else 1
        sent = [caller.send_command("/booking/bookings", key, body) for _ in range(copies)]
        for answer in await asyncio.gather(*sent):
            tally.add(answer)
            tally.bookings += 1
        tally.add(await caller.look_up(f"/booking/plots/{number}"))
        await asyncio.sleep(0.05)


async def _show_progress(tally: Tally, until: float) -> None:
    while time.monotonic() < until:
        left = until - time.monotonic()
        line = f"  {left:4.0f} s left: {tally.requests} requests, {tally.whole} whole answers"
        if sys.stdout.isatty():
            print(f"\r{line}", end="", flush=True)
        else:
            print(line, flush=True)
        await asyncio.sleep(3.0 if not sys.stdout.isatty() else 0.5)


def _print_table(tally: Tally, runs: dict[str, int]) -> None:
    first = sorted(tally.first_bytes) or [0.0]
    reuse = tally.cached_tokens / max(1, tally.prompt_tokens)
    rows = [
        ("requests", str(tally.requests)),
        ("whole answers", str(tally.whole)),
        ("bookings sent", str(tally.bookings)),
        ("bookings run", str(len(runs))),
        ("prompt tokens from cache", f"{reuse:.0%}"),
        ("first byte, median", f"{first[len(first) // 2] * 1000:.1f} ms"),
        ("first byte, 95 in 100", f"{first[int(len(first) * 0.95)] * 1000:.1f} ms"),
    ]
    rows.extend((f"refused: {code}", str(count)) for code, count in tally.refused.items())
    rows.extend((f"failed: {why}", str(count)) for why, count in tally.failed.items())
    print()
    for name, value in rows:
        print(f"  {name:28} {value:>10}")


async def run_demo() -> int:
    """Run the demo; gives the exit status."""
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-demo-") as name:
        print("starting a platform, 6 instances in 3 zones, 6 engines, 3 booking services")
        async with Cluster(Path(name), ZONES) as cluster:
            await _start(cluster)
            return await _drive(cluster)


async def _drive(cluster: Cluster) -> int:
    tally = Tally()
    addresses: list[Address] = [node.address for node in cluster.instances.values()]
    chats = Caller(lambda: addresses, "pilgrim-groups-key")
    bookings = Caller(lambda: addresses, "mela-desk-key")
    until = time.monotonic() + SECONDS
    work = [_run_chats(tally, chats, SEED + i, until) for i in range(WORKERS)]
    await asyncio.gather(*work, _run_bookings(tally, bookings, until), _show_progress(tally, until))
    runs = cluster.read_runs()
    twice = sum(count > 1 for count in runs.values())
    _print_table(tally, runs)
    print(
        f"demo: {tally.requests} requests, {tally.whole} whole answers, "
        f"{tally.wrong} wrong, {twice} run twice"
    )
    held = tally.whole == tally.requests and tally.requests > 0
    return 0 if held and tally.wrong == 0 and twice == 0 else 1


def main() -> int:
    """Run the demo so that Ctrl-C ends it and everything it started."""

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
