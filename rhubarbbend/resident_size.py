"""The memory of this process and of the machine, as the kernel counts it."""

from __future__ import annotations

import os
from typing import Final

PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
STATM: Final = "/proc/self/statm"


def read_resident_size() -> int:
    """Return the resident size of this process in bytes; 0 if it cannot be read."""
    try:
        with open(STATM, "rb", buffering=0) as file:
            return int(file.read(128).split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def read_machine_size() -> int:
    """Return the memory of the machine in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES
