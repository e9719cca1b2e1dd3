"""Steady load on a fleet under test, and what the engines say that they ran."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import attrs

from loadtool import Answer, Caller, Chat, Cluster, Node
from rhubarbbend.operators import OperatorClient, derive_operator_key

MODEL = "camp-large"
SECRET = b"a secret of the stand-in fleet"


@attrs.define(slots=True)
class Load:
    """Answers of a steady load, in the order in which they came."""

    answers: list[Answer] = attrs.Factory(list)

    @property
    def good(self) -> int:
        """How many were whole and right."""
        return sum(answer.good for answer in self.answers)

    def count_codes(self) -> dict[str, int]:
        """Count the refusals by code, and what failed otherwise."""
        found: dict[str, int] = {}
        for answer in self.answers:
            if not answer.good:
                name = answer.code or answer.failure or "cut"
                found[name] = found.get(name, 0) + 1
        return found


async def keep_asking(
    caller: Caller,
    address: tuple[str, int] | None,
    load: Load,
    max_tokens: int,
    chat_id: str,
    deadline: float,
) -> None:
    """Ask one request after the other; a refused caller waits a moment as it is told to."""
    while True:
        chat = Chat(chat_id, MODEL)
        chat.ask("which plots are free by the ghat?")
        answer = await caller.ask_chat(chat, max_tokens, address=address, deadline=deadline)
        load.answers.append(answer)
        if not answer.good:
            await asyncio.sleep(0.05)


@asynccontextmanager
async def run_load(
    nodes: Sequence[Node],
    callers: int,
    account: str = "pilgrim-groups",
    max_tokens: int = 20,
    one_chat: bool = True,
    deadline: float = 10.0,
) -> AsyncIterator[Load]:
    """Keep so many requests open, the callers spread over the instances.

    With `one_chat` all ask in the same chat, so that every one of them has the same home target
    and wants to go there.
    """
    load = Load()
    tasks = []
    for number in range(callers):
        address = nodes[number % len(nodes)].address
        chat = "hot" if one_chat else f"chat-{number}"
        caller = Caller(lambda: [], f"{account}-key")
        work = keep_asking(caller, address, load, max_tokens, chat, deadline)
        tasks.append(asyncio.create_task(work))
    try:
        yield load
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def list_engines(cluster: Cluster) -> list[Node]:
    """List the engines."""
    return [node for node in cluster.targets.values() if node.kind == "engine"]


async def reset_engines(cluster: Cluster) -> None:
    """Start to count the most that each engine runs afresh."""
    for node in list_engines(cluster):
        await cluster.ask_admin(node, "reset_max")


async def read_stats(cluster: Cluster, node: Node) -> dict[str, int]:
    """Read an engine's figures."""
    stats: dict[str, int] = await cluster.ask_admin(node, "stats")
    return stats


async def read_most(cluster: Cluster) -> dict[str, int]:
    """Read the most that each engine ran since it was last reset."""
    return {
        node.id: (await read_stats(cluster, node))["max_running"] for node in list_engines(cluster)
    }


def compute_bound(callers: int, engines: int, bound: float = 1.25, floor: int = 2) -> int:
    """Give what an engine may run while no more than so many requests are open in all."""
    return max(floor, math.ceil(bound * callers / engines))


async def find_owners(node: Node) -> dict[str, str]:
    """Ask an instance who owns each target."""

    def show() -> dict[str, str]:
        address = ("127.0.0.1", node.operator_port)
        with OperatorClient(address, derive_operator_key(SECRET)) as client:
            return {view.id: view.owner for view in client.show("targets")}

    return await asyncio.to_thread(show)


def write_declarations(folder: Path, service: str) -> Path:
    """Write declarations of one service of engines, its accounts and model; gives the folder."""
    from loadtool._processes import ROOT

    text = (ROOT / "examples" / "tengri" / "tengri.toml").read_text("utf-8")
    declared = folder / "declarations"
    declared.mkdir()
    head, _, rest = text.partition('name = "planner"')
    _, _, tail = rest.partition("[[service]]")
    body = f'{head}name = "planner"\nkind = "engine"\n{service}\n\n[[service]]{tail}'
    (declared / "fleet.toml").write_text(body, "utf-8")
    return declared
