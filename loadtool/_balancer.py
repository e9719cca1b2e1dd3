"""A model of the platform's load balancer: lists the instances whose readiness check succeeds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from rhubarbbend.http import ConnectionPool, HttpFailure, fetch

CHECK_INTERVAL_S: Final = 0.2
CHECK_TIMEOUT_S: Final = 0.5
READY_PATH: Final = "/readyz"
Address = tuple[str, int]


class Balancer:
    """Checks the readiness of all instances at an interval; use it as a context manager.

    Invariant: an address stays in the list until a check of it has failed, as with the real
    balancer.
    """

    def __init__(self, addresses: Callable[[], list[Address]]) -> None:
        self._addresses = addresses
        self._ready: list[Address] = []
        self._pool = ConnectionPool(1.0)
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Balancer:
        await self._check_all()
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._task is not None:
            self._task.cancel()

    def list_ready(self) -> list[Address]:
        """Return the addresses of the instances that were ready at the last check."""
        return self._ready

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._check_all()

    async def _check_all(self) -> None:
        addresses = self._addresses()
        checks = await asyncio.gather(*(self._check(address) for address in addresses))
        self._ready = [a for a, ready in zip(addresses, checks, strict=True) if ready]

    async def _check(self, address: Address) -> bool:
        now = asyncio.get_running_loop().time()
        try:
            response, _ = await fetch(
                self._pool,
                address,
                "GET",
                READY_PATH,
                now,
                new_connection=True,
                timeout=CHECK_TIMEOUT_S,
            )
        except HttpFailure:
            return False
        return response.status == 200
