"""The measuring tool: runs a fleet of real processes with stand-ins, and callers that check it."""

from loadtool._caller import Answer, Caller, Chat
from loadtool._cluster import Cluster, Node, Zone
from loadtool._processes import ManagedProcess, ProcessGroup

__all__ = [
    "Answer",
    "Caller",
    "Chat",
    "Cluster",
    "ManagedProcess",
    "Node",
    "ProcessGroup",
    "Zone",
]
