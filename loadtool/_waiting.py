"""Waits for something that another process brings about."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


async def wait_until(
    what: str, check: Callable[[], Awaitable[bool]], timeout: float = 10.0
) -> None:
    """Wait until a check holds; fails with `what` if it never does."""
    async with asyncio.timeout(timeout):
        try:
            while not await check():
                await asyncio.sleep(0.03)
        except TimeoutError as error:
            raise AssertionError(f"not within {timeout} s: {what}") from error
