"""A request that crashes every target that runs it, and the unrelated requests beside it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool import Chat, Cluster
from loadtool._caller import Answer
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet, wait_until

CRASH_TRIGGER = "a word that ends the engine"
REFUSAL_CODE = "request_crashes_targets"


def make_crashing_chat() -> Chat:
    """Return the chat that crashes engines; its body is the same each time."""
    chat = Chat("bad", "camp-large")
    chat.add_user_message(CRASH_TRIGGER)
    return chat


def list_crashed_targets(cluster: Cluster) -> list[Node]:
    """Return the nodes of the engines that have crashed."""
    return [node for node in cluster.targets.values() if not node.process.running]


@pytest.mark.parametrize("stream", [True, False])
def test_crashing_request_is_refused_after_the_second_crash(tmp_path: Path, stream: bool) -> None:
    """A request crashes the engine that runs it and then a second one.

    If its answer had begun, it is cut and the caller sends it again through another instance;
    otherwise it is retried on another engine at once. Then every instance refuses it, and no third
    engine crashes, even after the two have restarted. The chats beside it are never refused because
    of it: those whose answer had begun are cut visibly, the others run on another engine.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=2, plain_services=0) as cluster:
            caller = make_caller(cluster)
            for engine in cluster.targets.values():
                await cluster.set_faults(engine, crash_on=CRASH_TRIGGER)
            crashes_checked = asyncio.Event()

            async def send_chats(index: int) -> list[Answer]:
                chat_answers: list[Answer] = []
                while not crashes_checked.is_set():
                    chat = Chat(f"good-{index}", "camp-large")
                    chat.add_user_message(f"{index} {len(chat_answers)}: which plots are free?")
                    chat_answers.append(await caller.send_chat(chat, 10))
                return chat_answers

            chat_tasks = [asyncio.create_task(send_chats(index)) for index in range(6)]
            await asyncio.sleep(0.5)
            for _ in range(3):
                refusal = await caller.send_chat(make_crashing_chat(), 40, stream=stream)
                assert not refusal.is_correct
                if refusal.code:
                    break
            assert (refusal.status, refusal.code) == (422, REFUSAL_CODE), refusal

            async def have_two_ended() -> bool:
                return len(list_crashed_targets(cluster)) >= 2

            # The event loop may learn of the end of a process later than its caller.
            await wait_until("two engines have ended", have_two_ended)
            crashed = list_crashed_targets(cluster)
            assert len(crashed) == 2, crashed
            for node in cluster.instances.values():
                repeat = await caller.send_chat(
                    make_crashing_chat(), 40, stream=stream, address=node.address
                )
                assert (repeat.status, repeat.code) == (422, REFUSAL_CODE), repeat
                assert repeat.total < 0.5, repeat
            for node in crashed:
                await cluster.restart_target(node)
                await cluster.set_faults(node, crash_on=CRASH_TRIGGER)
            await cluster.wait_until_targets_ready()
            for node in cluster.instances.values():
                repeat = await caller.send_chat(
                    make_crashing_chat(), 40, stream=stream, address=node.address
                )
                assert repeat.code == REFUSAL_CODE, repeat
            crashes_checked.set()
            chat_answers = [
                answer for answers in await asyncio.gather(*chat_tasks) for answer in answers
            ]
            assert not list_crashed_targets(cluster)
            assert not [answer for answer in chat_answers if answer.code == REFUSAL_CODE]
            assert not [answer for answer in chat_answers if answer.is_incorrect]
            correct_count = sum(answer.is_correct for answer in chat_answers)
            assert correct_count >= 0.9 * len(
                chat_answers
            ), f"{correct_count} of {len(chat_answers)}"

    run_with_timeout(work)


def test_partition_does_not_mark_a_request_as_crashing(tmp_path: Path) -> None:
    """The network from a zone to the engines goes silent with requests in flight, twice.

    The engines are healthy, so no caller is told that its request crashed them, and the request
    runs afterwards.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, engines=2, plain_services=0) as cluster:
            caller = make_caller(cluster)
            engines = list(cluster.targets.values())
            (zone,) = cluster.zones
            for engine in engines:
                await cluster.set_faults(engine, stall=1.0)
            for _ in range(2):
                chat = Chat("one", "camp-large")
                chat.add_user_message("which plots are free?")
                pending_answer = asyncio.create_task(caller.send_chat(chat, 10, deadline=3.0))
                await asyncio.sleep(0.3)
                await cluster.set_route_faults(zone, engines, blackhole=True, cut=True)
                answer = await pending_answer
                assert answer.code != REFUSAL_CODE, answer
                await cluster.set_route_faults(zone, engines, blackhole=False)
                await cluster.wait_until_targets_ready()
            for engine in engines:
                await cluster.set_faults(engine, stall=0.0)
            chat = Chat("one", "camp-large")
            chat.add_user_message("which plots are free?")
            answer = await caller.send_chat(chat, 10)
            assert answer.is_correct, answer

    run_with_timeout(work)
