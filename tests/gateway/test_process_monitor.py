"""Tests of what is recorded of a late event loop and of callers' connections."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from rhubarbbend import codes
from rhubarbbend.gateway._process_monitor import COUNTERS
from rhubarbbend.http import ConnectionEnd
from tests.gateway.harness import GatewayFleet, make_config, run, start_fleet


# Guards against connections that end for a reason that no counter shows.
@pytest.mark.parametrize("end", list(ConnectionEnd))
def test_each_end_of_a_connection_is_counted(end: ConnectionEnd) -> None:
    assert COUNTERS[end] in codes.list_counters()


# Guards against connections that are closed by an idle time-out that a configuration has lengthened
# a moment ago, since its limits come into force later than its routes.
def test_the_limits_of_a_configuration_are_in_force_with_it(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            for version in range(2, 6):
                limits = {**make_config()["limits"], "idleTimeoutMs": 1_000 * version}
                await fleet.write_row("op", "config", make_config(version, limits=limits))
                await asyncio.sleep(0.4)
            applied = {e["version"]: e["mono"] for e in read_events(fleet, "config_applied")}
            limited = {e["config"]: e["mono"] for e in read_events(fleet, "limits_applied")}
            assert {5}.issubset(limited) and limited.keys() == applied.keys()
            assert all(abs(limited[v] - applied[v]) < 0.05 for v in applied)

    run(work)


def read_events(fleet: GatewayFleet, event: str) -> list[dict[str, Any]]:
    return [line for line in fleet.read_log("front-0") if line["event"] == event]
