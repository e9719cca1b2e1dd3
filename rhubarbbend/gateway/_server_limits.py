"""Derives the limits of an instance's HTTP servers from its configuration and settings."""

from __future__ import annotations

from typing import Final

from rhubarbbend.core.catalog import TrafficLimits
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.http import ServerLimits, compute_max_connections

# File descriptors that callers cannot use: connections to targets, the store and other instances,
# and files.
RESERVED_DESCRIPTORS: Final = 700
# Fraction of the process's memory limit that buffered request bodies may use together. The rest is
# for the program (17 MB), responses in transit and the kernel's buffers for connections.
BUFFERED_BODY_FRACTION: Final = 0.25
# What the headers of a detour take beyond the caller's own.
DETOUR_HEADER_BYTES: Final = 4_096
MIN_CONNECTIONS: Final = 64


def make_caller_limits(limits: TrafficLimits, settings: GatewaySettings) -> ServerLimits:
    """Return the limits of the server for callers."""
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_buffered_body_bytes=int(settings.memory * BUFFERED_BODY_FRACTION),
        head_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
        max_connections=_count_caller_connections(settings),
    )


def _count_caller_connections(settings: GatewaySettings) -> int:
    """Return how many connections callers may have, by descriptors and by memory."""
    by_descriptors = settings.max_descriptors - RESERVED_DESCRIPTORS
    return max(MIN_CONNECTIONS, min(by_descriptors, compute_max_connections(settings.memory)))


def make_peer_limits(limits: TrafficLimits, settings: GatewaySettings) -> ServerLimits:
    """Return the limits of the server for other instances.

    Requests of callers that come through another instance have its headers too.
    """
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes + DETOUR_HEADER_BYTES,
        max_body_bytes=max(ServerLimits().max_body_bytes, limits.max_body_bytes),
        max_buffered_body_bytes=int(settings.memory * BUFFERED_BODY_FRACTION),
    )
