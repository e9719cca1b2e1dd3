"""The interface of platform clients."""

from __future__ import annotations

import abc
from collections.abc import Sequence
from typing import Final

from rhubarbbend.core.actions import Write
from rhubarbbend.core.events import Listed, Row
from rhubarbbend.kernel import Registry


class PlatformError(Exception):
    """A platform call that failed; a write may have taken effect all the same."""


class PlatformClient(abc.ABC):
    """Reaches the platform. Every method raises `PlatformError` when it gets no answer.

    Hooks: one object serves an instance for its life; methods may be called while others are
    under way. A client never repeats a write by itself, because the core decides that.
    """

    def __init__(self, address: tuple[str, int], timeout: float, zone: str) -> None:
        self.address = address
        self.timeout = timeout
        self.zone = zone
        # Bytes both ways, as they pass the sockets.
        self.traffic = 0

    @abc.abstractmethod
    async def write_rows(
        self, writes: Sequence[Write], atomic: bool
    ) -> tuple[list[bool], list[Row | None]]:
        """Run conditional writes in one transaction; give what applied and the rows now there."""

    @abc.abstractmethod
    async def read_row(self, table: str, key: str) -> Row | None:
        """Read one row."""

    @abc.abstractmethod
    async def scan_rows(self, table: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order after a key."""

    @abc.abstractmethod
    async def read_object(self, name: str) -> bytes:
        """Read an object; empty if there is none."""

    @abc.abstractmethod
    async def write_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    @abc.abstractmethod
    async def read_list(self) -> list[Listed]:
        """Read the list of instances and targets, with addresses as seen from the own zone."""

    def drop_idle(self, now: float) -> None:  # noqa: B027  (optional hook)
        """Close connections that have idled too long."""


PLATFORMS: Final[Registry[PlatformClient]] = Registry("platform client")
