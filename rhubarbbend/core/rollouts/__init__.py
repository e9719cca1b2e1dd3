"""Roll-outs: moving the traffic of a service to a new version, or keeping it from a bad one.

Each instance bounds by itself how many requests the new version gets, and counts what comes of
them. One instance, the coordinator, adds the counts up and decides; the outcome is recorded in the
store under a condition, so that two coordinators never record different ones.
"""

from rhubarbbend.core.rollouts._coordinator import (
    DECISION_INTERVAL_S,
    REASON_WITHDRAWN,
    RolloutCoordinator,
    TargetCounts,
)
from rhubarbbend.core.rollouts._evidence import Evidence, Outcome, Speed, name_target
from rhubarbbend.core.rollouts._exposure import ExposureLimiter, ExposureOptions
from rhubarbbend.core.rollouts._participant import Assignment, RolloutParticipant
from rhubarbbend.core.rollouts._tracker import RolloutTracker, VersionChoice
from rhubarbbend.core.rollouts._types import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Ruling,
    ServiceVersions,
)
from rhubarbbend.core.rollouts._verdict import Finding, judge
from rhubarbbend.core.rollouts._versions import VersionTracker

__all__ = [
    "Assignment",
    "DECISION_INTERVAL_S",
    "REASON_WITHDRAWN",
    "Evidence",
    "ExposureLimiter",
    "ExposureOptions",
    "Finding",
    "Outcome",
    "RolloutCoordinator",
    "RolloutOrder",
    "RolloutParticipant",
    "RolloutPhase",
    "RolloutRecord",
    "RolloutTracker",
    "Ruling",
    "ServiceVersions",
    "Speed",
    "TargetCounts",
    "VersionChoice",
    "VersionTracker",
    "judge",
    "name_target",
]
