"""The interface of stores with versioned tables, whose changes an instance watches."""

from __future__ import annotations

import abc
from collections.abc import Sequence

import msgspec

from rhubarbbend.core.mirror import TablePage


class StoreError(Exception):
    """A store call without a usable response; a write may have taken effect nevertheless."""


class HistoryCompacted(StoreError):
    """The store no longer has the changes after the requested version: read the whole table."""


class VersionConflict(StoreError):
    """A row does not have the version that a write expected; nothing was written."""


class StoredRow(msgspec.Struct, frozen=True):
    """One row as read at `store_time_s`, by the store's steady clock.

    `value` is None and `version` 0 if there is no such row.
    """

    value: bytes | None
    version: int
    store_time_s: float


class RowPut(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class RowVersion(msgspec.Struct, frozen=True):
    """The version that a row must have for a write to take effect; 0 if it must not exist."""

    table: str
    key: str
    version: int


class RowStore(abc.ABC):
    """A store of tables with versioned rows. Every method raises `StoreError` on failure.

    Hooks: an instance uses one object for its whole life, and calls may run concurrently. The
    client never retries a call: the caller decides whether to retry, and at which store.
    """

    @abc.abstractmethod
    async def read_table(self, table: str) -> TablePage:
        """Return every row of a table."""

    @abc.abstractmethod
    async def watch_table(self, table: str, after_version: int, wait: float) -> TablePage:
        """Return the changes after `after_version`, waiting up to `wait` seconds for one.

        Raise `HistoryCompacted` if the store no longer has the changes after that version.
        """

    @abc.abstractmethod
    async def read_row(self, table: str, key: str) -> StoredRow:
        """Return one row."""

    @abc.abstractmethod
    async def write_rows(self, puts: Sequence[RowPut], expected: Sequence[RowVersion]) -> None:
        """Write rows in one transaction; raise `VersionConflict` unless all versions match."""

    @abc.abstractmethod
    async def put_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally."""

    @abc.abstractmethod
    async def remove_row(self, table: str, key: str, version: int | None = None) -> None:
        """Delete a row; raise `VersionConflict` if it does not have `version`, if one is given."""

    @abc.abstractmethod
    def close_connections(self) -> None:
        """Abort calls in progress and close every connection, since any of them may be dead."""
