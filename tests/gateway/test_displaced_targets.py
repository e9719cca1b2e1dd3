"""Tests of registrations whose targets have ended while others listen at their addresses."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from rhubarbbend.core.directory import Target, TargetRecord, TargetRegistry, TargetState
from rhubarbbend.core.placement import HealthTracker
from rhubarbbend.gateway import _displaced_targets
from rhubarbbend.gateway._displaced_targets import DisplacedTargets
from rhubarbbend.gateway._peer_updates import DisplacedTarget, PeerUpdate
from tests.gateway.harness import GatewayFleet, run, start_fleet

# Starts of each target that have ended, and whose registrations are left behind.
FORMER_STARTS = 8
INSTANCES = 6
PLAIN_TARGETS = 4
# From the users' rule: so long after the return of all instances, at least this share is served.
RECOVERY_S = 12.0
MIN_SHARE = 0.25
REQUESTS_PER_S = 40.0
JUDGED_S = 3.0


async def replace_target(fleet: GatewayFleet, name: str, start: int) -> None:
    """Have a target start again under a new id at its address; its registration stays."""
    node = fleet.workers[name]
    new_name = f"{name}-{start}"
    await fleet.set_worker_faults(name, crash_on="end now", reborn_as=new_name)
    await fleet.call(("127.0.0.1", node.port), "POST", "/x", b"end now")
    address = f"127.0.0.1:{node.advertised_port}"
    entry = {"service": node.service, "address": address, "zone": node.zone, "version": "v1"}
    entry |= {"slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": 1 + start}
    await fleet.write_row("servers", new_name, entry)


async def lose_all(fleet: GatewayFleet) -> None:
    """End all instances and targets at once, the targets several times; start all again."""
    for node in fleet.instances.values():
        assert node.process is not None
        await node.process.kill()
    for start in range(1, FORMER_STARTS + 1):
        await asyncio.gather(*(replace_target(fleet, name, start) for name in fleet.workers))
    await asyncio.gather(*(fleet.start_instance(name) for name in fleet.instances))


async def send_steadily(fleet: GatewayFleet, path: str, until: float) -> list[tuple[float, bool]]:
    """Send requests to all instances in turn; return when each was sent and if it was served."""
    sent: list[tuple[float, asyncio.Task[bool]]] = []

    async def send(instance: str, number: int) -> bool:
        reply = await fleet.send_request(f"{path}{number}", b"x", instance)
        return reply.status == 200 and reply.complete

    while (now := time.time()) < until:
        instance = f"front-{len(sent) % INSTANCES}"
        sent.append((now, asyncio.create_task(send(instance, len(sent)))))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return [(at, await task) for at, task in sent]


# Guards against a fleet that does not come back after a loss of power of all, since it sends most
# requests to targets that have ended, at addresses where others answer (RECOVER).
def test_service_returns_while_registrations_of_former_targets_stay(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path,
            instances=INSTANCES,
            plain_worker_count=PLAIN_TARGETS,
            engine_worker_count=1,
        ) as fleet:
            await lose_all(fleet)
            returned_at = time.time()
            for name in fleet.instances:
                await fleet.wait_ready(name, RECOVERY_S)
            judged_at = returned_at + RECOVERY_S
            outcomes = await send_steadily(fleet, "/book/", judged_at + JUDGED_S)
            judged = [served for at, served in outcomes if at >= judged_at]
            assert sum(judged) >= MIN_SHARE * len(judged), f"{sum(judged)} of {len(judged)}"
            # Nothing else is out of order, so callers may expect more than the least.
            assert all(judged), f"{sum(judged)} of {len(judged)}"

    run(work)


def make_state(**record: Any) -> Any:
    """Return the parts of an instance's state that a displaced target concerns."""
    registry = TargetRegistry()
    fields = {"id": "plain-0", "service": "plain", "host": "10.0.0.1", "port": 80, "boot": 2}
    fields |= {"zone": "a", "slots": 6, "state": TargetState.READY}
    registry.register(TargetRecord(**{**fields, **record}), 0.0)
    return SimpleNamespace(
        registry=registry,
        health=HealthTracker(),
        metrics=SimpleNamespace(increment_counter=lambda *_: None),
        event_log=SimpleNamespace(write=lambda *_, **__: None),
        report_internal_error=lambda *_: None,
        settings=SimpleNamespace(instance="front-0"),
    )


def make_displaced_targets(
    state: Any, sent: list[PeerUpdate], may_check: asyncio.Event
) -> DisplacedTargets:
    """Return them for an instance that meets each target as soon as it may check."""

    async def broadcast(update: PeerUpdate) -> None:
        sent.append(update)

    async def check(target: Target) -> bool:
        await may_check.wait()
        return True

    peers: Any = SimpleNamespace(broadcast=broadcast)
    return DisplacedTargets(state, peers, check, lambda: 0.0)


NOTICE = DisplacedTarget("plain-0/2", ("10.0.0.1", 80))


# Guards against holding a target out for what another start or another address of it has shown.
@pytest.mark.parametrize("record", [{"boot": 3}, {"port": 81}, {"id": "plain-1"}])
def test_news_of_a_displaced_target_is_for_one_start_and_address(record: dict[str, Any]) -> None:
    async def work() -> None:
        for state, is_held_out in ((make_state(), True), (make_state(**record), False)):
            displaced = make_displaced_targets(state, [], asyncio.Event())
            displaced.merge_notices(PeerUpdate(displaced=[NOTICE], sender="front-1"))
            names = [target.id for target in state.registry.list_targets()]
            assert [state.health.is_displaced(name) for name in names] == [is_held_out]

    run(work)


# Guards against holding a target out that registers a new address while the answer of whoever is
# at the former one is on its way.
def test_answer_from_a_former_address_displaces_nothing() -> None:
    async def work() -> None:
        state = make_state(port=81)
        displaced = make_displaced_targets(state, [], asyncio.Event())
        (target,) = state.registry.list_targets()
        displaced.record(target, ("10.0.0.1", 80))
        assert not state.health.is_displaced(target.id)

    run(work)


# Guards against a target that is never used again after a wrong answer, and against messages
# without end about one that all know.
def test_displaced_target_is_told_once_and_used_again_when_it_is_met(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_displaced_targets, "INITIAL_CHECK_DELAY_S", 0.01)

    async def work() -> None:
        state, sent, may_check = make_state(), [], asyncio.Event()
        displaced = make_displaced_targets(state, sent, may_check)
        (target,) = state.registry.list_targets()
        displaced.record(target, target.address)
        displaced.record(target, target.address)
        while not sent:
            await asyncio.sleep(0.01)
        assert [update.displaced for update in sent] == [[NOTICE]]
        assert state.health.is_displaced(target.id)
        may_check.set()
        while state.health.is_displaced(target.id):
            await asyncio.sleep(0.01)

    run(work)
