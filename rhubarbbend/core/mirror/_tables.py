"""Copies of store tables that can be brought up to date from the store or from another instance.

Each row carries the version that wrote it, and a table the version up to which it is complete.
Versions only grow, so whatever order answers come in, an older row never replaces a newer one
and what was in force once never reverts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

# Dropped rows are remembered up to this number a table, for peers that ask for what has changed;
# a peer that is further behind gets the whole table.
MAX_DROPPED: Final = 1_000


class MirroredRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as of `version`; `value` is None once it has been dropped."""

    key: str
    value: bytes | None
    version: int


class TablePage(msgspec.Struct, frozen=True, array_like=True):
    """Rows of a table that bring a reader to `position`.

    `whole` says that they are all rows there are, so that what is not among them was dropped.
    """

    rows: list[MirroredRow]
    position: int
    whole: bool


class Change(msgspec.Struct, frozen=True):
    """What a page changed: the row's key and its new value, None if it was dropped."""

    key: str
    value: bytes | None


class Table:
    """One table. Invariant: holds every change up to `position`; -1: nothing is known yet."""

    __slots__ = ("position", "_rows", "_dropped", "_forgotten")

    def __init__(self) -> None:
        self.position = -1
        self._rows: dict[str, MirroredRow] = {}
        self._dropped: dict[str, MirroredRow] = {}
        # Drops up to this version are not remembered one by one any more.
        self._forgotten = 0

    @property
    def known(self) -> bool:
        """Whether the table has been read once."""
        return self.position >= 0

    def list_rows(self) -> list[MirroredRow]:
        """List the rows there are."""
        return list(self._rows.values())

    def find_value(self, key: str) -> bytes | None:
        """Find a row's value."""
        row = self._rows.get(key)
        return None if row is None else row.value

    def merge(self, page: TablePage) -> list[Change]:
        """Take a page in and tell what it changed; nothing if it is older than what is known."""
        if page.position < self.position:
            return []
        changes: list[Change] = []
        for row in page.rows:
            self._merge_row(row, changes)
        if page.whole:
            self._drop_others({row.key for row in page.rows}, page.position, changes)
        self.position = page.position
        return changes

    def list_changes(self, after: int) -> TablePage:
        """Give what brings a reader that is complete up to `after` to this table's position."""
        if after < self._forgotten or after < 0:
            return TablePage(self.list_rows(), self.position, True)
        rows = [row for row in self._rows.values() if row.version > after]
        rows += [row for row in self._dropped.values() if row.version > after]
        return TablePage(rows, self.position, False)

    def _merge_row(self, row: MirroredRow, changes: list[Change]) -> None:
        known = self._rows.get(row.key) or self._dropped.get(row.key)
        if known is not None and known.version >= row.version:
            return
        if row.value is None:
            self._drop(row)
        else:
            self._dropped.pop(row.key, None)
            self._rows[row.key] = row
        changes.append(Change(row.key, row.value))

    def _drop_others(self, keys: set[str], position: int, changes: list[Change]) -> None:
        for key in [key for key in self._rows if key not in keys]:
            self._drop(MirroredRow(key, None, position))
            changes.append(Change(key, None))

    def _drop(self, row: MirroredRow) -> None:
        self._rows.pop(row.key, None)
        self._dropped[row.key] = row
        while len(self._dropped) > MAX_DROPPED:
            oldest = next(iter(self._dropped))
            self._forgotten = max(self._forgotten, self._dropped.pop(oldest).version)


class Mirror:
    """All tables that an instance follows."""

    __slots__ = ("tables",)

    def __init__(self, names: Iterable[str]) -> None:
        self.tables = {name: Table() for name in names}

    def merge(self, pages: dict[str, TablePage]) -> dict[str, list[Change]]:
        """Take pages of several tables in; tables that this instance does not follow are left."""
        return {
            name: self.tables[name].merge(page)
            for name, page in pages.items()
            if name in self.tables and page.position >= 0
        }

    def list_changes(self, positions: dict[str, int]) -> dict[str, TablePage]:
        """Give what each table has beyond a reader's positions."""
        return {
            name: table.list_changes(positions.get(name, -1))
            for name, table in self.tables.items()
            if table.known and table.position > positions.get(name, -1)
        }
