"""Typed actions: the operations that the core asks the shell to carry out.

The shell makes no decisions. It reports the result or the failure of an action as an event.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core.messages import Message


class Action(msgspec.Struct, tag=True):
    """Base class of all actions."""


class Refuse(Action):
    """Answer a request with an error.

    `verdict` says whether the work named by the request's idempotency key has run; `attempt` says
    whether this request has run it.
    """

    request: str
    code: str
    verdict: str
    attempt: str
    retry_after: float


class Reply(Action):
    """Answer a request with a stored outcome."""

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool


class GiveKeys(Action):
    """Answer a request for reserved keys with the keys that were issued."""

    request: str
    keys: list[str]


class Dispatch(Action):
    """Send a request to a target.

    `fresh` requires a newly opened connection instead of an idle one. `fence` is the generation of
    the claim, used as a fencing token (0 for none). `ticket` is passed to the caller with the head
    of the answer. `keep` requests that the outcome be returned to the core.
    """

    request: str
    attempt: str
    target: str
    host: str
    port: int
    fresh: bool
    ticket: str = ""
    fence: int = 0
    keep: bool = False
    head_timeout: float = 60.0
    progress_timeout: float = 10.0


class Resume(Action):
    """Continue an attempt's answer over a new connection, from the offset the caller has received.

    Older connections of the attempt stay open until the head of the answer has arrived on one of
    the connections. `ticket` is passed to the caller with the head.
    """

    request: str
    attempt: str
    host: str
    port: int
    progress_timeout: float
    head_timeout: float = 5.0
    ticket: str = ""


class CutAnswer(Action):
    """End an answer that has started so that the caller can tell that it is incomplete."""

    request: str
    code: str


class CancelAttempt(Action):
    """Stop an attempt and send a cancellation to the target."""

    attempt: str
    host: str
    port: int


class Probe(Action):
    """Query a target's state over a new connection; answered by `ProbeAnswered`."""

    target: str
    attempt: str
    host: str
    port: int


class ReadReport(Action):
    """Read a target's load report; answered by `ReportRead` or `ReportFailed`."""

    target: str
    service_name: str
    host: str
    port: int


class SendPeer(Action):
    """Send a message to another instance."""

    peer: str
    host: str
    port: int
    message: Message


class SendReserved(Action):
    """Send a command to the instance that issued its reserved key.

    The shell adds the body of the request to the message.
    """

    request: str
    peer: str
    host: str
    port: int
    message: Message


class ReadList(Action):
    """Read the platform's list; answered by `ListRead`, or not at all if the read fails."""


class Write(msgspec.Struct):
    """One conditional write.

    `expect` is the version that the row must have: 0 if it must be absent, -1 for any version.
    """

    table: str
    key: str
    value: bytes
    expect: int


class WriteRows(Action):
    """Send writes to the table service in one transaction; answered by `WriteDone`.

    With `atomic`, either all of the writes take effect or none.
    """

    op: str
    writes: list[Write]
    atomic: bool = False


class ReadRow(Action):
    """Read one row; answered by `RowsRead`."""

    op: str
    table: str
    key: str


class ScanRows(Action):
    """Read up to `limit` rows in key order after a key; answered by `RowsRead`."""

    op: str
    table: str
    after: str
    limit: int


class ReadSnapshot(Action):
    """Read the configuration snapshot; answered by `SnapshotRead`."""


class WriteSnapshot(Action):
    """Store the configuration snapshot; answered by `SnapshotWritten`."""

    data: bytes


class AnswerOperator(Action):
    """Answer an operator's change; `error` is empty when it was accepted."""

    op: str
    error: str
    version: int
    author: str = ""


class SetReady(Action):
    """Set the answer to the load balancer's readiness check."""

    ready: bool


class StopAccepting(Action):
    """Close the listening socket; requests in flight continue."""


class Exit(Action):
    """End the process with exit status 0; all work is done."""


class Count(Action):
    """Increase a counter."""

    name: str
    by: int = 1


class LogState(Action):
    """Write a log line about a change of state."""

    what: str
    details: dict[str, str]
