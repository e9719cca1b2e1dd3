"""What a simulated roll-out is played with, and what is seen of it."""

from __future__ import annotations

import enum
import math
from typing import Final

import msgspec

from rhubarbbend.core.rollouts import ExposureOptions, RolloutPhase

# No request may be sent to a bad version this long after its 50th bad answer.
STOP_BOUND_S: Final = 5.0


class Trouble(enum.Enum):
    """What happens beside the roll-out."""

    NONE = "none"
    # The coordinator is killed twice, and another takes over.
    COORDINATOR_KILLED = "coordinator killed"
    # A third of the instances restart, one after the other.
    INSTANCES_RESTART = "instances restart"
    # All requests to a third of the targets of both versions fail for a while.
    ZONE_CUT = "zone cut"
    # One target of the new version and some of the old fail 0.4 of their requests.
    GREY_TARGETS = "grey targets"
    BURST = "burst"


class Route(msgspec.Struct, frozen=True):
    """Requests of one kind; `spread` is the standard deviation of the duration's logarithm."""

    name: str
    per_s: float
    mean_s: float
    spread: float
    failing: float
    idempotent: bool
    events: int = 0
    chats: int = 0


class Site(msgspec.Struct, frozen=True):
    """A fleet and the service whose version is rolled out."""

    name: str
    instances: int
    targets: int
    routes: tuple[Route, ...]
    options: ExposureOptions


class Badness(msgspec.Struct, frozen=True):
    """How the new version is worse: `failing` answers in all fail, the others take `slow` times.

    `after_s` is when that begins; `above_load` the number of requests that a target must hold;
    `route` the only route, all if empty.
    """

    failing: float = 0.0
    slow: float = 1.0
    after_s: float = 0.0
    above_load: int = 0
    route: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether the version is worse at all."""
        return self.failing > 0.0 or self.slow > 1.0


class Play(msgspec.Struct):
    """What was seen of one roll-out. Times are in seconds from the order."""

    requests: int = 0
    exposed: int = 0
    bad_answers: int = 0
    fiftieth_bad_at: float = math.inf
    last_sent_at: float = 0.0
    phase: RolloutPhase = RolloutPhase.RUNNING
    ended_at: float = math.inf
    reason: str = ""
    lost: int = 0
    repeated: int = 0
    held: int = 0

    def compute_cap(self, options: ExposureOptions) -> float:
        """Return the number of requests that a bad version may get."""
        return options.share * self.requests + options.slack

    def is_over_cap(self, options: ExposureOptions) -> bool:
        """Whether the new version got more requests than a bad one may, or got them too late."""
        too_late = self.last_sent_at > self.fiftieth_bad_at + STOP_BOUND_S
        return self.exposed > self.compute_cap(options) or too_late
