"""Failures of requests to other systems, each with how far the request had got.

What matters to an instance is not only that a request failed but whether the other side may have
seen it; `SendStage` on each failure says so and the core turns it into a verdict.
"""

from __future__ import annotations

import enum
from typing import Final

# The reason of a failure by silence; any other sign of the far side has another reason.
REASON_TIMEOUT: Final = "timeout"
REASON_CLOSED: Final = "closed during the body"
REASON_NO_PROGRESS: Final = "no progress"


class SendStage(enum.Enum):
    """How far a request had got when it failed."""

    CONNECT = "connect"  # No byte was written: the other side cannot have seen the request.
    SENT = "sent"  # Bytes were written and no response head came back.
    RESPONSE = "response"  # The response began and did not end.


class HttpFailure(Exception):
    """A request that did not get a whole response. `stage` tells whether it may have run."""

    def __init__(self, stage: SendStage, reason: str) -> None:
        super().__init__(f"{stage.value}: {reason}")
        self.stage = stage
        self.reason = reason
