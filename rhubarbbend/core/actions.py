"""Typed actions: everything the core asks of the shell that carries it out.

The shell takes no decision of its own; what it did or failed to do comes back as an event.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core.messages import Message


class Action(msgspec.Struct, tag=True):
    """Base of every action."""


class Refuse(Action):
    """Answer a request with an error at once.

    `verdict` speaks of the request's key, `attempt` of this request alone.
    """

    request: str
    code: str
    verdict: str
    attempt: str
    retry_after: float


class Reply(Action):
    """Answer a request with a kept outcome."""

    request: str
    status: int
    content_type: str
    body: bytes
    replayed: bool


class GiveKeys(Action):
    """Answer a request for reserved keys."""

    request: str
    keys: list[str]


class Dispatch(Action):
    """Send a request to a target.

    `fresh` asks for a connection that has just been opened, `fence` is the claim's generation (0
    for none), `ticket` goes to the caller with the answer's head, `keep` asks for the outcome.
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
    """Continue an attempt's answer over a new connection at the offset the caller has reached.

    Older connections of the attempt stay open until one of them has brought the answer's head;
    `ticket` goes to the caller with it.
    """

    request: str
    attempt: str
    host: str
    port: int
    progress_timeout: float
    head_timeout: float = 5.0
    ticket: str = ""


class CutAnswer(Action):
    """End a started answer so that the caller sees it is not whole."""

    request: str
    code: str


class CancelAttempt(Action):
    """Stop an attempt and tell the target to cancel it."""

    attempt: str
    host: str
    port: int


class Probe(Action):
    """Ask a target for its state over a new connection; answered by ProbeAnswered."""

    target: str
    attempt: str
    host: str
    port: int


class ReadReport(Action):
    """Read a target's load report; answered by ReportRead or ReportFailed."""

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
    """Send a command to the issuer of its reserved key; the shell adds the request's body."""

    request: str
    peer: str
    host: str
    port: int
    message: Message


class ReadList(Action):
    """Read the platform's list; answered by ListRead, or by nothing if it cannot be read."""


class Write(msgspec.Struct):
    """One conditional write: `expect` is the row's version, 0 for absent, -1 for any."""

    table: str
    key: str
    value: bytes
    expect: int


class WriteRows(Action):
    """Run writes in one transaction; `atomic`: all or none. Answered by WriteDone."""

    op: str
    writes: list[Write]
    atomic: bool = False


class ReadRow(Action):
    """Read one row; answered by RowsRead."""

    op: str
    table: str
    key: str


class ScanRows(Action):
    """Read rows in key order after a key; answered by RowsRead."""

    op: str
    table: str
    after: str
    limit: int


class ReadSnapshot(Action):
    """Read the configuration snapshot; answered by SnapshotRead."""


class WriteSnapshot(Action):
    """Store the configuration snapshot."""

    data: bytes


class AnswerOperator(Action):
    """Answer an operator's change; `error` is empty when it was accepted."""

    op: str
    error: str
    version: int
    author: str = ""


class SetReady(Action):
    """Answer the balancer's readiness check with this from now on."""

    ready: bool


class StopAccepting(Action):
    """Close the listening socket; requests in flight go on."""


class Exit(Action):
    """All work is done; end the process with status 0."""


class Count(Action):
    """Add to a counter."""

    name: str
    by: int = 1


class LogState(Action):
    """Write a log line for a change of state."""

    what: str
    details: dict[str, str]
