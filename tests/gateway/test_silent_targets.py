"""Requests at sound targets that fall silent for a second or so while nothing else can take them.

While targets are suspended, the system still accepts connections for them; behind silent links
probes fail too, as before a machine that stands still.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import pytest

from loadtool._gateway_config import BOUNDS
from standins._worker_types import make_response_body, make_stream_event
from tests.gateway.harness import GatewayFleet, Reply, make_config, run, start_fleet

SILENCE_S: Final = 1.2
# Requests are under way by then, and streams have begun unless their targets take longer.
BEGUN_S: Final = 0.3
SLOW_START_S: Final = 0.6
# After a silence of the first target, the second one has got its requests by then.
LEFT_S: Final = 0.7
EVENTS: Final = 20
EVENT_GAP_S: Final = 0.05
STREAM: Final = "/chat/stream"
COMMANDS: Final = ("/book/x", "/plan/stream")
PATHS: Final = (STREAM, "/read/x", *COMMANDS)
COPIES: Final = 6
ENGINES: Final = ("engine-0", "engine-1")
PLAIN: Final = ("plain-0", "plain-1")
# What a fleet may do again is its share of this bound; here it is nothing.
NO_RETRIES: Final = {"bounds": {**BOUNDS, "retryBudgetRatio": 0.0, "budgetSlack": 0}}
SILENT_LINK: Final[dict[str, Any]] = {"listening": "silent", "blackhole": True}
SOUND_LINK: Final[dict[str, Any]] = {"listening": "open", "blackhole": False}


def make_routes(**fields: Any) -> list[dict[str, Any]]:
    """Return the usual routes, on which requests outlive the silences."""
    return [{**route, "timeoutMs": 8_000, **fields} for route in make_config()["routes"]]


async def set_silent(
    fleet: GatewayFleet, workers: Sequence[str], is_silent: bool, by_links: bool
) -> None:
    """Have workers fall silent or go on."""
    for name in workers:
        process = fleet.workers[name].process
        if by_links:
            faults = SILENT_LINK if is_silent else SOUND_LINK
            for instance in fleet.instances:
                await fleet.set_link_faults(instance, [name], **faults)
        elif is_silent:
            process.freeze()
        else:
            process.resume()


def send(fleet: GatewayFleet, paths: Sequence[str] = PATHS) -> dict[str, asyncio.Task[Reply]]:
    """Send some requests to each path at once; return their replies by path and body."""
    replies: dict[str, asyncio.Task[Reply]] = {}
    for number in range(COPIES * len(paths)):
        path = paths[number % len(paths)]
        body = b"" if path == "/read/x" else f"{path} {number}".encode()
        call = fleet.send_request(
            path, body, Prefix_Hash=f"{number:04x}:400,{number:04x}bb:90", Deadline_Ms="6000"
        )
        replies[f"{path} {number}"] = asyncio.create_task(call)
    return replies


async def list_lost(replies: dict[str, asyncio.Task[Reply]]) -> list[tuple[str, int, bool]]:
    """Wait for the replies and return those that are not the whole answer."""
    lost: list[tuple[str, int, bool]] = []
    for name, task in replies.items():
        reply, path = await task, name.split()[0]
        body = b"" if path == "/read/x" else name.encode()
        expected = make_response_body(body, path)
        if path.endswith("stream"):
            expected = b"".join(make_stream_event(body, n) for n in range(1, EVENTS + 1))
        if not (reply.status == 200 and reply.complete and reply.body == expected):
            lost.append((name, reply.status, reply.complete))
    return lost


def count_runs(fleet: GatewayFleet, paths: Sequence[str]) -> Counter[str]:
    """Return how often each request to some paths has run."""
    return Counter(a.id for a in fleet.read_arrivals() if a.ran and a.target in paths)


# Guards against cutting, refusing or repeating what targets have that are all silent (LOST).
@pytest.mark.parametrize("delay", [0.0, SLOW_START_S], ids=["in_answers", "before_answers"])
@pytest.mark.parametrize(
    ("by_links", "instances"),
    [(False, 1), (True, 1), (True, 2)],
    ids=["suspended", "links", "links_beside_a_helper"],
)
def test_nothing_is_lost_while_all_targets_are_silent(
    tmp_path: Path, by_links: bool, instances: int, delay: float
) -> None:
    async def work() -> None:
        changes = {"routes": make_routes()}
        async with start_fleet(
            tmp_path, instances=instances, own_links=True, config_changes=changes
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S, delay=delay)
            replies = send(fleet)
            await asyncio.sleep(BEGUN_S)
            await set_silent(fleet, ENGINES + PLAIN, True, by_links)
            for version in range(2, 6):
                # New configurations in the meantime change limits and the routes' time-outs.
                routes = make_routes(timeoutMs=8_000 + version)
                config = make_config(version, routes=routes)
                config["limits"]["idleTimeoutMs"] = 1_000 * version
                await fleet.write_row("op", "config", config)
                await asyncio.sleep(SILENCE_S / 4)
            await set_silent(fleet, ENGINES + PLAIN, False, by_links)
            assert await list_lost(replies) == []
            assert set(count_runs(fleet, COMMANDS).values()) == {1}

    run(work)


# Guards against taking a request from its silent target when no retry is left for another one.
@pytest.mark.parametrize("delay", [0.0, SLOW_START_S], ids=["in_answers", "before_answers"])
def test_requests_wait_for_a_silent_target_while_the_retry_budget_is_spent(
    tmp_path: Path, delay: float
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path,
            instances=1,
            has_rollouts=False,
            config_changes={"routes": make_routes()},
            settings_changes=NO_RETRIES,
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S, delay=delay)
            replies = send(fleet)
            await asyncio.sleep(BEGUN_S)
            silent = [ENGINES[0], PLAIN[0]]
            await set_silent(fleet, silent, True, False)
            await asyncio.sleep(SILENCE_S)
            await set_silent(fleet, silent, False, False)
            assert await list_lost(replies) == []
            assert set(count_runs(fleet, PATHS).values()) == {1}

    run(work)


# Guards against cutting a stream whose version no other target has.
def test_a_stream_waits_for_the_only_target_of_its_version(tmp_path: Path) -> None:
    async def work() -> None:
        changes = {"routes": make_routes()}
        async with start_fleet(
            tmp_path, instances=1, own_links=True, config_changes=changes
        ) as fleet:
            await fleet.register_worker(ENGINES[1], version="v2")
            await asyncio.sleep(BEGUN_S)
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S)
            replies = send(fleet, [STREAM])
            await asyncio.sleep(BEGUN_S)
            for is_silent in (True, False):
                await set_silent(fleet, ENGINES[:1], is_silent, by_links=True)
                await set_silent(fleet, ENGINES[1:], is_silent, by_links=False)
                await asyncio.sleep(SILENCE_S)
            assert await list_lost(replies) == []


# Guards against losing what went on elsewhere when the target it went to falls silent too.
@pytest.mark.parametrize("delay", [0.0, SLOW_START_S], ids=["in_answers", "before_answers"])
def test_requests_survive_two_silences_one_after_the_other(tmp_path: Path, delay: float) -> None:
    async def work() -> None:
        changes = {"routes": make_routes()}
        async with start_fleet(
            tmp_path, instances=1, own_links=True, config_changes=changes
        ) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S, delay=delay)
            replies = send(fleet)
            await asyncio.sleep(BEGUN_S)
            first, second = [ENGINES[0], PLAIN[0]], [ENGINES[1], PLAIN[1]]
            await set_silent(fleet, first, True, by_links=True)
            await asyncio.sleep(LEFT_S)
            await set_silent(fleet, second, True, by_links=True)
            await asyncio.sleep(SILENCE_S - LEFT_S)
            await set_silent(fleet, first, False, by_links=True)
            await asyncio.sleep(LEFT_S)
            await set_silent(fleet, second, False, by_links=True)
            assert await list_lost(replies) == []
            assert set(count_runs(fleet, COMMANDS).values()) == {1}

    run(work)


# Guards against taking a stall of the instance for a silence of its targets.
@pytest.mark.parametrize("delay", [0.0, SLOW_START_S], ids=["in_answers", "before_answers"])
def test_nothing_is_repeated_after_the_instance_itself_stood_still(
    tmp_path: Path, delay: float
) -> None:
    async def work() -> None:
        changes = {"routes": make_routes()}
        async with start_fleet(tmp_path, instances=1, config_changes=changes) as fleet:
            await fleet.set_default_worker_faults(events=EVENTS, event_gap=EVENT_GAP_S, delay=delay)
            replies = send(fleet, [STREAM])
            process = fleet.instances["front-0"].process
            assert process is not None
            await asyncio.sleep(BEGUN_S)
            await set_silent(fleet, ENGINES, True, by_links=False)
            process.freeze()
            await asyncio.sleep(SILENCE_S)
            process.resume()
            await asyncio.sleep(BEGUN_S)
            await set_silent(fleet, ENGINES, False, by_links=False)
            assert await list_lost(replies) == []
            assert set(count_runs(fleet, [STREAM]).values()) == {1}

    run(work)
