"""What the tests of configuration, zones and stops share: views of instances, cut-off zones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from loadtool import Answer, Caller, Chat, Cluster
from loadtool._cluster import HOST, SECRET, Node
from rhubarbbend.operators import OperatorClient, derive_operator_key


def connect(node: Node) -> OperatorClient:
    """Make an operator's client of an instance."""
    return OperatorClient((HOST, node.operator_port), derive_operator_key(SECRET.encode()))


async def show(node: Node, what: str) -> Any:
    """Show config, zones, targets or instances as an instance sees them."""

    def call() -> Any:
        with connect(node) as client:
            return client.show(what)

    return await asyncio.to_thread(call)


async def read_version(node: Node) -> int:
    """Read the version in force at an instance."""
    return int((await show(node, "config")).version)


async def is_zone_in(node: Node, zone: str) -> bool:
    """Whether an instance takes a zone as in service."""
    return next(bool(z.in_service) for z in await show(node, "zones") if z.name == zone)


async def set_cut(cluster: Cluster, zone: str, cut: bool) -> None:
    """Cut a zone off from the platform and from every other zone, or join it again."""
    assert cluster.platform is not None
    nodes = [*cluster.instances.values(), *cluster.targets.values()]
    inside = [node for node in nodes if node.zone == zone]
    outside = [node for node in nodes if node.zone != zone]
    await cluster.set_route_faults(zone, [*outside, cluster.platform], blackhole=cut)
    for other in cluster.zones:
        if other != zone:
            await cluster.set_route_faults(other, inside, blackhole=cut)


async def read_last_request(cluster: Cluster, target: Node) -> float:
    """Read when a target last got work, in Unix time by its own clock."""
    return float((await cluster.ask_admin(target, "stats"))["last_request"])


class Load:
    """Chats and lookups that go on until stopped; keeps every answer."""

    def __init__(self) -> None:
        self.answers: list[tuple[float, Answer]] = []
        self.running = True

    async def run_chats(self, caller: Caller, name: str, words: int = 8) -> None:
        """Ask new chats one after the other."""
        number = 0
        while self.running:
            number += 1
            chat = Chat(f"{name}-{number}", "camp-large")
            chat.ask(f"which plots are free, asks {name}?")
            started = time.time()
            self.answers.append((started, await caller.ask_chat(chat, words)))

    async def run_commands(self, caller: Caller, name: str) -> None:
        """Book one plot after the other."""
        number = 0
        while self.running:
            number += 1
            started = time.time()
            key = f"{name}-{number}"
            answer = await caller.send_command("/booking/bookings", key, b"{}")
            self.answers.append((started, answer))
            await asyncio.sleep(0.02)

    @property
    def bad(self) -> list[Answer]:
        """Answers that are not whole, right and 200."""
        return [answer for _, answer in self.answers if not answer.good]


@asynccontextmanager
async def keep_loaded(callers: list[Caller], chats: int, commands: int) -> AsyncIterator[Load]:
    """Keep so many chats and commands going at each caller; waits for the last answers."""
    load = Load()
    async with asyncio.TaskGroup() as group:
        for index, caller in enumerate(callers):
            for n in range(chats):
                group.create_task(load.run_chats(caller, f"chat-{index}-{n}"))
            for n in range(commands):
                group.create_task(load.run_commands(caller, f"book-{index}-{n}"))
        yield load
        load.running = False
