"""Typed events: everything that can happen to an instance, as the core sees it.

An event carries no time; `Core.handle` takes the present time beside it. Times inside events are
durations in seconds unless a field says otherwise. Contents of requests never enter the core:
digests and sizes stand for them, so a recorded trace holds no caller's words.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core.messages import Message


class Event(msgspec.Struct, tag=True):
    """Base of every event."""


class Started(Event):
    """The instance starts; first event of every trace. `wall` is Unix time at `now`."""

    wall: float


class SeedNamed(Event):
    """The settings name an instance, to be asked while the platform is away."""

    instance: str
    zone: str
    host: str
    peer_port: int


class TimerDue(Event):
    """Time has passed; the core runs the timers that are due."""


class RequestArrived(Event):
    """A caller's request was read whole.

    `key_digest` is the digest of the bearer key, `body_digest` covers operation and body,
    `time_left` is the caller's deadline, `tokens` an estimate of the prompt's length.
    """

    request: str
    key_digest: str
    service_name: str
    model: str
    method: str
    path: str
    body_digest: str
    time_left: float
    chat: str = ""
    ticket: str = ""
    key: str = ""
    tokens: int = 0
    stream: bool = False
    wall: float = 0.0
    # Set when a peer asked for this run under a reserved key that this instance issued.
    on_behalf_of: str = ""


class CallerLeft(Event):
    """The caller closed its connection before the answer was whole."""

    request: str


class KeysRequested(Event):
    """A caller asks for reserved keys."""

    request: str
    key_digest: str
    count: int


class AttemptHead(Event):
    """The target began to answer an attempt, `after` seconds since dispatch."""

    attempt: str
    status: int
    after: float


class AttemptDone(Event):
    """The target's answer was whole. The outcome is given only for claimed attempts."""

    attempt: str
    status: int
    total: float
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class AttemptFailed(Event):
    """An attempt got no whole answer. `stage` is a SendStage value, "refused" or "not_found".

    `reused` says that an idle connection carried it, `relayed` how many bytes of body the caller
    has already been given.
    """

    attempt: str
    stage: str
    reason: str
    reused: bool = False
    relayed: int = 0


class ProbeAnswered(Event):
    """A target was asked for its state over a new connection; empty boot id: no answer.

    `silent` tells a target that gave no sign at all from one whose address refused or closed.
    """

    target: str
    attempt: str
    boot_id: str
    silent: bool = False


class ReportRead(Event):
    """A target's load report. `age` is how old the target says its figures are."""

    target: str
    boot_id: str
    state: str
    running: int
    slots: int
    age: float = 0.0
    models: list[str] = []


class ReportFailed(Event):
    """A target's load report could not be read."""

    target: str
    reason: str


class PeerSaid(Event):
    """A message came from another instance."""

    sender: str
    message: Message


class PeerLost(Event):
    """A message to another instance could not be delivered."""

    peer: str


class Listed(msgspec.Struct):
    """One entry of the platform's list of instances and targets."""

    id: str
    kind: str
    zone: str
    host: str
    port: int
    peer_port: int = 0
    service_name: str = ""
    state: str = "live"


class ListRead(Event):
    """The platform's list, which may lag."""

    entries: list[Listed]


class Row(msgspec.Struct):
    """One row of a platform table; `version` grows with each write."""

    key: str
    value: bytes
    version: int


class WriteDone(Event):
    """The table service answered a transaction.

    `status` is "done" or "unknown" (no answer: it may have taken effect, or may still do so).
    With "done", `rows` tells for each write the row now in the table and `applied` whether this
    write put it there.
    """

    op: str
    status: str
    applied: list[bool] = []
    rows: list[Row | None] = []


class RowsRead(Event):
    """The table service answered a read or scan; `status` is "done" or "failed"."""

    op: str
    status: str
    rows: list[Row] = []


class SnapshotRead(Event):
    """The object store answered; empty data: there is none, or it could not be read."""

    status: str
    data: bytes = b""


class SnapshotWritten(Event):
    """The object store took a snapshot, or gave no word; `status` is "done" or "failed"."""

    status: str


class ChangeProposed(Event):
    """An operator sends a change set; items are (kind, name, JSON value or empty to remove)."""

    op: str
    change_id: str
    author: str
    base_version: int
    items: list[tuple[str, str, bytes]]


class VersionsAsked(Event):
    """An operator wants to see how far every instance has come."""


class StopRequested(Event):
    """The process was told to stop."""


class ProcessPaused(Event):
    """The shell noticed that the process did not run for `seconds`."""

    seconds: float
