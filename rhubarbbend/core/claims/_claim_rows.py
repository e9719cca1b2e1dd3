"""Data types of a claimed key: its row in the claim table and its record in memory."""

from __future__ import annotations

import enum
from typing import Final

import attrs
import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events
from rhubarbbend.decoding import decode_json

CLAIM_TABLE: Final = "claims"


class RowState(enum.Enum):
    """State of a claim row.

    CLAIMED: the attempt may be dispatched or is running. DONE: the command has run and its outcome
    is known. UNKNOWN: the command was dispatched and got no answer. NOT_RUN: the key was refused,
    or its claim abandoned, before the command was dispatched.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class ClaimRow(msgspec.Struct, frozen=True):
    """A row of the claim table.

    `digest` is the digest of the request's body. `instance` and `incarnation` name the holder.
    `generation` counts the claims made under the key, 1 for the first. `at` is the time of the
    write in Unix seconds. The fields of the outcome are set only in state DONE.
    """

    digest: str
    attempt: str
    instance: str
    incarnation: int
    generation: int
    state: RowState
    at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class Outcome(msgspec.Struct, frozen=True):
    """The answer of a command; `kept` is false if its body is too large to be stored."""

    status: int
    content_type: str
    body: bytes
    kept: bool

    def drop_unkept_body(self) -> Outcome:
        """Return the outcome to be stored, without the body if that is too large."""
        return self if self.kept else Outcome(self.status, self.content_type, b"", False)


class RecordState(enum.Enum):
    """State of the record of a key that this instance has claimed.

    CLAIMING: the claim is not confirmed yet. RUNNING: the attempt may be dispatched or has been.
    The others are as in `RowState`.
    """

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@attrs.define(slots=True)
class KeyRecord:
    """The in-memory record of one key that this instance is claiming or has claimed.

    `updated_at` is the local time of creation or of the last change of state. `row_version` is the
    version of the claim row, 0 until it is known. `exclusive` is true if no other instance can have
    run the key: the claim has been read back from the table, or the key is a reserved key of this
    instance. `waiting_requests` holds the ids of local requests that wait for the outcome,
    `querying_peers` the peers that have queried it. Invariant: once the state is NOT_RUN, `attempt`
    is never dispatched.
    """

    key: str
    digest: str
    attempt: str
    state: RecordState
    updated_at: float
    generation: int = 1
    row_version: int = 0
    reserved: bool = False
    exclusive: bool = False
    outcome: Outcome | None = None
    waiting_requests: list[str] = attrs.Factory(list)
    querying_peers: set[str] = attrs.Factory(set)

    @property
    def is_open(self) -> bool:
        """Whether the attempt may still be dispatched or is running."""
        return self.state in (RecordState.CLAIMING, RecordState.RUNNING)


class WritePurpose(enum.Enum):
    """Why a claim row is written: to claim a key, to refuse it, or to record an outcome."""

    CLAIM = "claim"
    REFUSE = "refuse"
    OUTCOME = "outcome"


@attrs.define(slots=True)
class PendingWrite:
    """A claim row that is queued to be written or in flight.

    `expected_version` is the row version that the table must hold, 0 for no row. `request_id` is
    the id of the request that waits for the write, empty for an outcome. `created_at` is the local
    time at which the row was created. `code` is the error with which the request is refused: by a
    refusal, or by a claim that cannot be confirmed.
    """

    purpose: WritePurpose
    key: str
    row: ClaimRow
    expected_version: int
    request_id: str
    created_at: float
    code: ErrorCode = codes.OVERLOADED


def make_table_key(account: str, key: str) -> str:
    """Return the table key of an account's idempotency key.

    Account names and idempotency keys may contain any separator. The name is therefore prefixed
    with its length, so that two accounts never share a table key.
    """
    return f"{len(account)}/{account}/{key}"


def split_table_key(table_key: str) -> tuple[str, str]:
    """Return the account and the idempotency key of a table key.

    The account of a malformed table key is empty, and the table key is returned unchanged.
    """
    length, _, rest = table_key.partition("/")
    if not length.isdecimal() or rest[int(length) : int(length) + 1] != "/":
        return "", table_key
    return rest[: int(length)], rest[int(length) + 1 :]


def decode_row(row: events.Row) -> ClaimRow | None:
    """Decode a row of the claim table; None if its value is not a valid claim."""
    try:
        return decode_json(row.value, type=ClaimRow)
    except msgspec.MsgspecError:
        return None


def compute_conflict_verdict(state: RecordState | RowState) -> Verdict:
    """Return the verdict for a request that reuses a key with another body.

    NOT_RUN is not reported: a request with the original body may be about to run under the key.
    """
    done = state in (RecordState.DONE, RowState.DONE)
    return Verdict.RAN if done else Verdict.MAY_HAVE_RUN
