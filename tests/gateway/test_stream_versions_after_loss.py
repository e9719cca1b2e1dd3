"""Streams that are taken up again after all instances were lost at once, while versions change.

Nobody remembers the streams then; what is known of them stands in the store.
"""

from __future__ import annotations

import asyncio
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet
from tests.gateway.version_streams import (
    BODY,
    EVENT_GAP_S,
    EVENTS,
    EVENTS_READ,
    MIN_SHARE,
    PATH,
    SETTLE_S,
    begin,
    begin_all,
    count_mixed,
    count_whole,
    list_versions,
    make_prompt,
    resume,
    resume_all,
    start_versions,
    take_away,
)

# The settings of instances of a system that has served before.
NOT_FIRST_START: Final = {"bootstrap": False}


def start_versions_fleet(
    folder: Path, **settings: Any
) -> AbstractAsyncContextManager[GatewayFleet]:
    """Start four instances of a system whose settings know no roll-outs."""
    return start_fleet(
        folder,
        instances=4,
        plain_worker_count=0,
        has_rollouts=False,
        settings_changes=settings or None,
    )


async def kill_instances(fleet: GatewayFleet, names: list[str] | None = None) -> None:
    """Kill the instances named, or all."""
    nodes = [fleet.instances[name] for name in names or fleet.instances]
    processes = [node.process for node in nodes if node.process is not None]
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
        async with start_versions_fleet(tmp_path) as fleet:
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
                assert reply.status == 503 and b'"not_run"' in reply.body
            for name in ("new-0", "new-1"):
                assert (await fleet.read_stats(name)).seen == []

    run(work)


# Guards against the loss of every open stream with all instances, although one version alone has
# ever served and nothing could be mixed.
def test_stream_goes_on_at_the_only_version_after_a_loss_of_all_instances(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_versions_fleet(tmp_path) as fleet:
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


# By then the streams that have begun are in the store.
WRITTEN_S: Final = 1.0


# Guards against the loss of all open streams with all instances (LOST), while targets of both
# versions go on; and against streams that are joined from both (ORDER).
@pytest.mark.parametrize("after_s", [0.0, 5.0])
def test_streams_go_on_at_their_versions_after_a_loss_of_all_instances(
    tmp_path: Path, after_s: float
) -> None:
    async def work() -> None:
        async with start_versions_fleet(tmp_path) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0", 24)
            before = await list_versions(fleet)
            assert {"v1"} in before.values() and {"v2"} in before.values()
            await asyncio.sleep(WRITTEN_S)
            await kill_instances(fleet)
            await restart_instances(fleet)
            await asyncio.sleep(after_s)
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0
            # One that names no stream is not known.
            reply = await resume_unnamed(fleet, "front-2", attempts[0])
            assert reply.status == 503 and b"stream_unknown" in reply.body

    run(work)


# Guards against the loss of open streams with most instances (LOST): the one that is left had read
# the origins in the store only at its start.
def test_streams_go_on_at_the_instance_that_is_left(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_versions_fleet(tmp_path) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0", 12)
            more = [f"{attempt}-b" for attempt in attempts]
            assert [await begin(fleet, "front-2", attempt) for attempt in more] == [200] * 12
            await asyncio.sleep(WRITTEN_S)
            await kill_instances(fleet, ["front-0", "front-2", "front-3"])
            replies = await resume_all(fleet, "front-1", attempts + more)
            assert count_whole(replies) >= 0.9 * len(replies)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against streams whose version has left that go on at the other one, since the store holds
# the origins of both.
def test_streams_of_a_version_that_left_are_refused_after_a_loss_of_all_instances(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with start_versions_fleet(tmp_path) as fleet:
            await start_versions(fleet)
            attempts = await begin_all(fleet, "front-0", 24)
            before = await list_versions(fleet)
            await asyncio.sleep(WRITTEN_S)
            await kill_instances(fleet)
            await take_away(fleet, ["engine-0", "engine-1"], "crash")
            await restart_instances(fleet)
            replies = await resume_all(fleet, "front-1", attempts)
            for attempt, reply in zip(attempts, replies, strict=True):
                if before[attempt] == {"v1"}:
                    assert reply.status == 503
            kept = [r for a, r in zip(attempts, replies, strict=True) if before[a] == {"v2"}]
            assert count_whole(kept) >= MIN_SHARE * len(kept)

    run(work)
