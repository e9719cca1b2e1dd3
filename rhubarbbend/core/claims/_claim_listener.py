"""What the claim duty tells the entry duty."""

from __future__ import annotations

from typing import Protocol

from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.requests._requests import Request


class ClaimListener(Protocol):
    """Told what became of a claim."""

    def claim_won(self, request: str, generation: int, now: float) -> None:
        """The request's own attempt is in the table: it may be dispatched."""
        ...

    def claim_retake(self, request: str, version: int, generation: int, now: float) -> None:
        """The key was refused before; claim it with this version and generation."""
        ...

    def claim_waits(self, request: str, now: float) -> None:
        """Another attempt under the key is running; its outcome will be the request's."""
        ...

    def claim_replayed(self, request: str, outcome: Outcome, now: float) -> None:
        """The key has run; this is its answer."""
        ...

    def claim_refused(self, request: str, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """The request gets no run; `verdict` speaks of the key."""
        ...

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        ...
