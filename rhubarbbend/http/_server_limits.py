"""Limits on the resources of an HTTP server that its clients may use."""

from __future__ import annotations

from typing import Final

import msgspec

# Fraction of a process's memory that connections of clients may use together, and what each of them
# may take while nothing of a request is counted yet: its objects, and what is received at once.
CONNECTION_FRACTION: Final = 0.3
CONNECTION_BYTES: Final = 24_576


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits on the resources that clients may use; sizes in bytes, times in seconds."""

    max_header_bytes: int = 32_768
    max_body_bytes: int = 4 * 1024 * 1024
    # Total over all connections: many bodies, each within its own limit, could exhaust the memory.
    max_buffered_body_bytes: int = 256 * 1024 * 1024
    head_timeout: float = 10.0
    body_timeout: float = 30.0
    idle_timeout: float = 75.0
    max_connections: int = 4_096


def compute_max_connections(memory: int) -> int:
    """Return how many connections clients may have in a process that may take `memory` bytes."""
    return int(memory * CONNECTION_FRACTION) // CONNECTION_BYTES
