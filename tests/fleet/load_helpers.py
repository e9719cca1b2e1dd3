"""Generate steady load on a fleet under test and read what its engines ran."""

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
class LoadResults:
    """Answers to a steady load, in the order of their arrival."""

    answers: list[Answer] = attrs.Factory(list)

    @property
    def good_count(self) -> int:
        """Number of answers that are complete and correct."""
        return sum(answer.is_correct for answer in self.answers)

    def count_failures(self) -> dict[str, int]:
        """Count the failed answers by refusal code, or by failure if there is no code."""
        counts: dict[str, int] = {}
        for answer in self.answers:
            if not answer.is_correct:
                reason = answer.code or answer.failure or "cut"
                counts[reason] = counts.get(reason, 0) + 1
        return counts


async def send_chats_repeatedly(
    caller: Caller,
    address: tuple[str, int] | None,
    results: LoadResults,
    max_tokens: int,
    chat_id: str,
    deadline: float,
) -> None:
    """Send one chat request after another until cancelled, and record the answers.

    After a failed answer, wait 0.05 s before the next request. `deadline` is in seconds.
    """
    while True:
        chat = Chat(chat_id, MODEL)
        chat.add_user_message("which plots are free by the ghat?")
        answer = await caller.send_chat(chat, max_tokens, address=address, deadline=deadline)
        results.answers.append(answer)
        if not answer.is_correct:
            await asyncio.sleep(0.05)


@asynccontextmanager
async def run_load(
    nodes: Sequence[Node],
    callers: int,
    account: str = "pilgrim-groups",
    max_tokens: int = 20,
    one_chat: bool = True,
    deadline: float = 10.0,
) -> AsyncIterator[LoadResults]:
    """Keep `callers` requests open at once, spread over the instances `nodes`; yield the results.

    With `one_chat`, all callers send the same chat, so every request has the same home target and
    is routed there first. `deadline` is in seconds.
    """
    results = LoadResults()
    tasks = []
    for number in range(callers):
        address = nodes[number % len(nodes)].address
        chat_id = "hot" if one_chat else f"chat-{number}"
        caller = Caller(lambda: [], f"{account}-key")
        request_loop = send_chats_repeatedly(
            caller, address, results, max_tokens, chat_id, deadline
        )
        tasks.append(asyncio.create_task(request_loop))
    try:
        yield results
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def list_engines(cluster: Cluster) -> list[Node]:
    """Return the nodes of the engines."""
    return [node for node in cluster.targets.values() if node.kind == "engine"]


async def reset_max_running(cluster: Cluster) -> None:
    """Reset the maximum of concurrent requests that each engine has recorded."""
    for node in list_engines(cluster):
        await cluster.call_admin(node, "reset_max")


async def read_engine_stats(cluster: Cluster, node: Node) -> dict[str, int]:
    """Return the statistics that an engine reports."""
    stats: dict[str, int] = await cluster.call_admin(node, "stats")
    return stats


async def read_max_running(cluster: Cluster) -> dict[str, int]:
    """Return each engine's maximum of concurrent requests since the last reset, by engine id."""
    return {
        node.id: (await read_engine_stats(cluster, node))["max_running"]
        for node in list_engines(cluster)
    }


def compute_load_bound(
    callers: int, engines: int, bound_factor: float = 1.25, min_bound: int = 2
) -> int:
    """Return how many requests an engine may run while at most `callers` are open in all."""
    return max(min_bound, math.ceil(bound_factor * callers / engines))


async def fetch_owners(node: Node) -> dict[str, str]:
    """Return the owner of each target as an instance sees it, by target id."""

    def fetch() -> dict[str, str]:
        address = ("127.0.0.1", node.operator_port)
        with OperatorClient(address, derive_operator_key(SECRET)) as client:
            return {view.id: view.owner for view in client.show("targets")}

    return await asyncio.to_thread(fetch)


def write_declarations(folder: Path, service: str) -> Path:
    """Write declarations of one engine service, its accounts and model; return their folder."""
    from loadtool._processes import ROOT

    text = (ROOT / "examples" / "tengri" / "tengri.toml").read_text("utf-8")
    declarations = folder / "declarations"
    declarations.mkdir()
    before, _, after_name = text.partition('name = "planner"')
    _, _, other_services = after_name.partition("[[service]]")
    declaration_text = (
        f'{before}name = "planner"\nkind = "engine"\n{service}\n\n[[service]]{other_services}'
    )
    (declarations / "fleet.toml").write_text(declaration_text, "utf-8")
    return declarations
