"""The interface of platform clients, and the registry of its implementations."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from typing import Final

from rhubarbbend.core.actions import Write
from rhubarbbend.core.events import Listed, Row
from rhubarbbend.kernel import Registry


class PlatformError(Exception):
    """A platform call that failed; a write may have taken effect nevertheless."""


class PlatformClient(abc.ABC):
    """Calls the platform. Every method raises `PlatformError` if it gets no valid response.

    Hooks: an instance uses one object for its whole life, and calls may run concurrently. A client
    never retries a write by itself, because the core decides on retries. `timeout` is in seconds.
    """

    def __init__(self, address: tuple[str, int], timeout: float, zone: str) -> None:
        self.address = address
        self.timeout = timeout
        self.zone = zone
        # Bytes sent and received on the sockets.
        self.traffic = 0

    @abc.abstractmethod
    async def write_rows(
        self, writes: Sequence[Write], atomic: bool
    ) -> tuple[list[bool], list[Row | None]]:
        """Run conditional writes in one transaction.

        Return, for each write, whether it was applied and the row that is stored now.
        """

    @abc.abstractmethod
    async def read_row(self, table: str, key: str) -> Row | None:
        """Return a row, or None if there is none."""

    @abc.abstractmethod
    async def scan_rows(self, table: str, after: str, limit: int) -> list[Row]:
        """Return at most `limit` rows in key order, starting after the key `after`."""

    @abc.abstractmethod
    async def read_object(self, name: str) -> bytes:
        """Return the content of an object; empty if it does not exist."""

    @abc.abstractmethod
    async def write_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    @abc.abstractmethod
    async def read_instance_list(self) -> list[Listed]:
        """Return the instances and targets, with their addresses as seen from the own zone."""

    def close_expired_idle(self, now: float) -> None:  # noqa: B027  (optional hook)
        """Close connections that were idle too long."""


PLATFORMS: Final[Registry[PlatformClient]] = Registry("platform client")
