"""Capacity: what a target can do now, by its own reports and by what attempts took there."""

from rhubarbbend.core.capacity._first_event import FirstEventEstimator, SentWork
from rhubarbbend.core.capacity._reports import ReportedLoad
from rhubarbbend.core.capacity._service_times import NO_PROMPT, UnreadTokens
from rhubarbbend.core.capacity._tracker import (
    USUAL_PACE,
    CapacityTracker,
    is_valid_pace,
    is_valid_slots,
)

__all__ = [
    "NO_PROMPT",
    "USUAL_PACE",
    "CapacityTracker",
    "FirstEventEstimator",
    "ReportedLoad",
    "SentWork",
    "UnreadTokens",
    "is_valid_pace",
    "is_valid_slots",
]
