"""Tests of an instance that lost its links to targets while callers and others still reach it."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest

from rhubarbbend.codes import Verdict
from rhubarbbend.gateway._detour_messages import read_refusal
from standins._worker_types import make_response_body
from tests.gateway.harness import ACCOUNT, HOST, KEY, GatewayFleet, Reply, run, start_fleet

# Connections behind a cut hang, are reset, or live on while new ones are refused.
CUTS: dict[str, dict[str, Any]] = {
    "silent": {"listening": "silent", "blackhole": True},
    "reset": {"listening": "closed", "cut": True},
    "new_refused": {"listening": "closed"},
}
NO_CUT: dict[str, Any] = {"listening": "open", "blackhole": False}
# The users let a cut last so long before they judge what callers get.
CONTACT_S = 3.0
# Refusals need no more than one connect time-out and a reply of each helper.
MAX_REFUSAL_S = 0.5
PATHS = ("/read/x", "/book/x", "/chat/stream", "/plan/stream")
# Requests to these may run once at most.
COMMAND_PATHS = ("/book/x", "/plan/stream")


async def send_each_kind(fleet: GatewayFleet, instance: str, rounds: int) -> list[Reply]:
    """Send requests of each kind to an instance, a few a second, and return the replies."""
    replies: list[asyncio.Task[Reply]] = []
    for number in range(rounds):
        for path in PATHS:
            body = b"" if path == "/read/x" else f"{path} {number}".encode()
            prompt = f"{number % 5:04x}:400,{number:04x}bb:90"
            reply = fleet.send_request(path, body, instance, Prefix_Hash=prompt)
            replies.append(asyncio.create_task(reply))
            await asyncio.sleep(0.05)
    return [await reply for reply in replies]


def count_served(replies: list[Reply]) -> int:
    """Count the replies that are whole successes."""
    return sum(reply.status == 200 and reply.complete for reply in replies)


def count_most_runs(fleet: GatewayFleet) -> int:
    """Return how often the command that ran most often ran."""
    arrivals = fleet.read_arrivals()
    ran = [a.id for a in arrivals if a.ran and a.target in COMMAND_PATHS]
    return max(ran.count(request) for request in set(ran))


def count_detours(fleet: GatewayFleet, instance: str) -> int:
    """Count the requests that an instance has handed to others."""
    return sum(line["event"] == "detour_ended" for line in fleet.read_log(instance))


def count_refused_connections(fleet: GatewayFleet, instance: str) -> int:
    """Count the connections to targets that an instance tried in vain for requests."""
    return sum(line["event"] == "target_unreachable" for line in fleet.read_log(instance))


def list_engines_by_prompt(fleet: GatewayFleet) -> dict[str, str]:
    """Return the engine that each prompt was sent to last by an instance itself."""
    sent = [line for line in fleet.read_log("front-0") if line["event"] == "sent"]
    return {line["prompt"]: line["target"] for line in sent if line.get("prompt")}


async def count_running(fleet: GatewayFleet) -> int:
    """Count the requests that engines work on."""
    return sum(stats.running for stats in (await fleet.read_all_stats("llm")).values())


# Guards against refusing what other instances could serve (RECOVER).
def test_callers_of_instances_without_links_to_targets_are_served(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=4, own_links=True) as fleet:
            for name in fleet.instances:
                assert count_served(await send_each_kind(fleet, name, 2)) == 8
            cut_off = dict(zip(fleet.instances, CUTS.values(), strict=False))
            for name, cut in cut_off.items():
                await fleet.set_link_faults(name, **cut)
            rounds = int(CONTACT_S * 5)
            await asyncio.gather(*(send_each_kind(fleet, name, rounds) for name in cut_off))
            replies = await asyncio.gather(
                *(send_each_kind(fleet, name, 20) for name in fleet.instances)
            )
            served = [count_served(sent) for sent in replies]
            assert served[-1] == 80
            assert min(served) >= 78, served
            assert count_most_runs(fleet) == 1

    run(work)


# Guards against sending a request round the fleet, or holding it, where no instance can send it.
def test_requests_are_refused_at_once_while_no_instance_reaches_the_targets(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, own_links=True) as fleet:
            for name in fleet.instances:
                await fleet.set_link_faults(name, **CUTS["silent"])
            await send_each_kind(fleet, "front-0", 10)
            started_at = time.monotonic()
            replies = await asyncio.gather(
                *(fleet.send_request("/read/x", instance="front-0") for _ in range(20))
            )
            assert time.monotonic() - started_at < MAX_REFUSAL_S
            refusals = [(r.status, json.loads(r.body)["verdict"]) for r in replies]
            assert set(refusals) == {(503, "not_run")}
            assert max(count_detours(fleet, name) for name in fleet.instances) < 60

    run(work)


# Guards against taking a fault of targets, or of some links, for the loss of all links.
@pytest.mark.parametrize("lost", [("plain-0", "engine-0"), ("engine-0", "engine-1")])
def test_an_instance_that_lost_some_links_serves_all_requests(
    tmp_path: Path, lost: tuple[str, ...]
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", lost, **CUTS["silent"])
            await send_each_kind(fleet, "front-0", 10)
            assert count_served(await send_each_kind(fleet, "front-0", 20)) >= 78
            assert count_most_runs(fleet) == 1

    run(work)


# Guards against requests that go on through helpers, or to other engines, after links are back.
def test_requests_go_straight_to_the_same_engines_once_links_are_back(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await send_each_kind(fleet, "front-0", 5)
            before = list_engines_by_prompt(fleet)
            await fleet.set_link_faults("front-0", **CUTS["silent"])
            await send_each_kind(fleet, "front-0", 15)
            await fleet.set_link_faults("front-0", **NO_CUT)
            await send_each_kind(fleet, "front-0", 8)
            detours = count_detours(fleet, "front-0")
            assert detours > 0
            assert count_served(await send_each_kind(fleet, "front-0", 10)) == 40
            assert count_detours(fleet, "front-0") == detours
            assert list_engines_by_prompt(fleet) == before

    run(work)


# Guards against work that goes on at a target after the caller of another instance has left.
def test_target_stops_when_a_caller_leaves_an_instance_without_links(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", **CUTS["reset"])
            await send_each_kind(fleet, "front-0", 8)
            await fleet.set_service_faults("llm", events=100, event_gap=0.1)
            leaving = asyncio.create_task(
                fleet.send_request("/chat/stream", b"long", Prefix_Hash="aa:400,bb:90")
            )
            await asyncio.sleep(0.5)
            assert await count_running(fleet) == 1
            leaving.cancel()
            await asyncio.sleep(0.5)
            assert await count_running(fleet) == 0

    run(work)


# Guards against an instance that finds out target by target that it has lost its links: with many
# targets, each request would wait for some more that accept no connection.
@pytest.mark.parametrize("cut", ["silent", "reset"])
def test_one_request_shows_that_the_links_to_many_targets_are_lost(
    tmp_path: Path, cut: str
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, engine_worker_count=24, own_links=True
        ) as fleet:
            await fleet.set_link_faults("front-0", **CUTS[cut])
            await fleet.send_request("/chat/stream", b"first", Prefix_Hash="aa:400,bb:90")
            await asyncio.sleep(0.5)
            first = count_refused_connections(fleet, "front-0")
            later = [
                await fleet.send_request("/chat/stream", b"later", Prefix_Hash=f"{n:04x}:400,cc:90")
                for n in range(5)
            ]
            assert count_served(later) == len(later)
            assert count_refused_connections(fleet, "front-0") == first

    run(work)


# Guards against an instance behind a partition that gives up the targets of its own zone.
def test_an_instance_that_reaches_one_zone_uses_it(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=3, engine_worker_count=6, own_links=True
        ) as fleet:
            lost = [name for name, node in fleet.workers.items() if node.zone != "zone-a"]
            await fleet.set_link_faults("front-0", lost, **CUTS["silent"])
            await send_each_kind(fleet, "front-0", 10)
            assert count_served(await send_each_kind(fleet, "front-0", 20)) >= 78
            events = {line["event"] for line in fleet.read_log("front-0")}
            assert "service_unreached" not in events

    run(work)


# Guards against an instance that misses the notices of the others, since it waits at no reader, and
# asks each of those that are cut off.
def test_a_decline_names_the_instances_that_do_not_reach_the_service(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, zones=1, own_links=True) as fleet:
            for name in ("front-1", "front-2"):
                await fleet.set_link_faults(name, **CUTS["reset"])
                await send_each_kind(fleet, name, 2)
            node = fleet.instances["front-1"]
            host, _, port = node.settings["listen"]["control"].rpartition(":")
            terms = {"sender": "front-0", "config_version": 1, "targets": 0}
            headers = {"Host": HOST, "Attempt-Id": "a1", "X-Api-Key": KEY, "Deadline-Ms": "2000"}
            headers["Rhubarbbend-Detour"] = json.dumps(terms)
            reply = await fleet.call((host, int(port)), "GET", "/read/x", b"", headers)
            refusal = read_refusal(reply.headers)
            assert refusal is not None and refusal.verdict is Verdict.NOT_RUN
            assert [notice.instance for notice in refusal.reach] == ["front-1", "front-2"]
            assert not any(notice.is_reached for notice in refusal.reach)

    run(work)


# Guards against bodies, deadlines or terms that change on the way through another instance.
def test_a_request_reaches_the_target_as_its_caller_sent_it(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", **CUTS["reset"])
            await send_each_kind(fleet, "front-0", 4)
            body = b"z" * 300_000
            forged = {"Rhubarbbend_Detour": '{"sender":"x","config_version":99,"targets":9}'}
            reply = await fleet.send_request("/book/x", body, **forged)
            assert (reply.status, reply.body) == (200, make_response_body(body, "/book/x"))
            stats = await fleet.read_all_stats("plain")
            seen = [r for s in stats.values() for r in s.seen if len(r.body) == len(body)]
            assert [r.ran for r in seen] == [True]
            assert 1_000 < int(seen[0].headers["deadline-ms"]) <= 2_000
            assert seen[0].headers["tenant"] == ACCOUNT
            assert "x-api-key" not in seen[0].headers

    run(work)


# Guards against requests that a stopping helper breaks off or still takes, and against the store.
def test_a_helper_that_stops_and_a_store_that_is_away_lose_no_request(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", **CUTS["silent"])
            await send_each_kind(fleet, "front-0", 8)
            await fleet.set_store_faults(silent=True)
            sending = asyncio.create_task(send_each_kind(fleet, "front-0", 20))
            await asyncio.sleep(1.0)
            helper = fleet.instances["front-1"].process
            assert helper is not None
            assert await helper.stop(8.0) == 0
            assert count_served(await sending) == 80
            assert count_most_runs(fleet) == 1

    run(work)


# Guards against requests that are taken for the cause of lost links, and refused everywhere.
def test_lost_links_are_not_taken_for_a_crash_under_a_request(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_service_faults("plain", delay=1.0)
            sending = asyncio.create_task(fleet.send_request("/book/x", b"slow", "front-0"))
            await asyncio.sleep(0.3)
            await fleet.set_link_faults("front-0", **CUTS["reset"])
            await sending
            await asyncio.sleep(1.0)
            events = {line["event"] for line in fleet.read_log("front-0")}
            assert "crash_counted" not in events
            assert "crash_doubted" in events

    run(work)


# Guards against saying that a request has not run while another instance waits for its answer.
def test_a_request_that_expires_at_a_helper_may_have_run(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", **CUTS["reset"])
            await send_each_kind(fleet, "front-0", 4)
            await fleet.set_service_faults("plain", hang=True)
            reply = await fleet.send_request("/book/x", b"late", Deadline_Ms="500")
            assert (reply.status, json.loads(reply.body)["verdict"]) == (504, "may_have_run")

    run(work)


# Guards against new requests to a target whose leaving was passed on to a caller through a helper
# (DRAIN).
def test_an_instance_learns_through_a_helper_that_a_target_leaves(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, zones=1, own_links=True) as fleet:
            await fleet.set_worker_faults("plain-0", leaving=True)
            await fleet.set_link_faults("front-0", **CUTS["silent"])
            replies = await send_each_kind(fleet, "front-0", 10)
            assert any(arrival.leaving for arrival in fleet.read_arrivals())
            assert not any("rhubarbbend" in name for r in replies for name in r.headers)
            await fleet.set_link_faults("front-0", **NO_CUT)
            await asyncio.sleep(1.0)
            before = len((await fleet.read_stats("plain-0")).seen)
            assert count_served(await send_each_kind(fleet, "front-0", 10)) == 40
            assert len((await fleet.read_stats("plain-0")).seen) == before

    run(work)


# Guards against giving up a read that a cut broke off after one other instance that is cut off too.
def test_reads_in_flight_at_a_cut_are_served_by_the_instance_that_has_links(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, zones=1, own_links=True) as fleet:
            await fleet.set_service_faults("plain", delay=0.12)
            # Until the instances hear one another.
            await asyncio.sleep(1.0)
            names = ("front-0", "front-1")
            reads = [
                asyncio.create_task(fleet.send_request(f"/read/{n}", instance=names[n % 2]))
                for n in range(20)
            ]
            await asyncio.sleep(0.06)
            for name in names:
                await fleet.set_link_faults(name, **CUTS["reset"])
            assert count_served([await read for read in reads]) == len(reads)

    run(work)
