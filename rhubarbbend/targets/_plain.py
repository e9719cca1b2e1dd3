"""Plain services: requests passed through, with the idempotency key and the claim's fence."""

from __future__ import annotations

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.targets._base import (
    ATTEMPT_HEADER,
    TARGET_KINDS,
    TargetKind,
    TargetRequest,
    keep_headers,
)

PASSED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
FENCE_HEADER = "X-Fencing-Number"


@TARGET_KINDS.register("plain")
class PlainKind(TargetKind):
    """A plain service behind a path prefix."""

    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Pass method, path and body on; the fence is the claim's generation."""
        passed = keep_headers(headers, PASSED_HEADERS)
        passed.append((ATTEMPT_HEADER, dispatch.attempt))
        if dispatch.fence:
            passed.append((FENCE_HEADER, str(dispatch.fence)))
        return TargetRequest(method, path, passed, body)
