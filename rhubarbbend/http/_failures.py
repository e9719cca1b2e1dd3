"""Failures of HTTP requests to other systems, and the stage at which each request failed.

An instance needs to know whether the peer may have received a failed request. `SendStage` says so,
and the core derives from it the verdict that the caller gets.
"""

from __future__ import annotations

import enum
from typing import Final

# The reason if the peer did not respond in time. Failures in which the peer showed any other sign,
# such as a reset, have another reason.
REASON_TIMEOUT: Final = "timeout"
# What opening a connection raises; the last two are for addresses that cannot be used, as with a
# port out of range or a host with a NUL byte.
CONNECT_ERRORS: Final = (OSError, OverflowError, ValueError)
REASON_CLOSED: Final = "closed during the body"
REASON_NO_PROGRESS: Final = "no progress"


class BodyEnd(enum.Enum):
    """How the connection ended with which a body without a length and chunks ended."""

    CLOSED = "closed"  # In order: the peer has sent all that it had to send.
    RESET = "reset"  # By an error, at any point of the body.


class SendStage(enum.Enum):
    """The stage that a request had reached when it failed."""

    CONNECT = "connect"  # No byte was written: the peer cannot have received the request.
    SENT = "sent"  # Bytes were written but no response head was received.
    RESPONSE = "response"  # The response head was received but the body is incomplete.


class HttpFailure(Exception):
    """A request without a complete response; `stage` tells whether the peer may have run it."""

    def __init__(self, stage: SendStage, reason: str) -> None:
        super().__init__(f"{stage.value}: {reason}")
        self.stage = stage
        self.reason = reason


class EndlessAnswer(HttpFailure):
    """The peer sent more, or for longer, than any answer needs; it may never have ended."""
