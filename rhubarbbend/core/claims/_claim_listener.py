"""The interface through which `ClaimCoordinator` reports the results of claims.

`RequestCoordinator` in `rhubarbbend.core.requests` implements it.
"""

from __future__ import annotations

from typing import Protocol

from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.requests._request import Request


class ClaimListener(Protocol):
    """Receives the result of each claim; `request_id` names the request that made it."""

    def handle_claim_won(self, request_id: str, generation: int, now: float) -> None:
        """Handle a claim that is held by the request's own attempt, which may now be dispatched."""
        ...

    def handle_claim_retry_needed(
        self, request_id: str, version: int, generation: int, now: float
    ) -> None:
        """Claim the key again, because the attempt that held it will never run.

        `version` is the row version that the next write has to expect (0: no row), and
        `generation` the number of the new claim under the key.
        """
        ...

    def handle_claim_pending(self, request_id: str, now: float) -> None:
        """Handle a key held by another attempt, whose outcome will answer this request too."""
        ...

    def handle_claim_replayed(self, request_id: str, outcome: Outcome, now: float) -> None:
        """Answer with the stored outcome of the command that has already run under the key."""
        ...

    def handle_claim_refused(
        self, request_id: str, code: ErrorCode, verdict: Verdict, now: float
    ) -> None:
        """Refuse the request; `verdict` says whether the command may have run under the key."""
        ...

    def find_request(self, request_id: str) -> Request | None:
        """Return a request that has no final answer yet, None if there is none of this id."""
        ...
