"""The platform's services as an instance uses them: tables, objects and the list of instances.

The names of the client registry load on first use, since an instance that follows a `RowStore`
needs neither that client nor the messages of the core behind it.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any, Final

from rhubarbbend.storage._rows import HistoryGone, RowChanged, RowStore, StoreError

if TYPE_CHECKING:
    from rhubarbbend.storage._base import PLATFORMS, PlatformClient, PlatformError

__all__ = [
    "HistoryGone",
    "PLATFORMS",
    "PlatformClient",
    "PlatformError",
    "RowChanged",
    "RowStore",
    "StoreError",
]

_LAZY: Final = ("PLATFORMS", "PlatformClient", "PlatformError")


def __getattr__(name: str) -> Any:
    if name not in _LAZY:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    # Registers the HTTP client, which the registry would otherwise not know.
    importlib.import_module("rhubarbbend.storage._http")
    return getattr(importlib.import_module("rhubarbbend.storage._base"), name)
