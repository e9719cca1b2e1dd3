"""Copies of store tables that can be updated from the store or from another instance.

Each row carries the version that wrote it, and each table the version up to which it is complete.
Versions only increase, so an older row never replaces a newer one, whatever order answers arrive
in, and a change once applied is never reverted.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

# Deleted rows remembered per table for peers that ask for changes; a peer that is further behind
# gets the whole table.
MAX_DELETED_ROWS: Final = 1_000


class MirroredRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as of `version`; `value` is None if the row has been deleted."""

    key: str
    value: bytes | None
    version: int


class TablePage(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table that bring a copy of it up to date with the version `position`.

    If `whole`, they are all rows of the table, so rows that are not among them were deleted.
    """

    rows: list[MirroredRow]
    position: int
    whole: bool


class RowChange(msgspec.Struct, frozen=True):
    """A change that a page made: the row's key and new value, None if the row was deleted.

    `version` is the store's version of the change.
    """

    key: str
    value: bytes | None
    version: int = 0


class Table:
    """A copy of one table.

    Invariant: it contains every change up to the version `position`, which is -1 until the first
    page has been merged.
    """

    __slots__ = ("position", "_rows", "_deleted", "_purged_version")

    def __init__(self) -> None:
        self.position = -1
        self._rows: dict[str, MirroredRow] = {}
        self._deleted: dict[str, MirroredRow] = {}
        # Deletions up to this version are no longer remembered individually.
        self._purged_version = 0

    @property
    def known(self) -> bool:
        """Whether the table has been read at least once."""
        return self.position >= 0

    def list_rows(self) -> list[MirroredRow]:
        """Return all rows."""
        return list(self._rows.values())

    def find_value(self, key: str) -> bytes | None:
        """Return the value of a row, None if there is no such row."""
        row = self._rows.get(key)
        return None if row is None else row.value

    def merge(self, page: TablePage) -> list[RowChange]:
        """Merge a page and return the changes it made; a page older than the table makes none."""
        if page.position < self.position:
            return []
        changes: list[RowChange] = []
        for row in page.rows:
            self._merge_row(row, changes)
        if page.whole:
            self._delete_missing({row.key for row in page.rows}, page.position, changes)
        self.position = page.position
        return changes

    def list_changes(self, after: int) -> TablePage:
        """Return a page that updates a copy complete up to `after` to this table's position."""
        if after < self._purged_version or after < 0:
            return TablePage(self.list_rows(), self.position, True)
        rows = [row for row in self._rows.values() if row.version > after]
        rows += [row for row in self._deleted.values() if row.version > after]
        return TablePage(rows, self.position, False)

    def _merge_row(self, row: MirroredRow, changes: list[RowChange]) -> None:
        current = self._rows.get(row.key) or self._deleted.get(row.key)
        if current is not None and current.version >= row.version:
            return
        if row.value is None:
            self._delete(row)
        else:
            self._deleted.pop(row.key, None)
            self._rows[row.key] = row
        changes.append(RowChange(row.key, row.value, row.version))

    def _delete_missing(self, keys: set[str], position: int, changes: list[RowChange]) -> None:
        for key in [key for key in self._rows if key not in keys]:
            self._delete(MirroredRow(key, None, position))
            changes.append(RowChange(key, None, position))

    def _delete(self, row: MirroredRow) -> None:
        self._rows.pop(row.key, None)
        self._deleted[row.key] = row
        while len(self._deleted) > MAX_DELETED_ROWS:
            oldest = next(iter(self._deleted))
            self._purged_version = max(self._purged_version, self._deleted.pop(oldest).version)


class Mirror:
    """Copies of all tables that an instance follows."""

    __slots__ = ("tables",)

    def __init__(self, names: Iterable[str]) -> None:
        self.tables = {name: Table() for name in names}

    def merge(self, pages: dict[str, TablePage]) -> dict[str, list[RowChange]]:
        """Merge pages by table name and return the changes by table name.

        Pages of tables that this instance does not follow are ignored.
        """
        return {
            name: self.tables[name].merge(page)
            for name, page in pages.items()
            if name in self.tables and page.position >= 0
        }

    def list_changes(self, positions: dict[str, int]) -> dict[str, TablePage]:
        """Return a page for each table that is ahead of the reader's position in `positions`."""
        return {
            name: table.list_changes(positions.get(name, -1))
            for name, table in self.tables.items()
            if table.known and table.position > positions.get(name, -1)
        }
