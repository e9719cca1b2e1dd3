"""What the tests with real processes share: a small fleet that is ready to serve."""

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
TENGRI = ROOT / "examples" / "tengri"


def run(work: Callable[[], Awaitable[None]], timeout: float = 90.0) -> None:
    """Run a test's coroutine with a limit that no passing test comes near."""

    async def limited() -> None:
        async with asyncio.timeout(timeout):
            await work()

    asyncio.run(limited())


@asynccontextmanager
async def start_fleet(
    folder: Path,
    zones: int = 2,
    instances: int = 1,
    engines: int = 1,
    plains: int = 1,
    engine_options: tuple[str, ...] = (),
    plain_options: tuple[str, ...] = (),
    declarations: Path = TENGRI,
    **options: Any,
) -> AsyncIterator[Cluster]:
    """Start a fleet behind proxies, with so many instances and targets in each zone."""
    names = ZONES[:zones]
    async with Cluster(folder, names, proxied=True, **options) as cluster:
        await cluster.start_platform()
        starts: list[Awaitable[Any]] = []
        for zone in names:
            letter = zone[-1]
            for n in range(1, instances + 1):
                starts.append(cluster.start_instance(f"entry-{letter}{n}", zone))
            for n in range(1, engines + 1):
                name = f"engine-{letter}{n}"
                starts.append(cluster.start_engine(name, zone, "planner", *engine_options))
            for n in range(1, plains + 1):
                name = f"booking-{letter}{n}"
                starts.append(cluster.start_plain(name, zone, "booking", *plain_options))
        await asyncio.gather(*starts)
        await cluster.register()
        await cluster.wait_ready()
        await cluster.apply(declarations)
        await cluster.wait_targets()
        yield cluster


def make_caller(cluster: Cluster, account: str = "pilgrim-groups") -> Caller:
    """Make a caller that goes to every instance in turn."""
    addresses = [node.address for node in cluster.instances.values()]
    return Caller(lambda: addresses, f"{account}-key")


async def wait_until(
    what: str, check: Callable[[], Awaitable[bool]], timeout: float = 15.0
) -> float:
    """Wait until a check holds; gives the seconds it took, fails with `what` if it never does."""
    started = time.monotonic()
    while not await check():
        if time.monotonic() - started > timeout:
            raise AssertionError(f"not within {timeout} s: {what}")
        await asyncio.sleep(0.05)
    return time.monotonic() - started
