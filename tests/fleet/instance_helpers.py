"""Shared helpers: what an instance shows to operators, partitions of a zone, mixed load."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from loadtool import Answer, Caller, Chat, Cluster
from loadtool._cluster import HOST, SECRET, Node
from rhubarbbend.operators import OperatorClient, derive_operator_key


def make_operator_client(node: Node) -> OperatorClient:
    """Return an operator client for an instance."""
    return OperatorClient((HOST, node.operator_port), derive_operator_key(SECRET.encode()))


async def fetch_view(node: Node, view_kind: str) -> Any:
    """Return the `config`, `zones`, `targets` or `instances` view of an instance."""

    def fetch() -> Any:
        with make_operator_client(node) as client:
            return client.show(view_kind)

    return await asyncio.to_thread(fetch)


async def read_config_version(node: Node) -> int:
    """Return the configuration version in force at an instance."""
    return int((await fetch_view(node, "config")).version)


async def is_zone_in_service(node: Node, zone: str) -> bool:
    """Return whether an instance treats a zone as in service."""
    return next(
        bool(view.in_service) for view in await fetch_view(node, "zones") if view.name == zone
    )


async def set_zone_partitioned(cluster: Cluster, zone: str, partitioned: bool) -> None:
    """Partition a zone from the platform and from all other zones, or reconnect it."""
    assert cluster.platform is not None
    nodes = [*cluster.instances.values(), *cluster.targets.values()]
    inside = [node for node in nodes if node.zone == zone]
    outside = [node for node in nodes if node.zone != zone]
    await cluster.set_route_faults(zone, [*outside, cluster.platform], blackhole=partitioned)
    for other in cluster.zones:
        if other != zone:
            await cluster.set_route_faults(other, inside, blackhole=partitioned)


async def read_last_request_time(cluster: Cluster, target: Node) -> float:
    """Return when a target last received a request, in Unix seconds by the target's clock."""
    return float((await cluster.call_admin(target, "stats"))["last_request"])


class LoadGenerator:
    """Send chats and commands until stopped, and record every answer with its start time."""

    def __init__(self) -> None:
        self.answers: list[tuple[float, Answer]] = []
        self.running = True

    async def run_chats(self, caller: Caller, name: str, max_tokens: int = 8) -> None:
        """Send new chats one after the other."""
        number = 0
        while self.running:
            number += 1
            chat = Chat(f"{name}-{number}", "camp-large")
            chat.add_user_message(f"which plots are free, asks {name}?")
            started_at = time.time()
            self.answers.append((started_at, await caller.send_chat(chat, max_tokens)))

    async def run_commands(self, caller: Caller, name: str) -> None:
        """Send booking commands one after the other, each under a new key."""
        number = 0
        while self.running:
            number += 1
            started_at = time.time()
            key = f"{name}-{number}"
            answer = await caller.send_command("/booking/bookings", key, b"{}")
            self.answers.append((started_at, answer))
            await asyncio.sleep(0.02)

    @property
    def failed_answers(self) -> list[Answer]:
        """Answers that are not complete and correct with status 200."""
        return [answer for _, answer in self.answers if not answer.is_correct]


@asynccontextmanager
async def run_mixed_load(
    callers: list[Caller], chats: int, commands: int
) -> AsyncIterator[LoadGenerator]:
    """Run `chats` and `commands` request loops per caller; on exit, wait for the last answers."""
    load = LoadGenerator()
    async with asyncio.TaskGroup() as group:
        for index, caller in enumerate(callers):
            for n in range(chats):
                group.create_task(load.run_chats(caller, f"chat-{index}-{n}"))
            for n in range(commands):
                group.create_task(load.run_commands(caller, f"book-{index}-{n}"))
        yield load
        load.running = False
