"""The fleet of the load tool, and how tests run on it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loadtool._gateway_fleet import (
    ACCOUNT,
    HOST,
    KEY,
    ZONES,
    Fleet,
    Reply,
    make_config,
    make_route,
    start_fleet,
)
from loadtool._waiting import wait_until

__all__ = [
    "ACCOUNT",
    "HOST",
    "KEY",
    "ZONES",
    "Fleet",
    "Reply",
    "make_config",
    "make_route",
    "run",
    "start_fleet",
    "wait_until",
]


def run(work: Callable[[], Awaitable[None]], timeout: float = 60.0) -> None:
    """Run a test's coroutine with a limit that no passing test comes near."""

    async def limited() -> None:
        async with asyncio.timeout(timeout):
            await work()

    asyncio.run(limited())
