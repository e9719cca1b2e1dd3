"""Shares: the part that each instance may use of a limit that holds over the whole fleet.

No instance grants a share to another. Each computes its own from the number of instances, so a
limit holds even if some instances are dead, frozen, partitioned or have an outdated member list.
"""

from rhubarbbend.core.shares._cold import ColdTargetShare
from rhubarbbend.core.shares._retries import RetryBudgetShare

__all__ = ["ColdTargetShare", "RetryBudgetShare"]
