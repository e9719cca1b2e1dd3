"""The interface of stores whose tables an instance follows."""

from __future__ import annotations

import abc

from rhubarbbend.core.mirror import TablePage


class StoreError(Exception):
    """A store call that got no answer that can be used; a write may have taken effect."""


class HistoryGone(StoreError):
    """The store no longer has the changes after the version asked for; read the whole table."""


class RowChanged(StoreError):
    """A row is not of the version that a write asked for; nothing was done."""


class RowStore(abc.ABC):
    """A store with versioned rows in tables. Every method raises `StoreError` on failure.

    Hooks: one object serves an instance for its life; calls may overlap. No call is repeated by
    the client: whether to ask again, and whom, is decided by the follower.
    """

    @abc.abstractmethod
    async def read_table(self, table: str) -> TablePage:
        """Read every row of a table."""

    @abc.abstractmethod
    async def follow_table(self, table: str, after: int, wait: float) -> TablePage:
        """Give what has changed after a version, waiting up to `wait` seconds for a change."""

    @abc.abstractmethod
    async def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row, whatever it held."""

    @abc.abstractmethod
    async def remove_row(self, table: str, key: str, version: int | None = None) -> None:
        """Drop a row, if a version is given only as that; raises `RowChanged` if it is another."""

    @abc.abstractmethod
    def reset(self) -> None:
        """End calls under way and close every connection: they may be dead without a sign."""
