"""Typed events: everything that can happen to an instance, as seen by the core.

An event carries no timestamp; `Core.handle` takes the current time as a separate argument. Times in
events are durations in seconds unless a field says otherwise. The contents of requests never enter
the core, only their digests and sizes, so a recorded trace contains no caller data.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.core.messages import Message


class Event(msgspec.Struct, tag=True):
    """Base class of all events."""


class Started(Event):
    """The instance starts; the first event of every trace.

    `wall` is the Unix time at the `now` passed with this event.
    """

    wall: float


class SeedNamed(Event):
    """The settings name a seed instance, which is queried while the platform is unavailable."""

    instance: str
    zone: str
    host: str
    peer_port: int


class TimerDue(Event):
    """Time has passed; the core runs the timers that are due."""


class RequestArrived(Event):
    """A caller's request was read completely.

    `key_digest` is the digest of the bearer key. `body_digest` covers operation and body. `parts`
    are digests of the messages of a chat but the last: what other requests may hold as well.
    `time_left` is the time until the caller's deadline. `tokens` is the estimated prompt length.
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
    # Set if a peer forwarded the request, because this instance issued its reserved key.
    on_behalf_of: str = ""
    parts: tuple[str, ...] = ()


class CallerLeft(Event):
    """The caller closed its connection before the answer was complete."""

    request: str


class KeysRequested(Event):
    """A caller requests reserved keys."""

    request: str
    key_digest: str
    count: int


class AttemptHead(Event):
    """The target began to answer an attempt, `after` seconds after dispatch."""

    attempt: str
    status: int
    after: float


class AttemptDone(Event):
    """The target's answer is complete; content type and body are set only for claimed attempts."""

    attempt: str
    status: int
    total: float
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class AttemptFailed(Event):
    """An attempt got no complete answer. `stage` is a SendStage value, "refused" or "not_found".

    `reused` says whether it was sent on an idle connection. `relayed` is the number of body bytes
    already sent to the caller.
    """

    attempt: str
    stage: str
    reason: str
    reused: bool = False
    relayed: int = 0


class TargetPaused(Event):
    """A target asked this instance to send it no requests for a time, in seconds."""

    target: str
    duration_s: float


class TargetLeaving(Event):
    """The target of an attempt said in its answer that it leaves."""

    attempt: str


class ProbeAnswered(Event):
    """Result of a probe of a target over a new connection; the boot id is empty without an answer.

    `silent` distinguishes a target that did not respond at all from one whose address refused or
    closed the connection.
    """

    target: str
    attempt: str
    boot_id: str
    silent: bool = False


class ReportRead(Event):
    """A target's load report. `age` is the age of the values as stated by the target."""

    target: str
    boot_id: str
    state: str
    running: int
    slots: int
    age: float = 0.0
    models: list[str] = []


class ReportFailed(Event):
    """A target's load report could not be read.

    `silent` distinguishes a read that got no sign of the target until its time-out.
    """

    target: str
    reason: str
    silent: bool = False


class PeerSaid(Event):
    """A message arrived from another instance."""

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
    """The platform's list was read; it may lag."""

    entries: list[Listed]


class Row(msgspec.Struct):
    """One row of a platform table; `version` increases with each write."""

    key: str
    value: bytes
    version: int


class WriteDone(Event):
    """The outcome of a transaction of the table service.

    `status` is "done" or "unknown" (no answer: the transaction may have taken effect, or may still
    do so). With "done", `rows` holds the current row for each write, and `applied` whether this
    write stored it.
    """

    op: str
    status: str
    applied: list[bool] = []
    rows: list[Row | None] = []


class RowsRead(Event):
    """The outcome of a read or scan of the table service; `status` is "done" or "failed"."""

    op: str
    status: str
    rows: list[Row] = []


class SnapshotRead(Event):
    """The outcome of a snapshot read; data is empty if none exists or it could not be read."""

    status: str
    data: bytes = b""


class SnapshotWritten(Event):
    """The outcome of a snapshot write; `status` is "done", or "failed" also without an answer."""

    status: str


class ChangeProposed(Event):
    """An operator proposes a change set.

    Items are tuples of kind, name and JSON value; an empty value removes the declaration.
    """

    op: str
    change_id: str
    author: str
    base_version: int
    items: list[tuple[str, str, bytes]]


class VersionsAsked(Event):
    """An operator queries which configuration version each instance has applied."""


class StopRequested(Event):
    """The process was asked to stop."""


class ProcessPaused(Event):
    """The shell noticed that the process did not run for `seconds`."""

    seconds: float
