"""Typed messages between instances: the in-memory form of schema/peers.thrift.

Field names equal the schema's, which `rhubarbbend.peers` relies on to encode them. Times are in
seconds. A message is data only; what it means is decided by the duty that receives it.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec


class Message(msgspec.Struct):
    """Base of every message. Invariant: each field has a default, as in the schema."""

    # The field of the Envelope that carries this message; empty for parts of messages.
    FIELD: ClassVar[str] = ""


class TargetLoad(Message, tag=True):
    """Load of one target as its owner counts it."""

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
    """Sent once a second to each instance of the own zone."""

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
    """Asks an instance of another zone for its zone's sums; answered by ZoneReply."""

    FIELD: ClassVar[str] = "zone_query"

    instance: str = ""
    config_version: int = 0
    leaving: bool = False


class ZoneReply(Message, tag=True):
    """Answer to ZoneQuery."""

    FIELD: ClassVar[str] = "zone_reply"

    instance: str = ""
    zone: str = ""
    config_version: int = 0
    sums: list[ServiceSum] = []
    crashes: list[CrashCount] = []
    leaving: bool = False
    leaving_targets: list[str] = []


class LoadFigure(Message, tag=True):
    """The load of one target that the sender owns."""

    target: str = ""
    load: int = 0


class SlotMessage(Message, tag=True):
    """What slot traffic carries along: the newest loads, so that the mean is as new as it.

    `figures` goes to instances of the own zone, `sums` to those of other zones.
    """

    target: str = ""
    figures: list[LoadFigure] = []
    sums: list[ServiceSum] = []


class SlotRequest(SlotMessage, tag=True):
    """Asks the owner of a target for a slot; waits at most max_wait seconds in its queue."""

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
    """Answer to a SlotRequest. `refusal` is empty when the slot is granted."""

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
    """Frees a slot, or withdraws a request for one."""

    FIELD: ClassVar[str] = "slot_release"

    attempt: str = ""
    target: str = ""
    completed: bool = False
    first_byte: float = 0.0
    total: float = 0.0
    # Whether the attempt was sent, whether it failed at the target, and how long its prompt is.
    sent: bool = False
    failed: bool = False
    tokens: int = 0


class HeldSlot(Message, tag=True):
    """One running attempt that holds a slot."""

    attempt: str = ""
    account: str = ""
    suspect: bool = False


class SlotRenewal(Message, tag=True):
    """Every slot that an instance holds at a target; sent to the target's owner, old or new."""

    FIELD: ClassVar[str] = "slot_renewal"

    instance: str = ""
    incarnation: int = 0
    target: str = ""
    slots: list[HeldSlot] = []


class Handover(Message, tag=True):
    """The former owner of a target has stopped granting and gives its count to the successor."""

    FIELD: ClassVar[str] = "handover"

    target: str = ""
    holders: list[SlotRenewal] = []
    boot_id: str = ""
    work_done: int = 0


class ClaimQuery(Message, tag=True):
    """Asks the holder of a claim what became of its attempt."""

    FIELD: ClassVar[str] = "claim_query"

    attempt: str = ""
    key: str = ""
    instance: str = ""


class ClaimReply(Message, tag=True):
    """state: never, running, done, unknown. The outcome comes with done, age with never."""

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

    `arrived` is the Unix time at which the sender read its caller's request.
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
    """Answer to ReservedRun; `at` is the Unix time at which it was decided."""

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
    """How often a request digest was running when its target crashed."""

    digest: str = ""
    count: int = 0
    age: float = 0.0
    last_target: str = ""


class CrashNotice(Message, tag=True):
    """Answer to CrashNotice."""

    FIELD: ClassVar[str] = "crash_notice"

    crashes: list[CrashCount] = []


class ConfigItem(Message, tag=True):
    """One declaration of the configuration as of a version; removed when value is empty."""

    kind: str = ""
    name: str = ""
    version: int = 0
    value: bytes = b""


class ConfigQuery(Message, tag=True):
    """Asks for what changed after a version; answered by ConfigReply, page by page.

    The position is that of the last item received, (after + 1, "", "") for the first page.
    """

    FIELD: ClassVar[str] = "config_query"

    instance: str = ""
    after: int = 0
    from_version: int = 0
    from_kind: str = ""
    from_name: str = ""


class ConfigReply(Message, tag=True):
    """A page of the items changed after a version, in the order of their positions.

    `version` is the sender's version; it is reached with the page that has no `more` after it.
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
    """Asks a peer whom it knows; used when the platform's list cannot be read."""

    FIELD: ClassVar[str] = "members_query"

    instance: str = ""


class Member(Message, tag=True):
    """Answer to Member."""

    id: str = ""
    kind: str = ""
    zone: str = ""
    host: str = ""
    port: int = 0
    peer_port: int = 0
    service_name: str = ""
    state: str = ""


class MembersReply(Message, tag=True):
    """Answer to MembersQuery."""

    FIELD: ClassVar[str] = "members_reply"

    members: list[Member] = []
