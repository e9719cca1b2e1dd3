"""The gauges of what is held in the process for others."""

from __future__ import annotations

from functools import partial
from typing import Final

from rhubarbbend.core.limits import HeldKind, MemoryLedger
from rhubarbbend.gateway._metrics import Metrics
from rhubarbbend.resident_size import read_resident_size

GAUGES: Final = {
    HeldKind.REQUEST: "memory_held_requests",
    HeldKind.ANSWER: "memory_held_answers",
    HeldKind.STREAM: "memory_held_streams",
    HeldKind.DETOUR: "memory_held_detours",
}


def register_memory_gauges(metrics: Metrics, ledger: MemoryLedger) -> None:
    """Register gauges of the bytes held for each purpose, the bound on them, and the process."""
    for kind, name in GAUGES.items():
        metrics.register_gauge(name, partial(ledger.count_held, kind))
    metrics.register_gauge("memory_held", lambda: ledger.held)
    metrics.register_gauge("memory_budget", lambda: ledger.budget)
    metrics.register_gauge("memory_resident", read_resident_size)
