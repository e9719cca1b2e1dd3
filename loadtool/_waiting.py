"""Waits for a condition that depends on other processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


async def wait_until(
    description: str, check: Callable[[], Awaitable[bool]], timeout: float = 10.0
) -> None:
    """Wait until `check` returns true.

    Raises AssertionError with the description `what` if that takes longer than `timeout` seconds.
    """
    async with asyncio.timeout(timeout):
        try:
            while not await check():
                await asyncio.sleep(0.03)
        except TimeoutError as error:
            raise AssertionError(
                f"timed out after {timeout} s while waiting for: {description}"
            ) from error
