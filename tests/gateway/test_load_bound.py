"""Engines that say nothing of their load yet, and many instances that fill them."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from pathlib import Path
from random import Random

import msgspec

from rhubarbbend.core.placement import CountScope, InFlightUpdate, compute_target_hash
from standins._worker import Arrival
from tests.gateway.harness import Fleet, run, start_fleet, wait_until

INSTANCES, ENGINES = 8, 9
REQUESTS, RATE = 150, 60.0
HOT_SHARE = 0.35
# From a request's arrival to its first event, which is the first word of an engine's load, and to
# the end.
FIRST_EVENT, WHOLE = 1.0, 1.1
# The users' rule: fewer than 20 requests, or at most 3 in 100, reach an engine that holds more
# than twice the mean and 3.
FACTOR, SLACK = 2.0, 3.0
MOST_SHARE, LEAST_COUNT = 0.03, 20
METRICS_PORT = 9464
# From one that is not on the list of instances.
FORGED = InFlightUpdate(
    "stranger", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine-0"): 500}, 1
)
# With the name of an instance, in numbers that it could have.
BORROWED = InFlightUpdate(
    "front-1", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine-0"): 20}, 2**31
)
FORGED_REST = InFlightUpdate(
    "front-1", CountScope.ALL_EXCEPT_RECEIVER, 1, True, {compute_target_hash("engine-0"): 20}, 2**31
)
FORGERIES = (FORGED, BORROWED, FORGED_REST)


def count_over_bound(arrivals: list[Arrival]) -> int:
    """Count the requests that reached an engine over the bound."""
    held: dict[str, deque[float]] = {}
    over = 0
    for arrival in sorted(arrivals, key=lambda a: a.at):
        for starts in held.values():
            while starts and starts[0] <= arrival.at - WHOLE:
                starts.popleft()
        mean = sum(map(len, held.values())) / ENGINES
        here = held.setdefault(arrival.worker, deque())
        over += len(here) > FACTOR * mean + SLACK
        here.append(arrival.at)
    return over


async def send_surge(fleet: Fleet) -> None:
    """Send requests through all instances in turn, a part of them about one prompt."""
    random = Random(20)
    names = list(fleet.instances)
    asks = []
    for number in range(REQUESTS):
        chat = "bb22" if random.random() < HOT_SHARE else f"{random.randrange(300):x}c"
        prompt = f"aa11:400,{chat}:9000,{number:x}f:20"
        name = names[number % len(names)]
        ask = fleet.ask("/plan/stream", b"hi", instance=name, Prefix_Hash=prompt)
        asks.append(asyncio.create_task(ask))
        await asyncio.sleep(1.0 / RATE)
    replies = await asyncio.gather(*asks)
    assert all(reply.status in (200, 503) for reply in replies)
    assert sum(reply.status == 200 for reply in replies) >= 0.9 * REQUESTS


def test_instances_do_not_fill_an_engine_together_that_has_not_told_its_load(
    tmp_path: Path,
) -> None:
    # LIMIT: each instance knows only its own requests at an engine until that answers, so all of
    # them go on sending to the home of a hot prompt, which then holds several times the mean.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=INSTANCES, engines=ENGINES) as fleet:
            await fleet.set_workers("llm", delay=FIRST_EVENT)
            await send_surge(fleet)
            arrivals = [a for a in fleet.read_arrivals() if a.worker.startswith("engine")]
            over = count_over_bound(arrivals)
            assert over < LEAST_COUNT or over <= MOST_SHARE * len(arrivals)

    run(work)


def test_datagrams_that_are_unreadable_or_from_a_stranger_change_nothing(tmp_path: Path) -> None:
    # Whoever reaches an instance may send it counts. Believed, they would make an engine look full
    # and move or refuse what belongs there.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engines=1) as fleet:
            node = fleet.instances["front-0"]
            host, _, port = node.settings["listen"]["control"].rpartition(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for data in (b"", b"\xc1nonsense", *map(msgspec.msgpack.encode, FORGERIES)):
                    stranger.sendto(data, (host, int(port)))

            async def is_counted() -> bool:
                text = (await fleet.call((node.ip, METRICS_PORT), "GET", "/metrics")).body
                rejected = b"rhubarbbend_peers_counts_rejected_total 3\n" in text
                return rejected and b"rhubarbbend_peers_bad_frames_total 2\n" in text

            await wait_until("the unreadable ones are counted", is_counted)
            reply = await fleet.ask("/plan/stream", b"hi", Prefix_Hash="aa11:400,bb22:9000,1f:20")
            assert reply.status == 200
            sent = [line for line in fleet.read_log("front-0") if line["event"] == "sent"]
            assert [line["load"] for line in sent] == [0.0]

    run(work)
