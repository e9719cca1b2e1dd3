"""Answers are complete and belong to their own request although connections and answers fail."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from loadtool import Caller, Chat, Cluster
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet, wait_until


def list_engines(cluster: Cluster) -> list[Node]:
    """Return the nodes of the engines."""
    return [node for node in cluster.targets.values() if node.kind == "engine"]


async def sum_engine_stat(cluster: Cluster, name: str) -> int:
    """Return the sum of one statistic over the engines."""
    all_stats = [await cluster.call_admin(node, "stats") for node in list_engines(cluster)]
    return sum(int(stats[name]) for stats in all_stats)


def make_chat(name: str) -> Chat:
    """Return a chat with one question."""
    chat = Chat(name, "camp-large")
    chat.add_user_message(f"{name}: which plots are free by the ghat? " * 5)
    return chat


async def freeze_target_connections(cluster: Cluster) -> None:
    """Make every open connection to a target silent for good; new connections work."""
    for zone in cluster.zones:
        await cluster.set_route_faults(zone, list(cluster.targets.values()), freeze=True)


async def wait_for_started_requests(cluster: Cluster, count: int) -> None:
    """Wait until the engines have started `count` requests."""

    async def have_started() -> bool:
        return await sum_engine_stat(cluster, "requests") >= count

    await wait_until("the engines have started the requests", have_started)


@pytest.mark.parametrize("stream", [True, False])
def test_cut_answer_is_resumed_on_the_same_engine(tmp_path: Path, stream: bool) -> None:
    """The connection to the engine breaks in the middle of the body of an answer.

    The instance requests the rest over a new connection, from the byte that the caller has reached,
    while the run goes on at the engine. The caller gets every byte once and does not notice.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plain_services=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            for number, cut in enumerate((0, 1, 150, 401)):
                await cluster.set_faults(engine, cut_after=cut)
                answer = await caller.send_chat(make_chat(f"cut-{number}"), 20, stream=stream)
                assert answer.is_correct, answer
            assert await sum_engine_stat(cluster, "requests") == 4
            assert await sum_engine_stat(cluster, "resumed") == 4

    run_with_timeout(work)


def test_answer_of_another_request_reaches_no_caller(tmp_path: Path) -> None:
    """The engine's answer carries the id of another request, as a late or mixed-up answer does.

    The instance closes the connection, passes nothing of that answer on, and requests the caller's
    own answer again.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plain_services=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            for stream in (True, False):
                await cluster.set_faults(engine, wrong_id=True)
                answer = await caller.send_chat(make_chat(f"own-{stream}"), 10, stream=stream)
                assert answer.is_correct, answer
            assert await sum_engine_stat(cluster, "requests") == 2

    run_with_timeout(work)


def test_engine_killed_mid_stream_leaves_a_visibly_truncated_answer(tmp_path: Path) -> None:
    """The engine is killed after the caller has received a part of the stream.

    Another engine would start a different run, so the answer ends with an error event and without
    its final chunk.
    """

    async def work() -> None:
        options = ("--token-time", "0.05")
        async with start_fleet(
            tmp_path, zones=1, plain_services=0, engine_options=options
        ) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            pending_answer = asyncio.create_task(caller.send_chat(make_chat("dying"), 60))

            async def is_streaming() -> bool:
                return await sum_engine_stat(cluster, "completion_tokens") >= 5

            await wait_until("the engine streams its answer", is_streaming)
            await engine.process.kill()
            answer = await pending_answer
            assert not answer.complete and not answer.is_correct, answer
            assert answer.status == 200 and answer.failure

    run_with_timeout(work)


@pytest.mark.parametrize("moment", ["idle", "before_head", "in_stream"])
def test_request_completes_when_connections_go_silent(tmp_path: Path, moment: str) -> None:
    """Every open connection to the engine goes silent for good while new connections work.

    This hits an idle connection that the next request reuses, one whose answer has not begun, or
    one in the middle of a stream. The instance requests the run's answer over a new connection: the
    caller gets it complete, and the engine runs the request once.
    """

    async def work() -> None:
        options = ("--token-time", "0.05") if moment == "in_stream" else ()
        async with start_fleet(
            tmp_path, zones=1, plain_services=0, engine_options=options
        ) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            assert (await caller.send_chat(make_chat("warm"), 3)).is_correct
            if moment == "before_head":
                await cluster.set_faults(engine, stall=1.0)
            if moment == "idle":
                await freeze_target_connections(cluster)
            pending_answer = asyncio.create_task(caller.send_chat(make_chat("silent"), 40))
            if moment != "idle":
                await wait_for_started_requests(cluster, 2)
                if moment == "in_stream":
                    await asyncio.sleep(0.3)
                await freeze_target_connections(cluster)
            answer = await pending_answer
            assert answer.is_correct, answer
            assert answer.total < 9.0, answer
            assert await sum_engine_stat(cluster, "requests") == 2

    run_with_timeout(work)


def test_lookup_on_a_silent_connection_is_retried(tmp_path: Path) -> None:
    """A lookup is sent on an idle connection that has gone silent.

    A lookup is idempotent, so it is retried over a new connection and answered well before its
    deadline.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, engines=0) as cluster:
            caller = make_caller(cluster)
            assert (await caller.look_up("/booking/plots/1")).is_correct
            await freeze_target_connections(cluster)
            answer = await caller.look_up("/booking/plots/2")
            assert answer.is_correct, answer
            assert answer.total < 5.0, answer

    run_with_timeout(work)


