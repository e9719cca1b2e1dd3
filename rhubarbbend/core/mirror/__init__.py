"""The mirror: this instance's copy of the store's tables, read from the store or from peers."""

from rhubarbbend.core.mirror._tables import Change, Mirror, MirroredRow, Table, TablePage

__all__ = ["Change", "Mirror", "MirroredRow", "Table", "TablePage"]
