"""Streams before engines of two versions, for the tests of streams that are taken up again."""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend.http import Connection
from standins._worker_types import make_stream_event
from tests.gateway.harness import HOST, KEY, GatewayFleet, Reply

PATH: Final = "/chat/stream"
PROMPT: Final = "aa:400,bb:50"
BODY: Final = b"hi"
EVENTS: Final = 30
EVENT_GAP_S: Final = 0.05
# How many events a caller reads before its connection breaks.
EVENTS_READ: Final = 3
STREAMS: Final = 12
# By then every instance knows what has changed in the store, and the streams have begun.
SETTLE_S: Final = 1.0
# From the rule: of the streams that are taken up again, at least this share goes on.
MIN_SHARE: Final = 0.5


async def start_versions(fleet: GatewayFleet, count: int = 2) -> None:
    """Start engines of another version beside those of the fleet."""
    await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
    for number in range(count):
        await fleet.start_worker(f"new-{number}", "llm", f"zone-{'abc'[number]}", version="v2")
    await asyncio.sleep(SETTLE_S)


def make_prompt(attempt: str) -> str:
    """Return a prompt of a session of its own, so that streams spread over the engines."""
    return f"aa:400,{attempt.encode().hex()}:300,own:50"


async def begin(fleet: GatewayFleet, instance: str, attempt: str, **headers: str) -> int:
    """Begin a stream, read some events and break the connection; return the status."""
    connection = await Connection.open(fleet.instances[instance].front_address)
    sent = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "X-Api-Key": KEY,
        "Deadline-Ms": "8000",
        "Prefix-Hash": make_prompt(attempt),
        "Content-Length": str(len(BODY)),
        **headers,
    }
    raw = [(name.encode(), value.encode()) for name, value in sent.items()]
    connection.send_raw(b"POST", PATH.encode(), raw, BODY)
    response = await connection.receive_head(5.0)
    seen = b""
    if response.status == 200:
        async for part in connection.receive_body(5.0):
            seen += part
            if seen.count(b"\n\n") >= EVENTS_READ:
                break
    connection.close()
    return response.status


async def begin_all(fleet: GatewayFleet, instance: str, count: int = STREAMS) -> list[str]:
    """Begin streams at an instance, break them off, and return the ids of their attempts."""
    attempts = [f"begin-{number}" for number in range(count)]
    statuses = await asyncio.gather(*(begin(fleet, instance, attempt) for attempt in attempts))
    assert statuses == [200] * count
    return attempts


async def resume(
    fleet: GatewayFleet, instance: str, attempt: str, last: int = EVENTS_READ
) -> Reply:
    """Take a stream up again after some events."""
    return await fleet.send_request(
        PATH,
        BODY,
        instance,
        Prefix_Hash=make_prompt(attempt),
        Resumes=attempt,
        Last_Event_Id=str(last),
    )


async def resume_all(fleet: GatewayFleet, instance: str, attempts: list[str]) -> list[Reply]:
    return await asyncio.gather(*(resume(fleet, instance, attempt) for attempt in attempts))


async def list_versions(fleet: GatewayFleet) -> dict[str, set[str]]:
    """Return the versions that ran each stream, by the id of the attempt that began it."""
    served: dict[str, set[str]] = {}
    for name, node in fleet.workers.items():
        if node.service != "llm" or not node.process.running:
            continue
        version = "v2" if name.startswith("new") else "v1"
        for request in (await fleet.read_stats(name)).seen:
            if request.ran:
                key = request.headers.get("resumes", request.id)
                served.setdefault(key, set()).add(version)
    return served


async def count_mixed(fleet: GatewayFleet) -> int:
    """Count the streams that two versions have run."""
    return sum(len(versions) > 1 for versions in (await list_versions(fleet)).values())


def count_whole(replies: list[Reply], first: int = EVENTS_READ + 1) -> int:
    """Count the replies that hold the rest of a stream from an event on."""
    rest = b"".join(make_stream_event(BODY, n) for n in range(first, EVENTS + 1))
    return sum(reply.complete and reply.body == rest for reply in replies)


async def take_away(fleet: GatewayFleet, engines: list[str], how: str) -> None:
    """Let engines leave: without a word, after a drain, or by a crash before their entries go."""
    for name in engines:
        if how == "drain":
            await fleet.register_worker(name, state="draining")
        elif how == "crash":
            process = fleet.workers[name].process
            await process.kill()
    await asyncio.sleep(SETTLE_S)
    for name in engines:
        await fleet.write_row("servers", name, None)
    await asyncio.sleep(SETTLE_S)
