"""Model engines: chat completions in the format of OpenAI, which can be resumed and cancelled."""

from __future__ import annotations

from urllib.parse import quote

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.targets._base import (
    ATTEMPT_HEADER,
    TARGET_KINDS,
    TargetKind,
    TargetRequest,
    select_headers,
)

# The only headers of a caller that are sent to an engine.
FORWARDED_HEADERS = ("content-type", "accept", "x-priority")


@TARGET_KINDS.register("engine")
class EngineKind(TargetKind):
    """A model engine, whose responses can be resumed by attempt id and byte offset."""

    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Return a request that forwards the body, with the attempt's id as a header."""
        forwarded = select_headers(headers, FORWARDED_HEADERS)
        forwarded.append((ATTEMPT_HEADER, dispatch.attempt))
        return TargetRequest(method, path, forwarded, body)

    def resume_path(self, attempt: str, offset: int) -> str:
        """Return the path that resumes the attempt's response at a byte offset."""
        return f"/v1/requests/{quote(attempt)}/stream?offset={offset}"

    def cancel_path(self, attempt: str) -> str:
        """Return the path whose DELETE cancels the attempt."""
        return f"/v1/requests/{quote(attempt)}"
