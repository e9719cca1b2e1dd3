"""The mirror: what this instance knows of the store's tables, from the store or from peers."""

from rhubarbbend.core.mirror._tables import Change, Mirror, MirroredRow, Table, TablePage

__all__ = ["Change", "Mirror", "MirroredRow", "Table", "TablePage"]
