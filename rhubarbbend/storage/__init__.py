"""Clients of the platform's services: tables, objects and the list of instances.

The names of the client registry are imported on first use, because an instance that uses a
`RowStore` needs neither the platform clients nor the core modules that they import.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any, Final

from rhubarbbend.storage._rows import (
    HistoryCompacted,
    RowPut,
    RowStore,
    RowVersion,
    StoredRow,
    StoreError,
    VersionConflict,
)

if TYPE_CHECKING:
    from rhubarbbend.storage._base import PLATFORMS, PlatformClient, PlatformError

__all__ = [
    "HistoryCompacted",
    "PLATFORMS",
    "PlatformClient",
    "PlatformError",
    "RowPut",
    "RowStore",
    "RowVersion",
    "StoreError",
    "StoredRow",
    "VersionConflict",
]

_LAZY_NAMES: Final = ("PLATFORMS", "PlatformClient", "PlatformError")


def __getattr__(name: str) -> Any:
    if name not in _LAZY_NAMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    # Importing the HTTP client registers it; without this, the registry would be empty.
    importlib.import_module("rhubarbbend.storage._http")
    return getattr(importlib.import_module("rhubarbbend.storage._base"), name)
