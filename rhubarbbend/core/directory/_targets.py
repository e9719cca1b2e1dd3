"""A target as it registered itself, and as an instance keeps it."""

from __future__ import annotations

import enum

import msgspec


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


class TargetRecord(msgspec.Struct, frozen=True):
    """What a target registered. `cold_left` is in seconds; `boot` grows with each start of it."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: TargetState
    cold_left: float = 0.0
    boot: int = 0


class Target:
    """A registered target. Invariant: one object for one start of a target."""

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "slots",
        "boot",
        "state",
        "cold_until",
        "known_since",
        "gone_at",
    )

    def __init__(self, record: TargetRecord, known_since: float, now: float) -> None:
        self.id = record.id
        self.service = record.service
        self.address = (record.host, record.port)
        self.zone = record.zone
        self.slots = record.slots
        self.boot = record.boot
        self.state = record.state
        self.cold_until = now + record.cold_left
        # When this instance learned of it; what it held before is not known here.
        self.known_since = known_since
        # When its missing registration is taken for its end; None while it is registered.
        self.gone_at: float | None = None

    @property
    def is_doubtful(self) -> bool:
        """Whether its registration is missing and may or may not come back."""
        return self.gone_at is not None

    def is_cold(self, now: float) -> bool:
        """Whether it bears only a little work yet."""
        return now < self.cold_until
