"""Model engines: OpenAI-form chat completions that can be resumed and cancelled."""

from __future__ import annotations

from urllib.parse import quote

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.targets._base import (
    ATTEMPT_HEADER,
    TARGET_KINDS,
    TargetKind,
    TargetRequest,
    keep_headers,
)

PASSED_HEADERS = ("content-type", "accept", "x-priority")


@TARGET_KINDS.register("engine")
class EngineKind(TargetKind):
    """A model engine. Its answers can be continued by attempt id and byte offset."""

    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Pass the body on under the attempt's id."""
        passed = keep_headers(headers, PASSED_HEADERS)
        passed.append((ATTEMPT_HEADER, dispatch.attempt))
        return TargetRequest(method, path, passed, body)

    def resume_path(self, attempt: str, offset: int) -> str:
        """Continue the attempt's answer."""
        return f"/v1/requests/{quote(attempt)}/stream?offset={offset}"

    def cancel_path(self, attempt: str) -> str:
        """Cancel the attempt."""
        return f"/v1/requests/{quote(attempt)}"
