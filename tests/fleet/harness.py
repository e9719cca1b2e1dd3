"""Start and call a small fleet of real processes; shared by the tests of this and other folders."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from loadtool import Caller, Cluster
from loadtool._processes import ROOT

ZONES = ["almaty-a", "almaty-b", "almaty-c"]
TENGRI_DIR = ROOT / "examples" / "tengri"


def run_with_timeout(work: Callable[[], Awaitable[None]], timeout: float = 90.0) -> None:
    """Run a test's coroutine with a timeout in seconds, far above what a passing test takes."""

    async def run_limited() -> None:
        async with asyncio.timeout(timeout):
            await work()

    asyncio.run(run_limited())


@asynccontextmanager
async def start_fleet(
    folder: Path,
    zones: int = 2,
    instances: int = 1,
    engines: int = 1,
    plain_services: int = 1,
    engine_options: tuple[str, ...] = (),
    plain_options: tuple[str, ...] = (),
    declarations: Path = TENGRI_DIR,
    **options: Any,
) -> AsyncIterator[Cluster]:
    """Start a fleet behind proxies and yield it once every instance and target is ready.

    `instances`, `engines` and `plain_services` are counts per availability zone; `options` are
    passed to `Cluster`.
    """
    zone_names = ZONES[:zones]
    async with Cluster(folder, zone_names, use_proxies=True, **options) as cluster:
        await cluster.start_platform()
        startups: list[Awaitable[Any]] = []
        for zone in zone_names:
            zone_letter = zone[-1]
            for n in range(1, instances + 1):
                startups.append(cluster.start_instance(f"entry-{zone_letter}{n}", zone))
            for n in range(1, engines + 1):
                name = f"engine-{zone_letter}{n}"
                startups.append(cluster.start_engine(name, zone, "planner", *engine_options))
            for n in range(1, plain_services + 1):
                name = f"booking-{zone_letter}{n}"
                startups.append(cluster.start_plain_service(name, zone, "booking", *plain_options))
        await asyncio.gather(*startups)
        await cluster.register()
        await cluster.wait_until_instances_ready()
        await cluster.apply_declarations(declarations)
        await cluster.wait_until_targets_ready()
        yield cluster


def make_caller(cluster: Cluster, account: str = "pilgrim-groups") -> Caller:
    """Return a caller of a client account that sends to every instance in turn."""
    addresses = [node.address for node in cluster.instances.values()]
    return Caller(lambda: addresses, f"{account}-key")


async def wait_until(
    description: str, condition: Callable[[], Awaitable[bool]], timeout: float = 15.0
) -> float:
    """Poll until a condition holds and return the seconds waited.

    Raise an AssertionError that names `description` after `timeout` seconds.
    """
    started_at = time.monotonic()
    while not await condition():
        if time.monotonic() - started_at > timeout:
            raise AssertionError(f"condition not met within {timeout} s: {description}")
        await asyncio.sleep(0.05)
    return time.monotonic() - started_at
