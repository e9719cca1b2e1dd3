"""Typed messages between instances: the in-memory form of schema/peers.thrift.

Class and field names equal those of the schema, because `rhubarbbend.peers` encodes messages by
name. Times are in seconds. A message is data only; the component that receives it interprets it.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class Message(msgspec.Struct):
    """Base class of all messages. Invariant: every field has a default, as in the schema."""

    # Name of the Envelope field that carries this message; empty for types nested in messages.
    FIELD: ClassVar[str] = ""


class TargetLoad(Message, tag=True):
    """Load of one target as counted by its owner."""

    target: str = ""
    boot_id: str = ""
    load: int = 0
    limit: int = 0
    ready: bool = False
    cold: bool = False
    service_name: str = ""
    models: list[str] = []


class ServiceSum(Message, tag=True):
    """Sum of the load over the targets of one service in one zone."""

    service_name: str = ""
    load: int = 0
    targets: int = 0


class Heartbeat(Message, tag=True):
    """State of the sender, sent once a second to each instance of its zone."""

    FIELD: ClassVar[str] = "heartbeat"

    instance: str = ""
    zone: str = ""
    incarnation: int = 0
    leaving: bool = False
    config_version: int = 0
    loads: list[TargetLoad] = []
    host: str = ""
    peer_port: int = 0
    leaving_targets: list[str] = []


class ZoneQuery(Message, tag=True):
    """Asks an instance of another zone for that zone's load sums; answered by ZoneReply."""

    FIELD: ClassVar[str] = "zone_query"

    instance: str = ""
    config_version: int = 0
    leaving: bool = False


class ZoneReply(Message, tag=True):
    """Reply to ZoneQuery: the load sums and crash counts of the sender's zone."""

    FIELD: ClassVar[str] = "zone_reply"

    instance: str = ""
    zone: str = ""
    config_version: int = 0
    sums: list[ServiceSum] = []
    crashes: list[CrashCount] = []
    leaving: bool = False
    leaving_targets: list[str] = []


class LoadFigure(Message, tag=True):
    """Load of one target that the sender owns."""

    target: str = ""
    load: int = 0


class SlotMessage(Message, tag=True):
    """Base class of the slot messages; they carry the sender's newest loads.

    The receiver's mean load is thus as recent as its last slot message. `figures` is set in
    messages to the own zone, `sums` in messages to other zones.
    """

    target: str = ""
    figures: list[LoadFigure] = []
    sums: list[ServiceSum] = []


class SlotRequest(SlotMessage, tag=True):
    """Asks the owner of a target for a slot; may wait in its queue for `max_wait` seconds."""

    FIELD: ClassVar[str] = "slot_request"

    attempt: str = ""
    instance: str = ""
    incarnation: int = 0
    target: str = ""
    account: str = ""
    max_wait: float = 0.0
    suspect: bool = False
    service_name: str = ""
    weight: int = 1
    model: str = ""


class SlotReply(SlotMessage, tag=True):
    """Reply to SlotRequest; `refusal` is empty if the slot is granted."""

    FIELD: ClassVar[str] = "slot_reply"

    attempt: str = ""
    target: str = ""
    refusal: str = ""
    boot_id: str = ""
    retry_after: float = 0.0
    owner: str = ""
    load: int = 0
    limit: int = 0


class SlotRelease(SlotMessage, tag=True):
    """Releases a slot, or withdraws a request for one."""

    FIELD: ClassVar[str] = "slot_release"

    attempt: str = ""
    target: str = ""
    completed: bool = False
    first_byte: float = 0.0
    total: float = 0.0
    # Whether the attempt was sent, whether it failed at the target, and the length of its prompt.
    sent: bool = False
    failed: bool = False
    tokens: int = 0


class HeldSlot(Message, tag=True):
    """A running attempt that holds a slot."""

    attempt: str = ""
    account: str = ""
    suspect: bool = False


class SlotRenewal(Message, tag=True):
    """All slots that an instance holds at a target, sent to the target's current or new owner."""

    FIELD: ClassVar[str] = "slot_renewal"

    instance: str = ""
    incarnation: int = 0
    target: str = ""
    slots: list[HeldSlot] = []


class Handover(Message, tag=True):
    """Transfers a target's held slots to its new owner; the sender has stopped granting slots."""

    FIELD: ClassVar[str] = "handover"

    target: str = ""
    holders: list[SlotRenewal] = []
    boot_id: str = ""
    work_done: int = 0


class ClaimQuery(Message, tag=True):
    """Asks the holder of a claim for the state of its attempt; answered by ClaimReply."""

    FIELD: ClassVar[str] = "claim_query"

    attempt: str = ""
    key: str = ""
    instance: str = ""


