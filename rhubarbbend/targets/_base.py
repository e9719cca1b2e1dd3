"""The interface of target kinds, and the registry of all kinds."""

from __future__ import annotations

import abc
from typing import Final

import attrs
import msgspec

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.decoding import decode_json
from rhubarbbend.kernel import Registry

# The header with the attempt's id, which the target has to return in its response.
ATTEMPT_HEADER: Final = "X-Request-Id"


class LoadReport(msgspec.Struct):
    """A load report of a target.

    `running` is the number of requests in progress, `slots` the number that the target can run at
    once (0 if not stated), `age` the age of the report in seconds.
    """

    boot_id: str
    state: str = "ready"
    running: int = 0
    slots: int = 0
    age: float = 0.0
    models: list[str] = []


@attrs.define(slots=True, frozen=True)
class TargetRequest:
    """A request as it is sent to a target."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class TargetKind(abc.ABC):
    """Builds the requests to one kind of target and decodes its load reports.

    Hooks: `build_request` builds the request for a dispatch; `resume_path` and `cancel_path` return
    the paths that resume or cancel an attempt, or an empty string if the kind does not support it.
    Load reports are read from `report_path` and decoded by `read_report`.
    """

    report_path: str = "/v1/load"

    @abc.abstractmethod
    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Return the request to send to a target for a caller's request."""

    def resume_path(self, attempt: str, offset: int) -> str:
        """Return the path that resumes an attempt's body at a byte offset; empty if unsupported."""
        return ""

    def cancel_path(self, attempt: str) -> str:
        """Return the path whose DELETE cancels an attempt; empty if unsupported."""
        return ""

    def read_report(self, data: bytes) -> LoadReport:
        """Decode and return a load report; raise `msgspec.MsgspecError` if it is invalid."""
        return decode_json(data, type=LoadReport)


TARGET_KINDS: Final[Registry[TargetKind]] = Registry("target kind")


def select_headers(headers: dict[str, str], names: tuple[str, ...]) -> list[tuple[str, str]]:
    """Return those of the caller's headers whose names are listed, in the order of the list."""
    return [(name, headers[name]) for name in names if name in headers]
