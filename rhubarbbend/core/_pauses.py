"""Tracks which targets have asked this instance to send them no requests for a time.

A target that has too much work asks each instance for a pause in its own answer to it. When a pause
ends, requests return gradually: the target is tried with one request, and each request that it
accepts allows one more at the same time.
"""

from __future__ import annotations

from random import Random
from typing import Final

# A pause is prolonged by a random part of up to this fraction of it. Instances that were asked at
# the same time would otherwise all return at the same time.
MAX_EXTENSION_FRACTION: Final = 0.2
# A caller that is refused because of pauses is told to return after the time until the first one
# ends, times a random factor of up to this, so that refused callers do not all return together.
MAX_PAUSE_RETURN_FACTOR: Final = 1.25
# A target that has accepted this many requests since its pause needs no more protection.
RECOVERED_AFTER_REQUESTS: Final = 16
# A target has recovered this long after its pause in any case, also one to which little is sent.
RECORD_TTL_S: Final = 60.0


class _Pause:
    """A target's latest pause and the requests sent since. Invariant: `unanswered` holds ids."""

    __slots__ = ("ends_at", "accepted", "unanswered")

    def __init__(self, ends_at: float) -> None:
        self.ends_at = ends_at
        self.accepted = 0
        # The requests that were sent after the pause and are not answered yet.
        self.unanswered: set[str] = set()


class PauseTracker:
    """The pauses that targets have asked this instance for; each instance has its own.

    They outlast a target's registration: it may expire and come back within a pause.

    Invariant: within a pause no request may be sent; after it, at most one more request is
    unanswered at a time than the target has accepted since.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def record_pause(self, target: str, duration_s: float, random: Random, now: float) -> None:
        """Record that a target wants no requests for `duration_s` seconds from `now`.

        Of two pauses, the one that ends later counts.
        """
        self._pauses = {
            name: pause
            for name, pause in self._pauses.items()
            if now - pause.ends_at < RECORD_TTL_S
        }
        known = self._pauses.get(target)
        if known is not None and now + duration_s <= known.ends_at:
            return
        extension = random.uniform(0.0, MAX_EXTENSION_FRACTION) * duration_s
        self._pauses[target] = _Pause(now + duration_s + extension)

    def compute_remaining(self, target: str, now: float) -> float:
        """Return the seconds until a target's pause ends; 0 if it has none."""
        pause = self._pauses.get(target)
        return 0.0 if pause is None else max(0.0, pause.ends_at - now)

    def may_send(self, target: str, now: float) -> bool:
        """Return whether one more request may be sent to a target now."""
        pause = self._pauses.get(target)
        if pause is None or now - pause.ends_at >= RECORD_TTL_S:
            return True
        return now >= pause.ends_at and len(pause.unanswered) <= pause.accepted

    def record_chosen(self, target: str, request: str) -> None:
        """Record that a request is about to be sent to a target."""
        pause = self._pauses.get(target)
        if pause is not None:
            pause.unanswered.add(request)

    def record_end(self, target: str, request: str, was_accepted: bool) -> None:
        """Record that a request was answered or has ended; later calls for it have no effect."""
        pause = self._pauses.get(target)
        if pause is None or request not in pause.unanswered:
            return
        pause.unanswered.discard(request)
        pause.accepted += was_accepted
        if pause.accepted >= RECOVERED_AFTER_REQUESTS:
            del self._pauses[target]
