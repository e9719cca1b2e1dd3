"""Detours: requests that reach a target through another instance, the helper.

An instance may lose its links to targets while callers and the other instances still reach it. What
it cannot send itself, it hands to an instance that can. A detour has one hop: a helper sends the
request to a target or declines it. With the product's own interface, where the entry instance holds
slots and claims, the helper opens a tunnel to the target instead.
"""

from rhubarbbend.core.detours._decision import has_lost_links, needs_detour
from rhubarbbend.core.detours._helpers import HelperCounts, HelperSelector
from rhubarbbend.core.detours._paths import PathTracker
from rhubarbbend.core.detours._reach import ReachNotice, ReachTable

__all__ = [
    "HelperCounts",
    "HelperSelector",
    "PathTracker",
    "ReachNotice",
    "ReachTable",
    "has_lost_links",
    "needs_detour",
]
