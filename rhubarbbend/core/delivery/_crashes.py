"""Requests that crash the targets that run them.

A request can bring down each target that begins to run it, and its caller sends it again, at any
instance. Every other request on those targets is lost with them, so it is refused once it has been
seen at enough crashes, wherever it comes in.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

# A target that crashes takes all that it runs with it; only a request that was there at this many
# crashes of different targets is held to be the cause.
CRASH_LIMIT: Final = 2
# For how many seconds a request is refused after its last crash.
HOLD: Final = 600.0
# Digests kept; one is about 150 bytes, and a crash leaves as many as the target ran requests.
MAX_DIGESTS: Final = 2_000


class CrashBook:
    """Crashes by request digest. Invariant: one crash of one target counts once."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note_crash(self, digest: str, target: str, now: float) -> bool:
        """Count that a target broke off all its connections while it ran the request.

        Tells whether that was news.
        """
        crashes = self._crashes.setdefault(digest, {})
        self._crashes.move_to_end(digest)
        news = target not in crashes
        crashes[target] = now
        if len(self._crashes) > MAX_DIGESTS:
            self._crashes.popitem(last=False)
        return news

    def clear(self, digest: str) -> None:
        """Forget a request that has run to its end."""
        self._crashes.pop(digest, None)

    def is_refused(self, digest: str, now: float) -> bool:
        """Whether a request is held to crash targets."""
        crashes = self._crashes.get(digest)
        if crashes is None:
            return False
        return sum(now - at < HOLD for at in crashes.values()) >= CRASH_LIMIT
