"""The whole answer to its own request, when connections and answers go wrong on the way."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from loadtool import Caller, Chat, Cluster
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run, start_fleet, wait_until


def list_engines(cluster: Cluster) -> list[Node]:
    """List the engines."""
    return [node for node in cluster.targets.values() if node.kind == "engine"]


async def sum_stats(cluster: Cluster, name: str) -> int:
    """Sum a figure over the engines."""
    found = [await cluster.ask_admin(node, "stats") for node in list_engines(cluster)]
    return sum(int(stats[name]) for stats in found)


def make_chat(name: str) -> Chat:
    """Make a chat with one question."""
    chat = Chat(name, "camp-large")
    chat.ask(f"{name}: which plots are free by the ghat? " * 5)
    return chat


async def freeze_targets(cluster: Cluster) -> None:
    """Let every open connection to a target go silent for good; new ones work."""
    for zone in cluster.zones:
        await cluster.set_route_faults(zone, list(cluster.targets.values()), freeze=True)


async def wait_for_requests(cluster: Cluster, count: int) -> None:
    """Wait until the engines have begun so many requests."""

    async def begun() -> bool:
        return await sum_stats(cluster, "requests") >= count

    await wait_until("the engines have begun", begun)


@pytest.mark.parametrize("stream", [True, False])
def test_cut_answer_is_resumed_on_the_same_engine(tmp_path: Path, stream: bool) -> None:
    """The connection is cut in the middle of an answer's body. The rest is asked for at the byte
    that the caller has reached, over a new connection, from the run that goes on at the engine.
    The caller gets every byte once and sees nothing of it."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plains=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            for number, cut in enumerate((0, 1, 150, 401)):
                await cluster.set_faults(engine, cut_after=cut)
                answer = await caller.ask_chat(make_chat(f"cut-{number}"), 20, stream=stream)
                assert answer.good, answer
            assert await sum_stats(cluster, "requests") == 4
            assert await sum_stats(cluster, "resumed") == 4

    run(work)


def test_answer_of_another_request_reaches_no_caller(tmp_path: Path) -> None:
    """The engine's answer carries another request's id, late or crossed on the way. Its connection
    is closed, nothing of it reaches the caller, and the caller's own answer is asked for."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plains=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            for stream in (True, False):
                await cluster.set_faults(engine, wrong_id=True)
                answer = await caller.ask_chat(make_chat(f"own-{stream}"), 10, stream=stream)
                assert answer.good, answer
            assert await sum_stats(cluster, "requests") == 2

    run(work)


def test_engine_that_dies_in_a_stream_leaves_a_visible_cut(tmp_path: Path) -> None:
    """The engine is killed when the caller has had a part of the stream. Another engine would
    start a different run, so the answer ends with an error event and without its final chunk."""

    async def work() -> None:
        options = ("--token-time", "0.05")
        async with start_fleet(tmp_path, zones=1, plains=0, engine_options=options) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            asking = asyncio.create_task(caller.ask_chat(make_chat("dying"), 60))

            async def flows() -> bool:
                return await sum_stats(cluster, "completion_tokens") >= 5

            await wait_until("the stream flows", flows)
            await engine.process.kill()
            answer = await asking
            assert not answer.whole and not answer.good, answer
            assert answer.status == 200 and answer.failure

    run(work)


@pytest.mark.parametrize("moment", ["idle", "before_head", "in_stream"])
def test_connections_that_go_silent(tmp_path: Path, moment: str) -> None:
    """Every open connection to the engine goes silent for good while new ones work: idle ones that
    the next request takes, one whose answer has not begun, one in the middle of a stream. The run
    is asked for over a new connection; the caller gets it whole, and the engine runs it once."""

    async def work() -> None:
        options = ("--token-time", "0.05") if moment == "in_stream" else ()
        async with start_fleet(tmp_path, zones=1, plains=0, engine_options=options) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            assert (await caller.ask_chat(make_chat("warm"), 3)).good
            if moment == "before_head":
                await cluster.set_faults(engine, stall=1.0)
            if moment == "idle":
                await freeze_targets(cluster)
            asking = asyncio.create_task(caller.ask_chat(make_chat("silent"), 40))
            if moment != "idle":
                await wait_for_requests(cluster, 2)
                if moment == "in_stream":
                    await asyncio.sleep(0.3)
                await freeze_targets(cluster)
            answer = await asking
            assert answer.good, answer
            assert answer.total < 9.0, answer
            assert await sum_stats(cluster, "requests") == 2

    run(work)


def test_lookup_on_a_silent_connection(tmp_path: Path) -> None:
    """A lookup is sent on an idle connection that has gone silent. It is idempotent: asked again
    over a new connection, it is answered well before its deadline."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, engines=0) as cluster:
            caller = make_caller(cluster)
            assert (await caller.look_up("/booking/plots/1")).good
            await freeze_targets(cluster)
            answer = await caller.look_up("/booking/plots/2")
            assert answer.good, answer
            assert answer.total < 5.0, answer

    run(work)


def test_slow_first_byte_is_not_run_twice(tmp_path: Path) -> None:
    """The engine reads a long prompt for longer than a silent connection is given. Asked for again
    beside the old connection, the answer comes from the one run, streamed or whole."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plains=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            await cluster.set_faults(engine, stall=3.0)
            asking = [
                caller.ask_chat(make_chat(f"slow-{stream}"), 10, stream=stream)
                for stream in (True, False)
            ]
            for answer in await asyncio.gather(*asking):
                assert answer.good, answer
            assert await sum_stats(cluster, "requests") == 2
            assert await sum_stats(cluster, "cancelled") == 0

    run(work)


def test_crossed_answers_under_load(tmp_path: Path) -> None:
    """Many chats at once while answers are cut, carry wrong ids and connections are frozen. Each
    caller compares every byte: no answer that looks whole is another one's or is incomplete."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=2, plains=0) as cluster:
            callers: list[Caller] = [make_caller(cluster) for _ in range(12)]
            ending = asyncio.Event()

            async def disturb() -> None:
                for number in range(12):
                    for engine in list_engines(cluster):
                        fault = {"cut_after": 120} if number % 2 else {"wrong_id": True}
                        await cluster.set_faults(engine, **fault)
                    if number % 4 == 3:
                        await freeze_targets(cluster)
                    await asyncio.sleep(0.2)
                ending.set()

            async def talk(index: int) -> list[bool]:
                seen: list[bool] = []
                while not ending.is_set():
                    chat = make_chat(f"load-{index}-{len(seen)}")
                    answer = await callers[index].ask_chat(chat, 10, stream=index % 2 == 0)
                    assert not answer.wrong, answer
                    seen.append(answer.good)
                return seen

            disturbing = asyncio.create_task(disturb())
            results = await asyncio.gather(*(talk(index) for index in range(len(callers))))
            await disturbing
            good = [one for result in results for one in result]
            assert sum(good) >= 0.9 * len(good), f"{sum(good)} of {len(good)}"

    run(work)


def test_error_event_is_the_last_of_a_cut_stream() -> None:
    """The documented event parses as JSON, so that a caller's library can show it."""
    from rhubarbbend.shell._open_request import STREAM_ERROR

    text = (STREAM_ERROR % b"target_failed").decode()
    data = text.split("data: ", 1)[1]
    assert msgspec.json.decode(data) == {"error": {"code": "target_failed"}}
