"""Streams that are taken up at an instance which was out of step while another version came.

It was cut off from the store or from the other instances, or stood still, so it has not seen the
targets of the new version, or cannot ask who knows the streams that began there.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import GatewayFleet, run, start_fleet
from tests.gateway.version_streams import (
    EVENT_GAP_S,
    EVENTS,
    MIN_SHARE,
    begin_all,
    count_mixed,
    count_whole,
    list_versions,
    resume_all,
    start_versions,
)

RESET: Final[dict[str, Any]] = {"listening": "closed", "cut": True}
SILENT: Final[dict[str, Any]] = {"listening": "silent", "blackhole": True}
MENDED: Final[dict[str, Any]] = {"listening": "open", "blackhole": False}
# By then the origins of streams that have begun are in the store.
WRITTEN_S: Final = 1.0
ENGINES: Final = ("engine-0", "engine-1", "new-0", "new-1")


async def set_store_path(fleet: GatewayFleet, **faults: Any) -> None:
    """Set the faults of the path from front-1 to the store."""
    await fleet.set_route_faults(fleet.instances["front-1"].store_port, **faults)


async def set_peer_paths(fleet: GatewayFleet, **faults: Any) -> None:
    """Set the faults of the paths between the instances."""
    for node in fleet.instances.values():
        await fleet.set_route_faults(node.peer_port, **faults)


async def begin_at_two_versions(fleet: GatewayFleet) -> list[str]:
    """Add targets of another version and begin streams at front-0, some at each version."""
    await start_versions(fleet)
    attempts = await begin_all(fleet, "front-0", 24)
    versions = await list_versions(fleet)
    assert {"v1"} in versions.values() and {"v2"} in versions.values()
    await asyncio.sleep(WRITTEN_S)
    return attempts


# Guards against streams that hold events of two versions (ORDER): the instance took the one version
# that it had seen for the only one, though it could not know of another.
@pytest.mark.parametrize("cut", [RESET, SILENT], ids=["reset", "silent"])
def test_cut_off_instance_takes_no_stream_up_at_another_version(
    tmp_path: Path, cut: dict[str, Any]
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, use_proxy_routes=True, has_rollouts=False
        ) as fleet:
            await set_store_path(fleet, **cut)
            await set_peer_paths(fleet, **cut)
            attempts = await begin_at_two_versions(fleet)
            replies = await resume_all(fleet, "front-1", attempts)
            assert await count_mixed(fleet) == 0
            for reply in replies:
                assert reply.status == 200 or b'"not_run"' in reply.body

    run(work)


# Guards against the loss of streams (LOST) at an instance that can learn at that moment which
# version began them: from the store, or from targets that have registered meanwhile.
@pytest.mark.parametrize("how", ["from instances", "healed", "suspended"])
def test_instance_that_reaches_the_store_takes_streams_up_at_their_version(
    tmp_path: Path, how: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, use_proxy_routes=True, has_rollouts=False
        ) as fleet:
            process = fleet.instances["front-1"].process
            assert process is not None
            if how == "suspended":
                process.send_signal(signal.SIGSTOP)
            else:
                await set_peer_paths(fleet, **RESET)
            if how == "healed":
                await set_store_path(fleet, **RESET)
            attempts = await begin_at_two_versions(fleet)
            if how == "suspended":
                process.send_signal(signal.SIGCONT)
            if how == "healed":
                await set_store_path(fleet, **MENDED)
                await set_peer_paths(fleet, **MENDED)
            replies = await resume_all(fleet, "front-1", attempts)
            assert count_whole(replies) >= MIN_SHARE * len(attempts)
            assert await count_mixed(fleet) == 0

    run(work)


# Guards against streams joined from two versions (ORDER): while the store is away, a target is back
# under its id with another version, and is taken for what its former registration says. Streams
# that it began, or those of another one that is lost, are taken up at the wrong version.
@pytest.mark.parametrize("lost", ["engine-0", "engine-1"])
@pytest.mark.parametrize("instance", ["front-0", "front-1"])
def test_target_that_is_back_with_another_version_mixes_no_streams_while_the_store_is_away(
    tmp_path: Path, instance: str, lost: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=0, has_rollouts=False
        ) as fleet:
            await start_versions(fleet)
            await fleet.set_store_faults(status=503)
            await asyncio.sleep(WRITTEN_S)
            # From now on engine-0 has the version of the new targets, and no registration says so.
            await fleet.restart_worker("engine-0")
            await fleet.set_worker_faults("engine-0", events=EVENTS, event_gap=EVENT_GAP_S)
            attempts = await begin_all(fleet, "front-0", 48)
            ran = await list_runs(fleet)
            begun = {engine: [a for a in attempts if engine in ran[a]] for engine in ENGINES}
            assert all(begun.values())
            await fleet.workers[lost].process.kill()
            replies = await resume_all(fleet, instance, attempts)
            (left,) = {"engine-0", "engine-1"} - {lost}
            ran = await list_runs(fleet, but=lost)
            assert set(begun[lost]).isdisjoint(a for a in attempts if left in ran.get(a, ()))
            goes_on = {a for a, reply in zip(attempts, replies, strict=True) if reply.status == 200}
            known = [*begun["new-0"], *begun["new-1"]]
            assert len(goes_on.intersection(known)) >= MIN_SHARE * len(known)

    run(work)


async def list_runs(fleet: GatewayFleet, but: str = "") -> dict[str, set[str]]:
    """Return the engines that ran each stream, by the id of the attempt that began it."""
    ran: dict[str, set[str]] = {}
    for engine in (engine for engine in ENGINES if engine != but):
        for request in (await fleet.read_stats(engine)).seen:
            if request.ran:
                ran.setdefault(request.headers.get("resumes", request.id), set()).add(engine)
    return ran
