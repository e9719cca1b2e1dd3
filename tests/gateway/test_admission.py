"""Tests of instances that admit requests to an engine service which is full."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from tests.gateway.harness import (
    ACCOUNT,
    KEY,
    GatewayFleet,
    Reply,
    make_config,
    make_route,
    run,
    start_fleet,
    wait_until,
)

INSTANCES = 2
SLOTS = 3
WORK_S = 0.25
# Twice what one engine can do.
REQUESTS_PER_S = 2 * SLOTS / WORK_S
DURATION_S = 4.0
DEADLINE = "3000"


def make_pressure_config() -> dict[str, Any]:
    """Return a configuration with an urgent and a less urgent route to one small engine."""
    config = make_config(2)
    streaming: dict[str, Any] = {"sticky": True, "resumable": True}
    config["routes"] = [
        make_route("urgent", "/u/", "streaming", "llm", priority=0, sloMs=800, **streaming),
        make_route("later", "/l/", "streaming", "llm", priority=2, sloMs=800, **streaming),
    ]
    for service in config["services"]:
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    config["tenants"] = [{"name": ACCOUNT, "apiKeys": [KEY]}]
    return config


async def start_pressure(fleet: GatewayFleet) -> None:
    """Give the instances the configuration, and settings with the contract `pressure`."""
    await fleet.write_row("op", "config", make_pressure_config())
    await fleet.set_service_faults("llm", delay=WORK_S, events=1, event_gap=0.0)
    for name, node in fleet.instances.items():
        node.settings["contracts"] = ["pressure"]
        fleet.reload(name)

        async def is_reloaded(name: str = name) -> bool:
            lines = [line["event"] for line in fleet.read_log(name)]
            return "reloaded" in lines and lines.count("config_applied") >= 2

        await wait_until(f"{name} has reloaded", is_reloaded)


async def send_overload(fleet: GatewayFleet) -> dict[str, list[tuple[str, Reply]]]:
    """Send as many urgent as less urgent requests; return attempt ids and replies by route."""
    tasks: dict[str, list[tuple[str, asyncio.Task[Reply]]]] = {"/u/": [], "/l/": []}
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        path = ("/u/", "/l/")[number % 2]
        attempt = f"p-{number}"
        request = fleet.send_request(
            f"{path}stream",
            b"x",
            f"front-{number // 2 % INSTANCES}",
            Attempt_Id=attempt,
            Deadline_Ms=DEADLINE,
            Prefix_Hash=f"{number:04x}:90",
        )
        tasks[path].append((attempt, asyncio.create_task(request)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return {path: [(name, await task) for name, task in sent] for path, sent in tasks.items()}


# Guards against full engines that get the requests of all routes alike, and against refusals of
# requests that a target has run.
def test_a_full_engine_serves_the_urgent_route_first(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=INSTANCES, engine_worker_count=1) as fleet:
            await start_pressure(fleet)
            replies = await send_overload(fleet)
            served = {
                path: sum(reply.status == 200 for _, reply in sent) / len(sent)
                for path, sent in replies.items()
            }
            assert served["/u/"] > 1.5 * served["/l/"], served
            assert served["/l/"] > 0.0
            ran = {arrival.id for arrival in fleet.read_arrivals()}
            refused = [
                (name, reply)
                for sent in replies.values()
                for name, reply in sent
                if reply.status != 200
            ]
            assert {reply.status for _, reply in refused} == {503}
            for name, reply in refused:
                assert json.loads(reply.body)["verdict"] == "not_run"
                assert 0.0 < float(reply.headers["retry-after"]) <= float(DEADLINE) / 3_000.0
                assert name not in ran
            decisions = [
                line
                for instance in fleet.instances
                for line in fleet.read_log(instance)
                if line["event"] == "admission" and line["decision"] == "refuse"
            ]
            assert {line["id"] for line in decisions} == {name for name, _ in refused}
            assert all(line["slots"] == SLOTS for line in decisions)
            stats = await fleet.read_stats("engine-0")
            assert stats.most_running <= 2 * SLOTS, stats.most_running

    run(work)
