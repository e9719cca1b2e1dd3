"""The load is the same for the same seed, and its counters arrive."""

from __future__ import annotations

import asyncio
import random
import socket

from loadtool._chats import LATER_SECONDS, SOON_SECONDS, TIME_SCALE, pick_pause
from loadtool._counters import open_sink
from loadtool._deployments import DEPLOYMENTS
from rhubarbbend.cli._declarations import read_declarations


def test_most_chats_return_within_minutes_and_some_after_hours() -> None:
    rng = random.Random(3)
    pauses = [pick_pause(rng) * TIME_SCALE for _ in range(2_000)]
    soon = [pause for pause in pauses if pause <= SOON_SECONDS[1]]
    assert 0.8 < len(soon) / len(pauses) < 0.9
    assert all(p >= LATER_SECONDS[0] for p in pauses if p > SOON_SECONDS[1])
    again = random.Random(3)
    assert pauses == [pick_pause(again) * TIME_SCALE for _ in range(2_000)]


def test_deployments_are_declared_with_their_accounts() -> None:
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
            while not sink.by_instance:
                await asyncio.sleep(0.01)
        return dict(sink.sum_all())

    assert asyncio.run(work()) == {"retry.full": 5}
