"""Roll-outs: moving the traffic of a service to a new version, or keeping it from a bad one.

Each instance bounds by itself how many requests the new version gets, and counts what comes of
them. One instance, the coordinator, adds the counts up and decides; the outcome is recorded in the
store under a condition, so that two coordinators never record different ones.

What only runs during a roll-out is imported on first use: an instance that never sees one needs
just to know which versions may get requests.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any, Final

from rhubarbbend.core.rollouts._tracker import RolloutTracker, VersionChoice
from rhubarbbend.core.rollouts._types import (
    Assignment,
    AttemptTiming,
    ExposureOptions,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Ruling,
    ServiceVersions,
)
from rhubarbbend.core.rollouts._versions import VersionTracker

if TYPE_CHECKING:
    from rhubarbbend.core.rollouts._coordinator import (
        DECISION_INTERVAL_S,
        REASON_WITHDRAWN,
        RolloutCoordinator,
        TargetCounts,
    )
    from rhubarbbend.core.rollouts._evidence import Evidence, Outcome, Speed, name_target
    from rhubarbbend.core.rollouts._exposure import ExposureLimiter
    from rhubarbbend.core.rollouts._participant import RolloutParticipant
    from rhubarbbend.core.rollouts._verdict import Finding, judge

__all__ = [
    "DECISION_INTERVAL_S",
    "REASON_WITHDRAWN",
    "Assignment",
    "AttemptTiming",
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

_LAZY_MODULES: Final = {
    "DECISION_INTERVAL_S": "_coordinator",
    "REASON_WITHDRAWN": "_coordinator",
    "RolloutCoordinator": "_coordinator",
    "TargetCounts": "_coordinator",
    "Evidence": "_evidence",
    "Outcome": "_evidence",
    "Speed": "_evidence",
    "name_target": "_evidence",
    "ExposureLimiter": "_exposure",
    "RolloutParticipant": "_participant",
    "Finding": "_verdict",
    "judge": "_verdict",
}


def __getattr__(name: str) -> Any:
    if name not in _LAZY_MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_LAZY_MODULES[name]}"), name)
