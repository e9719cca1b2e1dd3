"""Load and measurement tool.

It starts a fleet of real processes with stand-ins for the platform, the engines and the plain
services, sends it requests and checks every answer.
"""

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
