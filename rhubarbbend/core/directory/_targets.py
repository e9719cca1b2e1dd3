"""A target's registration record, and the state that an instance keeps for a registered target."""

from __future__ import annotations

import enum
from typing import Final

import msgspec

# Between the id of a target and its boot number, in the name of one start of it.
BOOT_SEPARATOR: Final = "/"


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class TargetRecord(msgspec.Struct, frozen=True):
    """The record that a target registers.

    `cold_left` is the rest of its cold start in seconds; `boot` grows with each start of the
    target. `version` is that of its software.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: TargetState
    cold_left: float = 0.0
    boot: int = 0
    version: str = ""


class Target:
    """A registered target. Invariant: one object for one start of a target."""

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "slots",
        "boot",
        "version",
        "state",
        "cold_until",
        "known_since",
        "expires_at",
    )

    def __init__(self, record: TargetRecord, known_since: float, now: float) -> None:
        self.id = record.id
        self.service = record.service
        self.address = (record.host, record.port)
        self.zone = record.zone
        self.slots = record.slots
        self.boot = record.boot
        self.version = record.version
        self.state = record.state
        self.cold_until = now + record.cold_left
        # When this instance first saw it; which prompts it cached before that is unknown.
        self.known_since = known_since
        # When a target whose registration is missing is removed; None while it is registered.
        self.expires_at: float | None = None

    @property
    def is_registration_missing(self) -> bool:
        """Whether the registration is missing and may still come back."""
        return self.expires_at is not None

    @property
    def incarnation(self) -> str:
        """A name of this start of the target."""
        return f"{self.id}{BOOT_SEPARATOR}{self.boot}"

    def is_cold(self, now: float) -> bool:
        """Whether the target is still in its cold start and can take only a little work."""
        return now < self.cold_until


def get_target_id(incarnation: str) -> str:
    """Return the id of the target that one of its starts belongs to."""
    return incarnation.rpartition(BOOT_SEPARATOR)[0]


def get_boot(incarnation: str) -> int:
    """Return the boot number of one start of a target; 0 if its registration states none."""
    return int(incarnation.rpartition(BOOT_SEPARATOR)[2])
