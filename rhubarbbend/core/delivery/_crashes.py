"""Tracks requests that crash the targets that run them.

A request can crash each target that starts to run it, and its caller may send it again to any
instance. Every other request on those targets is lost with them, so a request that was present at
several crashes is refused at every instance.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

# A crash affects every request that the target was running. Only a request that was present at
# this many crashes of different targets is taken to be the cause.
CRASH_LIMIT: Final = 2
# How long a request is refused after its last crash.
REFUSAL_S: Final = 600.0
# Digests kept. Each takes about 150 bytes, and a crash adds one for each request that the target
# was running.
MAX_DIGESTS: Final = 2_000


class CrashTracker:
    """Tracks crashes by request digest. Invariant: each target counts once for a digest."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record_crash(self, digest: str, target: str, now: float) -> bool:
        """Record that a target closed all its connections while it ran the request.

        Return whether this crash was not recorded before.
        """
        crashes = self._crashes.setdefault(digest, {})
        self._crashes.move_to_end(digest)
        is_new = target not in crashes
        crashes[target] = now
        if len(self._crashes) > MAX_DIGESTS:
            self._crashes.popitem(last=False)
        return is_new

    def clear(self, digest: str) -> None:
        """Remove the crashes of a request that ran to completion."""
        self._crashes.pop(digest, None)

    def is_refused(self, digest: str, now: float) -> bool:
        """Return whether a request is refused because it seems to crash targets."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return False
        return sum(now - at < REFUSAL_S for at in crashes.values()) >= CRASH_LIMIT
