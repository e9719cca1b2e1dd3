"""Limits of client accounts, and of the memory that an instance holds for others.

Limits of accounts are plug-ins that decide whether an account may open another request. Each
instance keeps its own counts, so a limit holds per instance and not for the fleet: an account that
uses n instances may have n times as many requests. The limit on a target's load does not depend on
these limits; they prevent one account from filling an instance's memory and queues.

They are imported on first use, since some instances use only the ledger of memory.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

from rhubarbbend.core.limits._memory import HeldKind, Holding, MemoryLedger

if TYPE_CHECKING:
    from rhubarbbend.core.limits._base import LIMITS, AccountLimit

__all__ = ["LIMITS", "AccountLimit", "HeldKind", "Holding", "MemoryLedger"]


def __getattr__(name: str) -> Any:
    if name not in ("LIMITS", "AccountLimit"):
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    # Importing the module registers the plug-in.
    importlib.import_module("rhubarbbend.core.limits._in_flight")
    return getattr(importlib.import_module("rhubarbbend.core.limits._base"), name)
