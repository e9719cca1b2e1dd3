"""Streams of a service whose workers have several software versions.

What two versions write does not fit together, so a stream goes on only at the version that began
it, whoever takes it up.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import run, start_fleet
from tests.gateway.version_streams import (
    BODY,
    EVENT_GAP_S,
    EVENTS,
    EVENTS_READ,
    MIN_SHARE,
    PATH,
    PROMPT,
    SETTLE_S,
    STREAMS,
    begin,
    begin_all,
    count_mixed,
    count_whole,
    list_versions,
    resume,
    resume_all,
    start_versions,
    take_away,
)

CUT: Final[dict[str, Any]] = {"listening": "closed", "cut": True}


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


# Guards against streams joined from two versions as a target starts again under its id with another
# version and serves before its registration says so.
@pytest.mark.parametrize("instance", ["front-0", "front-1"])
def test_streams_of_a_target_that_started_again_are_not_mixed(
    tmp_path: Path, instance: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
            await fleet.restart_worker("engine-0")
            await fleet.set_worker_faults("engine-0", events=EVENTS, event_gap=EVENT_GAP_S)
            await asyncio.sleep(3 * SETTLE_S)
            attempts = await begin_all(fleet, "front-0", 24)
            seen = (await fleet.read_stats("engine-0")).seen
            begun_by_new = {request.id for request in seen if request.ran}
            assert begun_by_new
            await fleet.register_worker("engine-0", version="v2", born=2)
            await asyncio.sleep(SETTLE_S)
            await resume_all(fleet, instance, attempts)
            others = (await fleet.read_stats("engine-1")).seen
            assert begun_by_new.isdisjoint(r.headers.get("resumes") for r in others if r.ran)

    run(work)
