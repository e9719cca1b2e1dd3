"""The memory of the process and the gauges of what is held in it for others."""

from __future__ import annotations

import os
from functools import partial
from typing import Final

from rhubarbbend.core.limits import HeldKind, MemoryLedger
from rhubarbbend.gateway._metrics import Metrics

PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
STATM: Final = "/proc/self/statm"
GAUGES: Final = {
    HeldKind.REQUEST: "memory_held_requests",
    HeldKind.ANSWER: "memory_held_answers",
    HeldKind.STREAM: "memory_held_streams",
    HeldKind.DETOUR: "memory_held_detours",
}


def read_resident_size() -> int:
    """Return the resident size of this process in bytes; 0 if it cannot be read."""
    try:
        with open(STATM, "rb", buffering=0) as file:
            return int(file.read(128).split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def register_memory_gauges(metrics: Metrics, ledger: MemoryLedger) -> None:
    """Register gauges of the bytes held for each purpose, the bound on them, and the process."""
    for kind, name in GAUGES.items():
        metrics.register_gauge(name, partial(ledger.count_held, kind))
    metrics.register_gauge("memory_held", lambda: ledger.held)
    metrics.register_gauge("memory_budget", lambda: ledger.budget)
    metrics.register_gauge("memory_resident", read_resident_size)
