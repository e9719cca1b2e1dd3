"""A request that crashes each target that runs it, and the innocent requests beside it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool import Chat, Cluster
from loadtool._caller import Answer
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run, start_fleet

WORD = "a word that ends the engine"
CODE = "request_crashes_targets"


def make_bad_chat() -> Chat:
    """Make the chat that crashes engines; its body is the same each time."""
    chat = Chat("bad", "camp-large")
    chat.ask(WORD)
    return chat


def list_dead(cluster: Cluster) -> list[Node]:
    """List the engines that have crashed."""
    return [node for node in cluster.targets.values() if not node.process.running]


@pytest.mark.parametrize("stream", [True, False])
def test_crashing_request_is_refused_after_the_second_crash(tmp_path: Path, stream: bool) -> None:
    """A request crashes the engine that runs it and then a second one: if its answer had begun it
    is cut and the caller sends it again through another instance, else it is tried elsewhere at
    once. Then its caller is told, by every instance; no third engine falls, also when the two are
    back. The chats beside it are never refused for it: those
    whose answer had begun are cut visibly, the others run elsewhere."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=2, plains=0) as cluster:
            caller = make_caller(cluster)
            for engine in cluster.targets.values():
                await cluster.set_faults(engine, crash_on=WORD)
            ending = asyncio.Event()

            async def talk(index: int) -> list[Answer]:
                told: list[Answer] = []
                while not ending.is_set():
                    chat = Chat(f"good-{index}", "camp-large")
                    chat.ask(f"{index} {len(told)}: which plots are free?")
                    told.append(await caller.ask_chat(chat, 10))
                return told

            talking = [asyncio.create_task(talk(index)) for index in range(6)]
            await asyncio.sleep(0.5)
            for _ in range(3):
                first = await caller.ask_chat(make_bad_chat(), 40, stream=stream)
                assert not first.good
                if first.code:
                    break
            assert (first.status, first.code) == (422, CODE), first
            dead = list_dead(cluster)
            assert len(dead) == 2, dead
            for node in cluster.instances.values():
                again = await caller.ask_chat(
                    make_bad_chat(), 40, stream=stream, address=node.address
                )
                assert (again.status, again.code) == (422, CODE), again
                assert again.total < 0.5, again
            for node in dead:
                await cluster.restart_target(node)
                await cluster.set_faults(node, crash_on=WORD)
            await cluster.wait_targets()
            for node in cluster.instances.values():
                again = await caller.ask_chat(
                    make_bad_chat(), 40, stream=stream, address=node.address
                )
                assert again.code == CODE, again
            ending.set()
            told = [answer for answers in await asyncio.gather(*talking) for answer in answers]
            assert not list_dead(cluster)
            assert not [answer for answer in told if answer.code == CODE]
            assert not [answer for answer in told if answer.wrong]
            good = sum(answer.good for answer in told)
            assert good >= 0.9 * len(told), f"{good} of {len(told)}"

    run(work)


def test_partition_blames_no_request(tmp_path: Path) -> None:
    """The ways from a zone to the engines go silent with requests in flight, twice. The engines
    are well, so nobody is told that a request crashed them; afterwards it runs."""

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, engines=2, plains=0) as cluster:
            caller = make_caller(cluster)
            engines = list(cluster.targets.values())
            (zone,) = cluster.zones
            for engine in engines:
                await cluster.set_faults(engine, stall=1.0)
            for _ in range(2):
                chat = Chat("one", "camp-large")
                chat.ask("which plots are free?")
                asking = asyncio.create_task(caller.ask_chat(chat, 10, deadline=3.0))
                await asyncio.sleep(0.3)
                await cluster.set_route_faults(zone, engines, blackhole=True, cut=True)
                answer = await asking
                assert answer.code != CODE, answer
                await cluster.set_route_faults(zone, engines, blackhole=False)
                await cluster.wait_targets()
            for engine in engines:
                await cluster.set_faults(engine, stall=0.0)
            chat = Chat("one", "camp-large")
            chat.ask("which plots are free?")
            answer = await caller.ask_chat(chat, 10)
            assert answer.good, answer

    run(work)
