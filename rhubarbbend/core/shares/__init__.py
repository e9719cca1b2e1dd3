"""Shares: each instance's part of bounds that hold over all instances together.

Nothing is granted by one instance to another: a part is worked out from the number of instances,
so that a bound holds with any of them dead, frozen, cut off or wrong about who is there.
"""

from rhubarbbend.core.shares._cold import ColdAllowance
from rhubarbbend.core.shares._retries import RetryShare

__all__ = ["ColdAllowance", "RetryShare"]
