"""Limits on the resources of an HTTP server that its clients may use."""

from __future__ import annotations

import msgspec


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
