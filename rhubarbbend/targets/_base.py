"""The interface of target kinds."""

from __future__ import annotations

import abc
from typing import Final

import attrs
import msgspec

from rhubarbbend.core.actions import Dispatch
from rhubarbbend.kernel import Registry

# The id that a target's answer has to carry back.
ATTEMPT_HEADER: Final = "X-Request-Id"


class LoadReport(msgspec.Struct):
    """A target's report: `running` requests, `slots` it has (0: not said), `age` in seconds."""

    boot_id: str
    state: str = "ready"
    running: int = 0
    slots: int = 0
    age: float = 0.0
    models: list[str] = []


@attrs.define(slots=True, frozen=True)
class TargetRequest:
    """A request as it goes to a target."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes


class TargetKind(abc.ABC):
    """Builds requests for a kind of target and reads its answers.

    Hooks: `build_request` makes the request of a dispatch; `resume_path` and `cancel_path` give
    the paths that continue or cancel an attempt, empty where the kind cannot; `report_path` is
    read for load reports, which `read_report` decodes.
    """

    report_path: str = "/v1/load"

    @abc.abstractmethod
    def build_request(
        self, method: str, path: str, headers: dict[str, str], body: bytes, dispatch: Dispatch
    ) -> TargetRequest:
        """Build the request to send to a target."""

    def resume_path(self, attempt: str, offset: int) -> str:
        """Give the path that continues an attempt's body at a byte offset."""
        return ""

    def cancel_path(self, attempt: str) -> str:
        """Give the path whose DELETE cancels an attempt."""
        return ""

    def read_report(self, data: bytes) -> LoadReport:
        """Decode a load report; raises msgspec.MsgspecError."""
        return msgspec.json.decode(data, type=LoadReport)


TARGET_KINDS: Final[Registry[TargetKind]] = Registry("target kind")


def keep_headers(headers: dict[str, str], names: tuple[str, ...]) -> list[tuple[str, str]]:
    """Pick the caller's headers that a target may see."""
    return [(name, headers[name]) for name in names if name in headers]
