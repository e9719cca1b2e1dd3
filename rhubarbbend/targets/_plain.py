"""Plain services: requests are forwarded with the idempotency key and the claim's fencing token."""

from __future__ import annotations

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.targets._base import (
    ATTEMPT_HEADER,
    TARGET_KINDS,
    TargetKind,
    TargetRequest,
    select_headers,
)

# The only headers of a caller that are sent to a plain service.
FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")
# The header with the fencing token, by which the service can reject outdated attempts.
FENCE_HEADER = "X-Fencing-Number"


@TARGET_KINDS.register("plain")
class PlainKind(TargetKind):
    """A plain HTTP service that is reached under a path prefix."""

    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Return a request that forwards method, path and body.

        The fencing token is the generation of the claim; it is omitted if the dispatch has none.
        """
        forwarded = select_headers(headers, FORWARDED_HEADERS)
        forwarded.append((ATTEMPT_HEADER, dispatch.attempt))
        if dispatch.fence:
            forwarded.append((FENCE_HEADER, str(dispatch.fence)))
        return TargetRequest(method, path, forwarded, body)
