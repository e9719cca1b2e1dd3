"""A model of the platform's load balancer: lists the instances whose readiness check succeeds."""

from __future__ import annotations

import asyncio
import sys
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
        started_at = asyncio.get_running_loop().time()
        failures = await asyncio.gather(*(self._check(address) for address in addresses))
        results = list(zip(addresses, failures, strict=True))
        self._ready = [address for address, failure in results if failure is None]
        if results and not self._ready:
            # A check also fails if this process does not run for longer than the time-out.
            taken_s = asyncio.get_running_loop().time() - started_at
            reasons = ", ".join(f"{host}:{port}: {why}" for (host, port), why in results)
            print(f"balancer: no instance ready after {taken_s:.2f} s: {reasons}", file=sys.stderr)

    async def _check(self, address: Address) -> str | None:
        """Check an instance; return why it is not ready, None if it is."""
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
        except HttpFailure as failure:
            return str(failure)
        return None if response.status == 200 else f"status {response.status}"
