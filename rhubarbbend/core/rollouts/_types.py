"""Types of roll-outs: what operators order, what is recorded of it, and what instances are told.

A roll-out moves the traffic of a service to targets of another version, the *candidate*, which run
beside those of the *stable* version. All durations are in seconds.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec


class RolloutPhase(enum.Enum):
    """How far a roll-out is."""

    # The candidate gets a small share of the requests.
    RUNNING = "running"
    # The candidate has passed; requests move to it ahead of the end of the stable targets.
    SHIFTING = "shifting"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK)


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service to `to_version` within `duration_s` of the order.

    `revision` is the store's version of the order; a later order has a higher one.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int


class RolloutRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The lasting record of a service's latest roll-out, a row of the store.

    `revision` is that of its order. `started_at_s` is when the roll-out was first recorded, by the
    store's clock. `reason` says why it was rolled back.
    """

    revision: int
    from_version: str
    to_version: str
    phase: RolloutPhase
    started_at_s: float = 0.0
    reason: str = ""


class ExposureOptions(msgspec.Struct, frozen=True):
    """At most `share` of all requests to a service plus `slack` may reach a candidate."""

    share: float = 0.1
    slack: float = 0.0


class AttemptTiming(msgspec.Struct, frozen=True):
    """When the parts of one attempt at a target happened, by the clock of the decisions.

    `first_event_at` is None if the answer is not a stream, or has no event. `unread_tokens` is how
    many tokens of the prompt the target had to read, as far as is known.
    """

    sent_at: float
    ended_at: float
    first_event_at: float | None = None
    event_count: int = 0
    unread_tokens: int = 0


class Assignment(msgspec.Struct, frozen=True):
    """Whether a request goes to the candidate.

    If `hold_s` is positive, it should wait that long, or until the roll-out has ended, and then go
    to the version in force.
    """

    is_candidate: bool
    hold_s: float = 0.0


TO_STABLE: Final = Assignment(False)
TO_CANDIDATE: Final = Assignment(True)


class ServiceVersions(msgspec.Struct, frozen=True):
    """The versions of a service whose targets may get requests.

    `stable` is the one that a roll-out starts from, None if any version may: the service has no
    targets yet. `candidate` is the version that is being rolled out, None if there is no roll-out.
    `others` serve beside the stable one: no order is about them.
    """

    stable: str | None
    candidate: str | None = None
    others: frozenset[str] = frozenset()

    @property
    def serving(self) -> frozenset[str] | None:
        """The versions that get all requests but the candidate's; None if any version may."""
        return None if self.stable is None else self.others | {self.stable}

    def admits(self, version: str) -> bool:
        """Return whether targets of a version may get requests."""
        serving = self.serving
        return serving is None or version in serving or version == self.candidate


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """What the coordinator of a roll-out tells the other instances.

    `age_s` is the time since the order. `leads` holds, by route, how long before `succeed_at_s` the
    route's requests move to the candidate; both count from the order. `trial_fraction` is the part
    of each instance's credit that may be used until then. `reason` is set if the roll-out is rolled
    back.
    """

    revision: int
    phase: RolloutPhase
    age_s: float
    succeed_at_s: float
    leads: dict[str, float] = {}
    trial_fraction: float = 0.5
    reason: str = ""
