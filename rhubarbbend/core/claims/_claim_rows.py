"""What is known of a key: the row in the table and the record in an instance's memory."""

from __future__ import annotations

import enum
from typing import Final

import attrs
import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events

CLAIM_TABLE: Final = "claims"


class RowState(enum.Enum):
    """State of a claim in the table."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim as stored; `at` in Unix seconds, the outcome only with state DONE."""

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
    """The kept answer of a command; not `kept` when its body was too large."""

    status: int
    content_type: str
    body: bytes
    kept: bool

    def trim(self) -> Outcome:
        """Drop the body of an outcome that is too large to keep."""
        return self if self.kept else Outcome(self.status, self.content_type, b"", False)


class RecordState(enum.Enum):
    """State of a key in the memory of the instance that runs it."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@attrs.define(slots=True)
class Record:
    """What this instance knows of one key that it claims or has claimed.

    `won` says that no other instance may have run the key: its claim was seen in the table, or
    it is a reserved key of this instance. Invariant: once NOT_RUN, `attempt` is never dispatched.
    """

    key: str
    digest: str
    attempt: str
    state: RecordState
    at: float
    generation: int = 1
    version: int = 0
    reserved: bool = False
    won: bool = False
    outcome: Outcome | None = None
    waiting: list[str] = attrs.Factory(list)
    asking: set[str] = attrs.Factory(set)

    @property
    def open(self) -> bool:
        """Whether its attempt may still be dispatched or is running."""
        return self.state in (RecordState.CLAIMING, RecordState.RUNNING)


class WritePurpose(enum.Enum):
    """Why a claim row is written."""

    CLAIM = "claim"
    REFUSE = "refuse"
    OUTCOME = "outcome"


@attrs.define(slots=True)
class PendingWrite:
    """One row on its way to the table; `since` is when the row was made, in local time."""

    purpose: WritePurpose
    key: str
    row: ClaimRow
    expect: int
    request: str
    since: float
    code: ErrorCode = codes.OVERLOADED


def make_key(account: str, key: str) -> str:
    """Make the table key of an account's idempotency key.

    Names and keys may hold any separator, so the length of the name keeps one account's key from
    being taken for another's.
    """
    return f"{len(account)}/{account}/{key}"


def split_key(table_key: str) -> tuple[str, str]:
    """Give the account and the idempotency key of a table key; no account if it is malformed."""
    length, _, rest = table_key.partition("/")
    if not length.isdecimal() or rest[int(length) : int(length) + 1] != "/":
        return "", table_key
    return rest[: int(length)], rest[int(length) + 1 :]


def decode_row(row: events.Row) -> ClaimRow | None:
    """Decode a stored claim; None if it is not one."""
    try:
        return msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.MsgspecError:
        return None


def judge_state(state: RecordState | RowState) -> Verdict:
    """Give the verdict on a key for a request that is in conflict with it.

    A state of "not run" is not passed on: a request of its own body may be about to run it.
    """
    done = state in (RecordState.DONE, RowState.DONE)
    return Verdict.RAN if done else Verdict.MAY_HAVE_RUN