def test_slow_first_byte_does_not_run_the_request_twice(tmp_path: Path) -> None:
    """The engine reads a long prompt for longer than the timeout for a silent connection.

    The instance requests the answer again over a second connection; it comes from the one run,
    whether streamed or not.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, plain_services=0) as cluster:
            caller = make_caller(cluster)
            (engine,) = list_engines(cluster)
            await cluster.set_faults(engine, stall=3.0)
            pending_answers = [
                caller.send_chat(make_chat(f"slow-{stream}"), 10, stream=stream)
                for stream in (True, False)
            ]
            for answer in await asyncio.gather(*pending_answers):
                assert answer.is_correct, answer
            assert await sum_engine_stat(cluster, "requests") == 2
            assert await sum_engine_stat(cluster, "cancelled") == 0

    run_with_timeout(work)


def test_no_wrong_answers_under_load_with_faults(tmp_path: Path) -> None:
    """Many chats run at once while answers are cut, carry wrong ids and connections freeze.

    Each caller compares every byte: no answer that looks complete may be incomplete or belong to
    another request.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=2, plain_services=0) as cluster:
            callers: list[Caller] = [make_caller(cluster) for _ in range(12)]
            faults_finished = asyncio.Event()

            async def inject_faults() -> None:
                for number in range(12):
                    for engine in list_engines(cluster):
                        fault = {"cut_after": 120} if number % 2 else {"wrong_id": True}
                        await cluster.set_faults(engine, **fault)
                    if number % 4 == 3:
                        await freeze_target_connections(cluster)
                    await asyncio.sleep(0.2)
                faults_finished.set()

            async def send_chats(index: int) -> list[bool]:
                outcomes: list[bool] = []
                while not faults_finished.is_set():
                    chat = make_chat(f"load-{index}-{len(outcomes)}")
                    answer = await callers[index].send_chat(chat, 10, stream=index % 2 == 0)
                    assert not answer.is_incorrect, answer
                    outcomes.append(answer.is_correct)
                return outcomes

            fault_task = asyncio.create_task(inject_faults())
            outcomes_by_caller = await asyncio.gather(
                *(send_chats(index) for index in range(len(callers)))
            )
            await fault_task
            correct = [is_correct for outcomes in outcomes_by_caller for is_correct in outcomes]
            assert sum(correct) >= 0.9 * len(correct), f"{sum(correct)} of {len(correct)}"

    run_with_timeout(work)


def test_error_event_of_a_cut_stream_is_valid_json() -> None:
    """The documented error event parses as JSON, so a caller's library can show it."""
    from rhubarbbend.shell._open_request import STREAM_ERROR

    text = (STREAM_ERROR % b"target_failed").decode()
    data = text.split("data: ", 1)[1]
    assert msgspec.json.decode(data) == {"error": {"code": "target_failed"}}
