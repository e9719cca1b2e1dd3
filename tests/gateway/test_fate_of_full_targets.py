"""Targets reset connections beyond their limit; that is no crash of theirs."""

from __future__ import annotations

import asyncio
import itertools
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from rhubarbbend.core.crashes import Fate
from rhubarbbend.core.detours import ReachTable
from rhubarbbend.core.directory import Target, TargetRecord, TargetState
from rhubarbbend.gateway._target_checker import Contact, TargetChecker
from tests.gateway.harness import GatewayFleet, run, start_fleet

PATHS = ("/read/x", "/book/x", "/chat/stream", "/plan/stream")
DURATION_S = 16.0
LIMITED_AFTER_S = 4.0


async def send_all(fleet: GatewayFleet, rng: random.Random, rate: float) -> list[str]:
    """Send requests for a while that share a first part; return the texts of their answers."""
    numbers = itertools.count()
    answers: list[str] = []

    async def send() -> None:
        number = next(numbers)
        prefix = f"aa11:300,{rng.randrange(40):x}bb:200,{number + 4096:x}:20"
        instance = rng.choice(list(fleet.instances))
        body = b"x%d" % number
        reply = await fleet.send_request(
            rng.choice(PATHS), body, instance=instance, Prefix_Hash=prefix
        )
        answers.append(bytes(reply.body).decode("latin-1"))

    loop = asyncio.get_running_loop()
    until = loop.time() + DURATION_S
    sendings = []
    while loop.time() < until:
        sendings.append(asyncio.ensure_future(send()))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*sendings, return_exceptions=True)
    return answers


# Guards against sound requests that are refused as crashing because targets were full.
@pytest.mark.parametrize(("service", "limit"), [("plain", 24), ("plain", 8), ("llm", 16)])
def test_full_targets_are_not_taken_for_crashed(tmp_path: Path, service: str, limit: int) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=8, plain_worker_count=3, engine_worker_count=4
        ) as fleet:
            await fleet.set_service_faults("plain", delay=0.15)
            await fleet.set_service_faults("llm", delay=0.2, event_gap=0.05)
            sending = asyncio.ensure_future(send_all(fleet, random.Random(limit), 90.0))
            await asyncio.sleep(LIMITED_AFTER_S)
            await fleet.set_service_faults(service, max_connections=limit)
            answers = await sending
            assert answers
            assert not [answer for answer in answers if "crashes" in answer]

    run(work)


async def find_fate(contacts: dict[str, Contact], own: Contact) -> Fate:
    """Return the fate of a target of zone c that an instance of zone a and witnesses contact."""
    state = SimpleNamespace(
        instance_zones={"own": "a", **{f"{zone}-1": zone for zone in contacts}},
        settings=SimpleNamespace(instance="own", zone="a"),
        random=random.Random(1),
        reach=ReachTable("own"),
    )
    parts = cast(Any, SimpleNamespace())
    checker = TargetChecker(cast(Any, state), parts, parts, lambda *_: False, lambda: 0.0)

    async def contact(query: object) -> Contact:
        return own

    async def ask(instance: str, query: bytes) -> Contact:
        return contacts[instance.partition("-")[0]]

    cast(Any, checker)._contact = contact
    cast(Any, checker)._ask = ask
    record = TargetRecord("t", "llm", "127.0.0.1", 1, "c", 1, TargetState.READY)
    return (await checker.find_fate(Target(record, 0.0, 0.0))).fate


# Guards against an end that is concluded from connections that were accepted and then reset.
@pytest.mark.parametrize(
    ("own", "witnesses", "fate"),
    [
        (Contact.FULL, {"b": Contact.FULL, "c": Contact.FULL}, Fate.UNKNOWN),
        (Contact.FULL, {"b": Contact.REFUSED, "c": Contact.FULL}, Fate.UNKNOWN),
        (Contact.REFUSED, {"b": Contact.FULL, "c": Contact.REFUSED}, Fate.UNKNOWN),
        (Contact.FULL, {"b": Contact.SAME, "c": Contact.FULL}, Fate.ALIVE),
        (Contact.FULL, {"b": Contact.FULL, "c": Contact.OTHER}, Fate.ENDED),
        (Contact.REFUSED, {"b": Contact.REFUSED, "c": Contact.REFUSED}, Fate.ENDED),
        (Contact.REFUSED, {"b": Contact.CUT_OFF, "c": Contact.CUT_OFF}, Fate.UNKNOWN),
        (Contact.REFUSED, {"b": Contact.CUT_OFF, "c": Contact.REFUSED}, Fate.ENDED),
    ],
)
def test_fate_of_a_target_that_closes_connections(
    own: Contact, witnesses: dict[str, Contact], fate: Fate
) -> None:
    assert asyncio.run(find_fate(witnesses, own)) is fate
