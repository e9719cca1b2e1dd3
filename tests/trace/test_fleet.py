"""Tests that traces of a fleet under load replay with the same actions in another process."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path

from loadtool import Caller, Chat, Cluster
from loadtool._cluster import SECRET
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet

LOAD_S = 3.0
# Every trace must hold more lines than this. On a slow machine, callers send chats for longer until
# it does, for at most MAX_EXTRA_LOAD_S.
MIN_TRACE_LINES = 500
MAX_EXTRA_LOAD_S = 30.0
PROMPT = "tent by the northern ghat"


async def _run_chat(caller: Caller, number: int, until: float) -> None:
    rng = random.Random(number)
    chat = Chat(f"chat-{number}", "camp-large")
    while asyncio.get_running_loop().time() < until:
        chat.add_user_message(PROMPT * rng.randrange(1, 60))
        answer = await caller.send_chat(chat, rng.randrange(2, 12), stream=True)
        if not answer.is_correct:
            chat.messages.pop()


async def _run_chats(caller: Caller, until: float) -> None:
    await asyncio.gather(*(_run_chat(caller, number, until) for number in range(8)))


async def _send_commands(caller: Caller, until: float) -> None:
    number = 0
    while asyncio.get_running_loop().time() < until:
        number += 1
        body = b'{"plot": %d}' % number
        keys = [f"plot-{number}", f"plot-{number}"]
        await asyncio.gather(*(caller.send_command("/booking/bookings", k, body) for k in keys))


async def _inject_faults(cluster: Cluster) -> None:
    """Kill an engine and cut one zone off the platform, so that rare decisions are recorded too."""
    assert cluster.platform is not None
    await asyncio.sleep(LOAD_S / 3)
    await cluster.targets["engine-a1"].process.kill()
    await cluster.set_route_faults("almaty-a", [cluster.platform], refuse=True, cut=True)
    await asyncio.sleep(LOAD_S / 3)
    await cluster.set_route_faults("almaty-a", [cluster.platform], refuse=False)


def _count_lines(folder: Path, name: str) -> int:
    return (folder / f"{name}.trace").read_bytes().count(b"\n")


def _replay(path: Path) -> tuple[int, str]:
    command = [sys.executable, "-m", "rhubarbbend", "replay", str(path)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    return completed.returncode, completed.stdout + completed.stderr


def test_traces_of_a_fleet_under_load_replay_with_the_same_actions(tmp_path: Path) -> None:
    """Guards against a replay that depends on something that is not in the trace.

    Such a replay would return other actions in a new process: its clock and secret differ, and so
    does the order of sets, because its string hashes differ. The instances record their events
    while an engine crashes and a zone is cut off the platform.
    """
    names = ["entry-a1", "entry-a2", "entry-b1", "entry-b2"]

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engines=2, record_traces=True) as cluster:
            caller = make_caller(cluster)
            until = asyncio.get_running_loop().time() + LOAD_S
            await asyncio.gather(
                _run_chats(caller, until), _send_commands(caller, until), _inject_faults(cluster)
            )
            deadline = until + MAX_EXTRA_LOAD_S
            while min(_count_lines(tmp_path, name) for name in names) <= MIN_TRACE_LINES:
                until = asyncio.get_running_loop().time() + 1.0
                assert until < deadline
                await _run_chats(caller, until)
            stops = [cluster.instances[name].process.stop() for name in names[:2]]
            assert await asyncio.gather(*stops) == [0, 0]

    run_with_timeout(work)
    for name in names:
        path = tmp_path / f"{name}.trace"
        status, output = _replay(path)
        assert status == 0, output
        data = path.read_bytes()
        assert data.count(b"\n") > MIN_TRACE_LINES
        for private_text in (SECRET.encode(), PROMPT.encode(), b"plot-1", b"-key"):
            assert private_text not in data
