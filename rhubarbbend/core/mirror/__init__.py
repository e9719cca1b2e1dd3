"""The mirror: this instance's copy of the store's tables, read from the store or from peers."""

from rhubarbbend.core.mirror._tables import Mirror, MirroredRow, RowChange, Table, TablePage

__all__ = ["RowChange", "Mirror", "MirroredRow", "Table", "TablePage"]
