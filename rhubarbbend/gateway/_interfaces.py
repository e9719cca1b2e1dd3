"""What an adapter of a platform implements, and the typed objects that it gives and takes.

An adapter only translates. It names no policy and keeps no state of requests; everything that it
cannot translate is told to its caller as an error with a reason.
"""

from __future__ import annotations

import abc
from collections.abc import Sequence

import msgspec

from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.catalog import Catalog
from rhubarbbend.core.directory import TargetRecord
from rhubarbbend.core.mirror import RowChange
from rhubarbbend.core.placement import Prompt
from rhubarbbend.http import Exchange, Response
from rhubarbbend.storage import RowStore

RawHeaders = list[tuple[bytes, bytes]]


class BadRequest(Exception):
    """A caller's request that cannot be understood."""

    def __init__(self, code: ErrorCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class CallerRequest(msgspec.Struct):
    """A caller's request.

    `id` names this one try of the caller. `target` is the path with its query, `path` without.
    `time_limit` is how long the caller waits, in seconds from the moment it was read; None: not
    said. `resume_after` is the id of the last event of a stream that the caller already has.
    """

    id: str
    method: bytes
    target: bytes
    path: str
    host: str
    key: str
    headers: RawHeaders
    body: bytes
    time_limit: float | None = None
    prompt: Prompt | None = None
    resume_after: str = ""


class TargetOrder(msgspec.Struct, frozen=True):
    """What a target is told beside the caller's request.

    `time_left` is in seconds, `priority` 0 the most urgent. `account` is empty on public routes.
    `source` is the address of a target that may hold parts of the prompt.
    """

    target: str
    time_left: float
    account: str
    priority: int
    resume_after: str = ""
    source: tuple[str, int] | None = None


class TargetAnswer(msgspec.Struct, frozen=True):
    """The head of a target's answer.

    `request` is the id that it carries, `genuine` whether it bears the target's mark and nothing
    has changed its body. `not_run` says that the target did not run the request, `misdirected`
    that another target answered. `held` is the number of requests running and waiting there.
    `idle_limit` is for how many seconds the target keeps the connection open.
    """

    status: int
    request: str
    genuine: bool
    not_run: bool
    misdirected: bool
    closes: bool
    held: int | None
    idle_limit: float | None
    headers: RawHeaders


class CallerProtocol(abc.ABC):
    """What callers speak."""

    @abc.abstractmethod
    def read_id(self, exchange: Exchange) -> str:
        """Read the id of a caller's try, as far as it has a usable one; empty if not."""

    @abc.abstractmethod
    def read_time_limit(self, exchange: Exchange) -> float | None:
        """Read for how many seconds a caller waits; None if it does not say, or not clearly."""

    @abc.abstractmethod
    def read_request(self, exchange: Exchange) -> CallerRequest:
        """Read a request or raise `BadRequest`."""

    @abc.abstractmethod
    def make_error(
        self, code: ErrorCode, verdict: Verdict, retry_after: float, request: str
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Give status, headers and body of an error; `retry_after` in seconds, 0: not said."""


class TargetProtocol(abc.ABC):
    """What targets speak."""

    @abc.abstractmethod
    def make_headers(self, request: CallerRequest, order: TargetOrder) -> RawHeaders:
        """Make all headers of the request to a target."""

    @abc.abstractmethod
    def read_answer(self, response: Response) -> TargetAnswer:
        """Read the head of an answer."""


class CatalogRead(msgspec.Struct, frozen=True):
    """A version of the configuration has been read."""

    catalog: Catalog


class TargetRead(msgspec.Struct, frozen=True):
    """A target's registration has been read."""

    record: TargetRecord


class TargetMissing(msgspec.Struct, frozen=True):
    """A target's registration is there no more, or names no target."""

    target: str


class ZoneMoved(msgspec.Struct, frozen=True):
    """An availability zone has been taken out of service, or in again."""

    zone: str
    out: bool


class Unreadable(msgspec.Struct, frozen=True):
    """A row that cannot be understood; what was known before it holds."""

    row: str
    reason: str


StateChange = CatalogRead | TargetRead | TargetMissing | ZoneMoved | Unreadable


class StateDecoder(abc.ABC):
    """Turns rows of the platform's tables into typed changes.

    `tables` names the tables to follow, first the one that holds the configuration.
    """

    tables: tuple[str, ...]

    @abc.abstractmethod
    def decode(self, table: str, changes: Sequence[RowChange]) -> list[StateChange]:
        """Decode changed rows; an error in one row is given as `Unreadable`."""


class Adapter(msgspec.Struct, frozen=True):
    """A platform's adapter: one object for each thing that is spoken there."""

    callers: CallerProtocol
    targets: TargetProtocol
    decoder: StateDecoder
    store: RowStore
