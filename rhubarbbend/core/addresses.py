"""Addresses that come from outside: whether a connection to them can be tried."""

from __future__ import annotations

import re
from typing import Final

MAX_PORT: Final = 65_535
MAX_HOST_CHARS: Final = 253
# Letters and digits of names and addresses of IPv4 and IPv6; no empty part between dots.
HOST_PATTERN: Final = re.compile(r"[A-Za-z0-9_:-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")


def check_address(host: str, port: int) -> None:
    """Raise ValueError if no connection to a host and port can be tried."""
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port is not from 1 to {MAX_PORT}: {port}")
    if len(host) > MAX_HOST_CHARS or HOST_PATTERN.fullmatch(host) is None:
        raise ValueError(f"host is not a name or an address: {host[:MAX_HOST_CHARS]!r}")