class ClaimReply(Message, tag=True):
    """Reply to ClaimQuery; `state` is "never", "running", "done" or "unknown".

    The outcome is set if the state is "done", `age` if it is "never".
    """

    FIELD: ClassVar[str] = "claim_reply"

    attempt: str = ""
    key: str = ""
    state: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True
    age: float = 0.0


class ReservedRun(Message, tag=True):
    """Asks the issuer of a reserved key to run a command under it; answered by ReservedReply.

    `arrived` is the Unix time at which the sender read the caller's request.
    """

    FIELD: ClassVar[str] = "reserved_run"

    request: str = ""
    instance: str = ""
    key: str = ""
    account: str = ""
    service_name: str = ""
    method: str = ""
    path: str = ""
    content_type: str = ""
    body: bytes = b""
    digest: str = ""
    time_left: float = 0.0
    arrived: float = 0.0


class ReservedReply(Message, tag=True):
    """Reply to ReservedRun; `at` is the Unix time at which the answer was decided."""

    FIELD: ClassVar[str] = "reserved_reply"

    request: str = ""
    error: str = ""
    verdict: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    replayed: bool = False
    at: float = 0.0


class CrashCount(Message, tag=True):
    """Number of crashes counted against a request digest; `last_target` is a boot id.

    The last crash was `age` seconds ago, after the request had run for `ran` seconds. The
    sender knew the boot ids in `follows` to have ended under it before it was sent. `parts` are the
    keys of what other requests may hold as well, `accounts` the client accounts that sent it.
    """

    digest: str = ""
    count: int = 0
    age: float = 0.0
    last_target: str = ""
    ran: float = 0.0
    follows: list[str] = []
    parts: list[str] = []
    accounts: list[str] = []


class CrashCleared(Message, tag=True):
    """A request that holds a possible cause of crashes began to run `age` seconds ago and went on.

    `cause` is a digest or the key of a part.
    """

    cause: str = ""
    age: float = 0.0


class CrashNotice(Message, tag=True):
    """Notifies other instances of crashes under requests, and what cannot be their cause.

    It has no reply.
    """

    FIELD: ClassVar[str] = "crash_notice"

    crashes: list[CrashCount] = []
    cleared: list[CrashCleared] = []


class TrialRequest(Message, tag=True):
    """Asks the coordinator of a cause of crashes for its trial; answered by TrialReply."""

    FIELD: ClassVar[str] = "trial_request"

    cause: str = ""


class TrialReply(Message, tag=True):
    """Tells whether the receiver has a trial; `wait` is 0, or after how long to ask again."""

    FIELD: ClassVar[str] = "trial_reply"

    cause: str = ""
    wait: float = 0.0


class TrialEnd(Message, tag=True):
    """Tells the coordinator that the sender's trial has ended; it has no reply."""

    FIELD: ClassVar[str] = "trial_end"

    cause: str = ""
    was_lost: bool = False


class ConfigItem(Message, tag=True):
    """One declaration of the configuration and its version; an empty value is a tombstone."""

    kind: str = ""
    name: str = ""
    version: int = 0
    value: bytes = b""


class ConfigQuery(Message, tag=True):
    """Asks for one page of the items changed after a version; answered by ConfigReply.

    The `from_` fields hold the position of the last item received, which is (after + 1, "", "")
    for the first page.
    """

    FIELD: ClassVar[str] = "config_query"

    instance: str = ""
    after: int = 0
    from_version: int = 0
    from_kind: str = ""
    from_name: str = ""


class ConfigReply(Message, tag=True):
    """A page of the items changed after a version, in the order of their positions.

    `version` is the sender's version; the receiver has reached it after a page without `more`.
    """

    FIELD: ClassVar[str] = "config_reply"

    after: int = 0
    version: int = 0
    items: list[ConfigItem] = []
    more: bool = False
    ready: bool = True
    from_version: int = 0
    from_kind: str = ""
    from_name: str = ""


class MembersQuery(Message, tag=True):
    """Asks a peer for the instances and targets it knows, when the platform's list is unreadable.

    Answered by MembersReply.
    """

    FIELD: ClassVar[str] = "members_query"

    instance: str = ""


class Member(Message, tag=True):
    """An instance or target that the sender knows."""

    id: str = ""
    kind: str = ""
    zone: str = ""
    host: str = ""
    port: int = 0
    peer_port: int = 0
    service_name: str = ""
    state: str = ""


class MembersReply(Message, tag=True):
    """Reply to MembersQuery."""

    FIELD: ClassVar[str] = "members_reply"

    members: list[Member] = []


class TunnelRequest(Message, tag=True):
    """Asks a peer to connect to a target that the sender cannot reach.

    The connection that carries it becomes a tunnel to the target.
    """

    FIELD: ClassVar[str] = "tunnel_request"

    target: str = ""
