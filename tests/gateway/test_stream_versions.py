"""Streams of a service whose workers have several software versions.

What two versions write does not fit together, so a stream goes on only at the version that began
it, whoever takes it up.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, Final

import pytest

from rhubarbbend.http import Connection
from standins._worker_types import make_stream_event
from tests.gateway.harness import HOST, KEY, GatewayFleet, Reply, run, start_fleet

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
CUT: Final[dict[str, Any]] = {"listening": "closed", "cut": True}


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


# Guards against streams that hold events of two versions once all engines of one left (ORDER).
@pytest.mark.parametrize("how", ["removed", "drain", "crash"])
@pytest.mark.parametrize("instance", ["front-0", "front-1"])
def test_stream_is_not_taken_up_at_another_version(tmp_path: Path, instance: str, how: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0")
            before = await list_versions(fleet)
            await take_away(fleet, ["engine-0", "engine-1"], how)
            replies = await resume_all(fleet, instance, attempts)
            for attempt, reply in zip(attempts, replies, strict=True):
                if before[attempt] == {"v1"}:
                    assert reply.status == 503
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against the loss of streams whose version still serves (LOST), whatever became of the
# instance that began them.
@pytest.mark.parametrize("how", ["other", "killed", "restarted"])
def test_stream_goes_on_at_its_version_at_another_instance(tmp_path: Path, how: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0")
            process = fleet.instances["front-0"].process
            assert process is not None
            instance = "front-1"
            if how != "other":
                await process.kill()
            if how == "restarted":
                await fleet.start_instance("front-0")
                await fleet.wait_ready("front-0")
                instance = "front-0"
            replies = await resume_all(fleet, instance, attempts)
            assert count_whole(replies) >= 0.9 * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against capacity that lies idle: versions serve side by side where none needs an order.
@pytest.mark.parametrize("instance", ["front-0", "front-1"])
def test_all_versions_serve_new_streams(tmp_path: Path, instance: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, instance, 30)
            served = await list_versions(fleet)
            old = sum(served[attempt] == {"v1"} for attempt in attempts)
            assert 5 <= old <= 25

    run(work)


# Guards against a version that is chosen for a stream that nobody knows, or by a caller.
@pytest.mark.parametrize("headers", [{"Resumes": "made-up"}, {}])
def test_unknown_stream_is_refused_if_versions_differ(
    tmp_path: Path, headers: dict[str, str]
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            reply = await fleet.send_request(
                PATH, BODY, Prefix_Hash=PROMPT, Last_Event_Id="3", **headers
            )
            assert reply.status == 503 and b"stream_unknown" in reply.body
            assert await list_versions(fleet) == {}

    run(work)


# Guards against a stream that loses its version on the way through several resumptions.
def test_chain_of_resumptions_keeps_the_version(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0")
            for number, attempt in enumerate(attempts):
                later = {"Resumes": attempt, "Last-Event-Id": str(EVENTS_READ)}
                assert await begin(fleet, "front-1", f"second-{number}", **later) == 200
            process = fleet.instances["front-0"].process
            assert process is not None
            await process.kill()
            replies = await asyncio.gather(
                *(resume(fleet, "front-2", attempt, 2 * EVENTS_READ) for attempt in attempts)
            )
            assert count_whole(list(replies), 2 * EVENTS_READ + 1) >= 0.9 * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against events of two versions in one answer that this system continues by itself.
def test_stream_that_breaks_off_goes_on_at_its_version_only(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=0, engine_worker_count=1, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            await fleet.set_service_faults("llm", cut_after=EVENTS_READ)
            for number in range(STREAMS):
                prompt = f"aa:400,{number:04x}:50"
                reply = await fleet.send_request(PATH, BODY, Prefix_Hash=prompt)
                assert not reply.complete
            runs = [r for name in fleet.workers for r in (await fleet.read_stats(name)).seen]
            assert {request.id for request in runs if "last-event-id" in request.headers}
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against another version behind a helper, for callers of an instance without links.
def test_stream_goes_on_at_its_version_through_a_helper(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, own_links=True, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0")
            await fleet.set_link_faults("front-1", **CUT)
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against streams that begin at a helper and that nobody knows afterwards.
def test_stream_that_began_through_a_helper_is_known(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, own_links=True, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            await fleet.set_link_faults("front-1", **CUT)
            attempts = await begin_all(fleet, "front-1")
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against a second version that an instance takes up while it does not hear of the store.
def test_stream_goes_on_at_its_version_while_the_store_is_away(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0")
            await fleet.set_store_faults(silent=True)
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= 0.9 * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against streams of two versions at an instance that starts when most engines have another
# version than those that began them.
@pytest.mark.parametrize("has_rollouts", [False, True])
def test_restarted_instance_takes_streams_up_at_their_version(
    tmp_path: Path, has_rollouts: bool
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=has_rollouts
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
            await asyncio.sleep(SETTLE_S)
            attempts = await begin_all(fleet, "front-0")
            await start_versions(fleet, 3)
            process = fleet.instances["front-1"].process
            assert process is not None
            await process.kill()
            await fleet.start_instance("front-1")
            await fleet.wait_ready("front-1")
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against events of two versions in one answer, as its engine is lost after its version left.
def test_answer_does_not_go_on_at_another_version(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=0, engine_worker_count=1, has_rollouts=False
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=0.1)
            await asyncio.sleep(SETTLE_S)
            reply = asyncio.create_task(
                fleet.send_request(PATH, BODY, Prefix_Hash=PROMPT, Deadline_Ms="8000")
            )
            await asyncio.sleep(0.5)
            await fleet.start_worker("new-0", "llm", "zone-a", version="v2")
            await fleet.write_row("servers", "engine-0", None)
            await asyncio.sleep(SETTLE_S)
            await fleet.workers["engine-0"].process.kill()
            assert not (await reply).complete
            assert await list_versions(fleet) == {}

    run(work)


# The settings of instances of a system that has served before.
NOT_FIRST_START: Final = {"bootstrap": False}


async def kill_instances(fleet: GatewayFleet) -> None:
    processes = [node.process for node in fleet.instances.values() if node.process is not None]
    await asyncio.gather(*(process.kill() for process in processes))


async def restart_instances(fleet: GatewayFleet) -> None:
    await asyncio.gather(*(fleet.start_instance(name) for name in fleet.instances))
    for name in fleet.instances:
        await fleet.wait_ready(name)


async def resume_unnamed(fleet: GatewayFleet, instance: str, attempt: str) -> Reply:
    return await fleet.send_request(
        PATH, BODY, instance, Prefix_Hash=make_prompt(attempt), Last_Event_Id=str(EVENTS_READ)
    )


# Guards against streams joined from two versions after all instances were lost at once: nobody
# knows the streams any more, and those that start see the targets of the new version only.
# They are taken up at once, or when the instances have followed the registrations for long.
@pytest.mark.parametrize("after_s", [0.0, 22.0])
@pytest.mark.parametrize("replaced", ["before", "while down"])
def test_stream_is_not_taken_up_at_another_version_after_a_loss_of_all_instances(
    tmp_path: Path, replaced: str, after_s: float
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path,
            instances=4,
            plain_worker_count=0,
            has_rollouts=False,
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
            await asyncio.sleep(SETTLE_S)
            attempts = await begin_all(fleet, "front-0")
            if replaced == "while down":
                await kill_instances(fleet)
            await start_versions(fleet)
            await take_away(fleet, ["engine-0", "engine-1"], "removed")
            await kill_instances(fleet)
            await restart_instances(fleet)
            await asyncio.sleep(after_s)
            replies = await resume_all(fleet, "front-1", attempts)
            replies += [await resume_unnamed(fleet, "front-2", attempt) for attempt in attempts]
            for reply in replies:
                assert reply.status == 503 and b"stream_unknown" in reply.body
            for name in ("new-0", "new-1"):
                assert (await fleet.read_stats(name)).seen == []

    run(work)


# Guards against the loss of every open stream with all instances, although one version alone has
# ever served and nothing could be mixed.
def test_stream_goes_on_at_the_only_version_after_a_loss_of_all_instances(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path,
            instances=4,
            plain_worker_count=0,
            has_rollouts=False,
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
            await asyncio.sleep(SETTLE_S)
            attempts = await begin_all(fleet, "front-0")
            await kill_instances(fleet)
            await restart_instances(fleet)
            await asyncio.sleep(SETTLE_S)
            replies = await resume_all(fleet, "front-1", attempts)
            replies += [await resume_unnamed(fleet, "front-2", attempt) for attempt in attempts]
            assert count_whole(replies) >= 0.9 * len(replies)

    run(work)


# Guards against an instance that has just started and takes the versions that it sees for all.
# Without a record of what served before, neither kind of resumption may go on.
def test_stream_that_nobody_knows_is_refused_by_an_instance_that_started(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path,
            instances=1,
            plain_worker_count=0,
            has_rollouts=False,
            settings_changes=NOT_FIRST_START,
        ) as fleet:
            await asyncio.sleep(SETTLE_S)
            for reply in (
                await resume(fleet, "front-0", "made-up"),
                await resume_unnamed(fleet, "front-0", "made-up"),
            ):
                assert reply.status == 503 and b"stream_unknown" in reply.body

    run(work)
