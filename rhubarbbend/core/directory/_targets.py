"""A target's registration record, and the state that an instance keeps for a registered target."""

from __future__ import annotations

import enum
from typing import Final

import msgspec

# Between the id of a target and its boot number, in the name of one start of it.
BOOT_SEPARATOR: Final = "/"
# Part of the time for which a leaving target serves that has passed at the least when it ends as
# planned, counted from when an instance learns that it leaves. The rest is for the delay of that.
MIN_DRAIN_FRACTION: Final = 0.75


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
        "leaving_since",
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
        # Since when it is known to drain or has no registration; None while it is ready.
        self.leaving_since = None if record.state is TargetState.READY else now

    @property
    def is_registration_missing(self) -> bool:
        """Whether the registration is missing and may still come back."""
        return self.expires_at is not None

    @property
    def incarnation(self) -> str:
        """A name of this start of the target."""
        return f"{self.id}{BOOT_SEPARATOR}{self.boot}"

    def may_have_left(self, drain_time: float, now: float) -> bool:
        """Whether the end of its process may be a planned one.

        A target that leaves goes on to serve for `drain_time` seconds after it has reported so, of
        which this instance learns with some delay.
        """
        if self.leaving_since is None:
            return False
        return now - self.leaving_since >= MIN_DRAIN_FRACTION * drain_time

    def is_cold(self, now: float) -> bool:
        """Whether the target is still in its cold start and can take only a little work."""
        return now < self.cold_until


def get_target_id(incarnation: str) -> str:
    """Return the id of the target that one of its starts belongs to."""
    return incarnation.rpartition(BOOT_SEPARATOR)[0]
