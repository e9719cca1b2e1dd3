"""Limits of client accounts, and of the memory that an instance holds for others.

Limits of accounts are plug-ins that decide whether an account may open another request. Each
instance keeps its own counts, so a limit holds per instance and not for the fleet: an account that
uses n instances may have n times as many requests. The limit on a target's load does not depend on
these limits; they prevent one account from filling an instance's memory and queues.
"""

from rhubarbbend.core.limits import _in_flight
from rhubarbbend.core.limits._base import LIMITS, AccountLimit
from rhubarbbend.core.limits._memory import HeldKind, Holding, MemoryLedger

__all__ = ["LIMITS", "AccountLimit", "HeldKind", "Holding", "MemoryLedger"]

# Importing the module registers the plug-in.
_ = _in_flight
