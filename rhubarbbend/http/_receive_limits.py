"""Limits on what a peer sends that is no answer: bytes without end, all at once or a few at a time.

A limit on size ends what comes fast. What comes slowly stays below it for hours, and each byte
looks like progress to a time-out that asks only when the last one came; `TrickleDetector` ends it.
"""

from __future__ import annotations

import math
from typing import Final

import h11

from rhubarbbend.http._failures import EndlessAnswer, HttpFailure, SendStage

# Responses with a status below 200 that may come before the response to one request.
MAX_INFORMATIONAL_RESPONSES: Final = 32
# The most that is read of a body that is discarded, so that its connection can be reused.
MAX_DISCARDED_BYTES: Final = 262_144
# The most time for that. A sound path may be silent for a second or two.
MAX_DISCARD_S: Final = 2.5
# The largest response to a request that an instance makes itself, such as a read of the store.
MAX_FETCHED_BYTES: Final = 16_777_216

# How long something that is sent in one write may arrive in small parts.
MAX_TRICKLE_S: Final = 1.0
# The most that one gap between two parts adds to that time: a pause is no trickle.
MAX_COUNTED_GAP_S: Final = 0.5
# Larger parts are no trickle; most are whole packets of a slow path.
SMALL_PART_BYTES: Final = 64
# The same for the parts of a body: some sources write it word by word.
SMALL_BODY_PART_BYTES: Final = 4

_STATUS_LINE_START: Final = b"HTTP/"
# With this status hint, h11 reports more bytes without an event than its limit allows.
_TOO_LONG_HINT: Final = 431


class TrickleDetector:
    """Adds up the time for which one item arrives in small parts, since its last larger one."""

    __slots__ = ("_received_at", "_small_bytes", "_trickled_s")

    def __init__(self, small_bytes: int = SMALL_PART_BYTES) -> None:
        self._small_bytes = small_bytes
        self._received_at = -math.inf
        self._trickled_s = 0.0

    def record(self, now: float, size: int, continues: bool) -> bool:
        """Record a received part; return whether its item has taken too long.

        `continues` is whether the part continues an item instead of beginning one.
        """
        gap = min(now - self._received_at, MAX_COUNTED_GAP_S)
        self._received_at = now
        if size >= self._small_bytes:
            self._trickled_s = 0.0
        elif continues:
            self._trickled_s += gap
        return self._trickled_s > MAX_TRICKLE_S

    def reset(self) -> None:
        """Begin with another item."""
        self._trickled_s = 0.0


class HeadMonitor:
    """Checks what arrives before the response to one request."""

    __slots__ = ("_informational_count", "_trickle")

    def __init__(self) -> None:
        self._informational_count = 0
        self._trickle = TrickleDetector()

    def check_incomplete(self, data: bytes) -> None:
        """Raise `HttpFailure` if an incomplete head cannot become a response."""
        if not _STATUS_LINE_START.startswith(data[: len(_STATUS_LINE_START)]):
            raise HttpFailure(SendStage.SENT, "no status line")

    def record_received(self, now: float, size: int, continues: bool) -> None:
        """Record received bytes; raise `EndlessAnswer` if a head arrives too slowly."""
        if self._trickle.record(now, size, continues):
            raise EndlessAnswer(SendStage.SENT, "a head that arrives byte by byte")

    def record_informational(self) -> None:
        """Record an informational response; raise `EndlessAnswer` if there are too many."""
        self._informational_count += 1
        if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
            raise EndlessAnswer(SendStage.SENT, "too many informational responses")


class FramingMonitor:
    """Checks what arrives between the parts of a body: chunk sizes, extensions and trailers."""

    __slots__ = ("_continues", "_trickle")

    def __init__(self) -> None:
        self._continues = False
        self._trickle = TrickleDetector()

    def record_received(self, now: float, size: int) -> None:
        """Record received bytes; raise `EndlessAnswer` if none was data for too long."""
        if self._trickle.record(now, size, self._continues):
            raise EndlessAnswer(SendStage.RESPONSE, "chunk framing that arrives byte by byte")
        self._continues = True

    def record_data(self) -> None:
        """Record that a part of the body is complete."""
        self._continues = False
        self._trickle.reset()


def make_failure(stage: SendStage, error: Exception) -> HttpFailure:
    """Return the failure that an error of a connection or of its parser stands for."""
    if isinstance(error, h11.RemoteProtocolError) and error.error_status_hint == _TOO_LONG_HINT:
        return EndlessAnswer(stage, str(error))
    return HttpFailure(stage, str(error))
