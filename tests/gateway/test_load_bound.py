"""Tests of many instances that send to engines which have not reported their load yet."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from pathlib import Path
from random import Random

import msgspec

from rhubarbbend.core.placement import CountScope, InFlightUpdate, compute_target_hash
from standins._worker_types import Arrival
from tests.gateway.harness import GatewayFleet, run, start_fleet, wait_until

INSTANCES, ENGINES = 8, 9
REQUESTS, REQUESTS_PER_S = 150, 60.0
HOT_PROMPT_FRACTION = 0.35
# Time from a request's arrival to its first event, which carries the engine's first load report,
# and to its end.
FIRST_EVENT_DELAY_S, DURATION_S = 1.0, 1.1
# The requirement: fewer than 20 requests, or at most 3 in 100, reach an engine that has more than
# twice the mean load plus 3.
LOAD_FACTOR, LOAD_SLACK = 2.0, 3.0
MAX_OVER_LIMIT_FRACTION, MIN_OVER_LIMIT_COUNT = 0.03, 20
METRICS_PORT = 9464
# From a sender that is not on the list of instances.
UNKNOWN_SENDER_UPDATE = InFlightUpdate(
    "stranger", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine-0"): 500}, 1
)
# In the name of an instance, with counts that it could have.
IMPERSONATED_UPDATE = InFlightUpdate(
    "front-1", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine-0"): 20}, 2**31
)
IMPERSONATED_READER_UPDATE = InFlightUpdate(
    "front-1", CountScope.ALL_EXCEPT_RECEIVER, 1, True, {compute_target_hash("engine-0"): 20}, 2**31
)
FORGED_UPDATES = (UNKNOWN_SENDER_UPDATE, IMPERSONATED_UPDATE, IMPERSONATED_READER_UPDATE)


def count_over_limit(arrivals: list[Arrival]) -> int:
    """Count the requests that reached an engine above the limit."""
    held: dict[str, deque[float]] = {}
    over_limit = 0
    for arrival in sorted(arrivals, key=lambda a: a.at):
        for starts in held.values():
            while starts and starts[0] <= arrival.at - DURATION_S:
                starts.popleft()
        mean = sum(map(len, held.values())) / ENGINES
        here = held.setdefault(arrival.worker, deque())
        over_limit += len(here) > LOAD_FACTOR * mean + LOAD_SLACK
        here.append(arrival.at)
    return over_limit


async def send_surge(fleet: GatewayFleet) -> None:
    """Send requests through all instances in turn, a fraction of them with the same prompt."""
    random = Random(20)
    names = list(fleet.instances)
    request_tasks = []
    for number in range(REQUESTS):
        chat = "bb22" if random.random() < HOT_PROMPT_FRACTION else f"{random.randrange(300):x}c"
        prompt = f"aa11:400,{chat}:9000,{number:x}f:20"
        name = names[number % len(names)]
        request = fleet.send_request("/plan/stream", b"hi", instance=name, Prefix_Hash=prompt)
        request_tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    replies = await asyncio.gather(*request_tasks)
    assert all(reply.status in (200, 503) for reply in replies)
    assert sum(reply.status == 200 for reply in replies) >= 0.9 * REQUESTS


def test_instances_together_do_not_overload_an_engine_without_load_reports(
    tmp_path: Path,
) -> None:
    # LIMIT: until an engine responds, each instance knows only its own requests there. So all of
    # them kept sending to the preferred engine of a hot prompt, which then had several times the
    # mean load.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=INSTANCES, engine_worker_count=ENGINES) as fleet:
            await fleet.set_service_faults("llm", delay=FIRST_EVENT_DELAY_S)
            await send_surge(fleet)
            arrivals = [a for a in fleet.read_arrivals() if a.worker.startswith("engine")]
            over_limit = count_over_limit(arrivals)
            assert over_limit < MIN_OVER_LIMIT_COUNT or over_limit <= MAX_OVER_LIMIT_FRACTION * len(
                arrivals
            )

    run(work)


def test_unreadable_and_forged_datagrams_are_rejected(tmp_path: Path) -> None:
    # Anyone who can reach an instance can send it counts. If accepted, they would make an engine
    # look full, and its requests would be sent elsewhere or refused.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=1) as fleet:
            node = fleet.instances["front-0"]
            host, _, port = node.settings["listen"]["control"].rpartition(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
                for data in (b"", b"\xc1nonsense", *map(msgspec.msgpack.encode, FORGED_UPDATES)):
                    forger.sendto(data, (host, int(port)))

            async def is_counted() -> bool:
                text = (await fleet.call((node.ip, METRICS_PORT), "GET", "/metrics")).body
                rejected = b"rhubarbbend_peers_counts_rejected_total 3\n" in text
                return rejected and b"rhubarbbend_peers_bad_frames_total 2\n" in text

            await wait_until("the unreadable ones are counted", is_counted)
            reply = await fleet.send_request(
                "/plan/stream", b"hi", Prefix_Hash="aa11:400,bb22:9000,1f:20"
            )
            assert reply.status == 200
            sent = [line for line in fleet.read_log("front-0") if line["event"] == "sent"]
            assert [line["load"] for line in sent] == [0.0]

    run(work)
