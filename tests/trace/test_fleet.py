"""A recorded run of a real fleet under load replays in another process with the same actions."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path

from loadtool import Caller, Chat, Cluster
from loadtool._cluster import SECRET
from tests.fleet.harness import make_caller, run, start_fleet

SECONDS = 3.0
# A trace holds more than so many lines; on a slow machine callers go on until it does.
LINES = 500
PATIENCE = 30.0
WORDS = "tent by the northern ghat"


async def _chat(caller: Caller, number: int, until: float) -> None:
    rng = random.Random(number)
    chat = Chat(f"chat-{number}", "camp-large")
    while asyncio.get_running_loop().time() < until:
        chat.ask(WORDS * rng.randrange(1, 60))
        answer = await caller.ask_chat(chat, rng.randrange(2, 12), stream=True)
        if not answer.good:
            chat.messages.pop()


async def _ask(caller: Caller, until: float) -> None:
    await asyncio.gather(*(_chat(caller, number, until) for number in range(8)))


async def _book(caller: Caller, until: float) -> None:
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        body = b'{"plot": %d}' % number
        keys = [f"plot-{number}", f"plot-{number}"]
        await asyncio.gather(*(caller.send_command("/booking/bookings", k, body) for k in keys))


async def _disturb(cluster: Cluster) -> None:
    """A cut to the platform and a crash of an engine, so that rarer decisions are recorded."""
    assert cluster.platform is not None
    await asyncio.sleep(SECONDS / 3)
    await cluster.targets["engine-a1"].process.kill()
    await cluster.set_route_faults("almaty-a", [cluster.platform], refuse=True, cut=True)
    await asyncio.sleep(SECONDS / 3)
    await cluster.set_route_faults("almaty-a", [cluster.platform], refuse=False)


def _count_lines(folder: Path, name: str) -> int:
    return (folder / f"{name}.trace").read_bytes().count(b"\n")


def _replay(path: Path) -> tuple[int, str]:
    command = [sys.executable, "-m", "rhubarbbend", "replay", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


def test_replays_a_fleet_under_load(tmp_path: Path) -> None:
    """Each instance records all that it is told while an engine crashes and the platform is cut.

    A replay that leant on the clock, on the secret, on the order of a set or on anything else that
    is not in the trace would come to other actions in the new process, whose string hashes differ.
    """
    names = ["entry-a1", "entry-a2", "entry-b1", "entry-b2"]

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engines=2, record=True) as cluster:
            caller = make_caller(cluster)
            until = asyncio.get_running_loop().time() + SECONDS
            await asyncio.gather(_ask(caller, until), _book(caller, until), _disturb(cluster))
            ends = until + PATIENCE
            while min(_count_lines(tmp_path, name) for name in names) <= LINES:
                until = asyncio.get_running_loop().time() + 1.0
                assert until < ends
                await _ask(caller, until)
            stops = [cluster.instances[name].process.stop() for name in names[:2]]
            assert await asyncio.gather(*stops) == [0, 0]

    run(work)
    for name in names:
        path = tmp_path / f"{name}.trace"
        status, output = _replay(path)
        assert status == 0, output
        data = path.read_bytes()
        assert data.count(b"\n") > LINES
        for private in (SECRET.encode(), WORDS.encode(), b"plot-1", b"-key"):
            assert private not in data
