"""Interfaces that the adapter of a platform implements, and the types that they exchange.

An adapter only translates between the platform's formats and these types. It makes no decisions and
keeps no state of requests. What it cannot translate, it reports to its caller as an error with a
reason.
"""

from __future__ import annotations

import abc
from collections.abc import Sequence

import msgspec

from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.capacity import ReportedLoad
from rhubarbbend.core.catalog import Catalog
from rhubarbbend.core.directory import TargetRecord
from rhubarbbend.core.mirror import RowChange
from rhubarbbend.core.placement import Prompt
from rhubarbbend.core.rollouts import RolloutOrder, RolloutRecord
from rhubarbbend.gateway._settings import Address
from rhubarbbend.http import Exchange, Response
from rhubarbbend.storage import RowPut, RowStore

RawHeaders = list[tuple[bytes, bytes]]


class BadRequest(Exception):
    """Raised for a caller's request that cannot be parsed."""

    def __init__(self, code: ErrorCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class CallerRequest(msgspec.Struct):
    """A caller's request.

    `id` identifies this attempt of the caller. `path_and_query` is the path with its query,
    `path` the path alone. `timeout_s` is how many seconds the caller waits after the request was
    read, None if not stated. `last_event_id` is the id of the last event of a stream that the
    caller already has, `resumes` the id of the attempt that began that stream.
    """

    id: str
    method: bytes
    path_and_query: bytes
    path: str
    host: str
    api_key: str
    headers: RawHeaders
    body: bytes
    timeout_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str = ""
    resumes: str = ""


class ForwardingOptions(msgspec.Struct, frozen=True):
    """What a target is sent in addition to the caller's request.

    `remaining_s` is in seconds. `priority` is 0 for the most urgent requests. `account` is empty on
    public routes. `source` is the address of a target that may hold parts of the prompt.
    """

    target: str
    remaining_s: float
    account: str
    priority: int
    last_event_id: str = ""
    source: tuple[str, int] | None = None


class TargetResponseHead(msgspec.Struct, frozen=True):
    """The head of a target's response.

    `request` is the request id that it carries. `is_authentic` is whether it carries the target's
    seal and its body has not been changed. `was_not_executed` states that the target did not run
    the request, `misdirected` that a target other than the intended one responded,
    `closes_connection` that the target closes the connection. `load` is what the target
    reports of its load, None if it reports nothing. `idle_timeout_s` is how many
    seconds the target keeps an idle connection open, None if it is not stated. `pause_s` is for how
    many seconds the target wants no requests of this instance, None if it asks for no pause.
    `is_leaving` is whether it is about to end and wants no new requests. `brittle_per_s` is how
    many rejections a second the target bears, None if it does not state it.
    """

    status: int
    request: str
    is_authentic: bool
    was_not_executed: bool
    misdirected: bool
    closes_connection: bool
    load: ReportedLoad | None
    idle_timeout_s: float | None
    headers: RawHeaders
    pause_s: float | None = None
    is_leaving: bool = False
    brittle_per_s: int | None = None


class CallerProtocol(abc.ABC):
    """The platform's protocol between callers and the fleet."""

    @abc.abstractmethod
    def read_request_id(self, exchange: Exchange) -> str:
        """Return the id of a caller's attempt, or an empty string if it has no usable one."""

    @abc.abstractmethod
    def read_timeout(self, exchange: Exchange) -> float | None:
        """Return how many seconds a caller waits, or None if it states no valid number."""

    @abc.abstractmethod
    def read_request(self, exchange: Exchange) -> CallerRequest:
        """Parse a request. Raise `BadRequest` if it is invalid."""

    @abc.abstractmethod
    def make_detour_headers(
        self, request: CallerRequest, remaining_s: float, last_event_id: str
    ) -> RawHeaders:
        """Return all headers of a request that is handed to another instance.

        They state what the caller's own headers did, but for the time that is left in seconds and
        the last event that the caller has received.
        """

    @abc.abstractmethod
    def make_error_response(
        self, code: ErrorCode, verdict: Verdict, retry_after: float, request: str
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Return status, headers and body of an error response.

        `retry_after` is in seconds, 0 to state none. `request` is the request id.
        """


class TargetProtocol(abc.ABC):
    """The platform's protocol between the fleet and targets."""

    @abc.abstractmethod
    def make_headers(self, request: CallerRequest, options: ForwardingOptions) -> RawHeaders:
        """Return all headers of the request that is sent to a target."""

    @abc.abstractmethod
    def make_health_headers(self, target: str, address: Address) -> RawHeaders:
        """Return all headers of a health check that only this target may answer."""

    @abc.abstractmethod
    def read_identity(self, response: Response) -> str | None:
        """Return the id of the target that answered a health check; None if it does not say.

        Empty if it only says that it is not the one that was asked.
        """

    @property
    @abc.abstractmethod
    def report_path(self) -> bytes:
        """The path at which engines report their state."""

    @abc.abstractmethod
    def read_boot(self, report: bytes) -> int | None:
        """Return the boot number of the engine that sent a report; None if it does not say."""

    @abc.abstractmethod
    def read_response_head(self, response: Response) -> TargetResponseHead:
        """Parse the head of a response."""


class CatalogPublished(msgspec.Struct, frozen=True):
    """A version of the configuration was read."""

    catalog: Catalog


class TargetRegistered(msgspec.Struct, frozen=True):
    """A target's registration was read."""

    record: TargetRecord


class TargetUnregistered(msgspec.Struct, frozen=True):
    """A target's registration no longer exists."""

    target: str


class RegistrationUnreadable(msgspec.Struct, frozen=True):
    """A target's registration does not describe a target any more, as if by another writer."""

    target: str


class ZoneServiceChanged(msgspec.Struct, frozen=True):
    """An availability zone was taken out of service, or returned to service."""

    zone: str
    is_out_of_service: bool


class RolloutOrdered(msgspec.Struct, frozen=True):
    """An order to roll out a version of a service was read."""

    order: RolloutOrder


class RolloutWithdrawn(msgspec.Struct, frozen=True):
    """The order to roll out a version of a service no longer exists."""

    service: str


class RowUnreadable(msgspec.Struct, frozen=True):
    """A row could not be decoded; what was known before stays in force."""

    row: str
    reason: str


StateChange = (
    CatalogPublished
    | TargetRegistered
    | TargetUnregistered
    | RegistrationUnreadable
    | ZoneServiceChanged
    | RolloutOrdered
    | RolloutWithdrawn
    | RowUnreadable
)


class StateDecoder(abc.ABC):
    """Decodes rows of the platform's tables into typed changes.

    `tables` names the tables to follow; the first one holds the configuration.
    """

    tables: tuple[str, ...]

    @abc.abstractmethod
    def decode(self, table: str, changes: Sequence[RowChange]) -> list[StateChange]:
        """Decode changed rows. A row with an error is returned as `RowUnreadable`."""


class StatusEncoder(abc.ABC):
    """Encodes what operators read of the fleet's state."""

    @abc.abstractmethod
    def encode_rollout(self, service: str, record: RolloutRecord) -> RowPut:
        """Return the row that tells operators the state of a service's roll-out."""


class Adapter(msgspec.Struct, frozen=True):
    """A platform's adapter: one object for each interface."""

    callers: CallerProtocol
    targets: TargetProtocol
    decoder: StateDecoder
    store: RowStore
    statuses: StatusEncoder
