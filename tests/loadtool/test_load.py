"""Tests of the seeded load, the declared deployments and the statsd counter sink."""

from __future__ import annotations

import asyncio
import random
import socket

from loadtool._counter_sink import open_sink
from loadtool._deployments import DEPLOYMENTS
from loadtool._workload import LONG_PAUSE_S, SHORT_PAUSE_S, TIME_SCALE_FACTOR, choose_pause
from rhubarbbend.cli._declarations import read_declarations


def test_most_chats_return_within_minutes_and_some_after_hours() -> None:
    rng = random.Random(3)
    pauses = [choose_pause(rng) * TIME_SCALE_FACTOR for _ in range(2_000)]
    soon = [pause for pause in pauses if pause <= SHORT_PAUSE_S[1]]
    assert 0.8 < len(soon) / len(pauses) < 0.9
    assert all(p >= LONG_PAUSE_S[0] for p in pauses if p > SHORT_PAUSE_S[1])
    again = random.Random(3)
    assert pauses == [choose_pause(again) * TIME_SCALE_FACTOR for _ in range(2_000)]


def test_declarations_match_the_accounts_and_zones_of_each_deployment() -> None:
    for deployment in DEPLOYMENTS.values():
        declared = read_declarations(deployment.declarations)
        names = {name for kind, name in declared if kind == "account"}
        assert names == set(deployment.accounts)
        assert {name for kind, name in declared if kind == "zone"} == set(deployment.zones)
        assert abs(sum(kind.share for kind in deployment.chat_kinds) - 1.0) < 1e-9


def test_sink_sums_counters_by_instance() -> None:
    async def work() -> dict[str, int]:
        sink, port = await open_sink("127.0.0.1")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            lines = b"rhubarbbend.entry-1.retry.full:2|c\nrhubarbbend.entry-2.retry.full:3|c"
            sender.sendto(lines, ("127.0.0.1", port))
        async with asyncio.timeout(5.0):
            while not sink.counters_by_instance:
                await asyncio.sleep(0.01)
        return dict(sink.sum_over_instances())

    assert asyncio.run(work()) == {"retry.full": 5}
