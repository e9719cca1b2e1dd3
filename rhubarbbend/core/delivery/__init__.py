"""Delivery: decides what follows an attempt and what the caller is told of its request."""

from rhubarbbend.core.delivery._silence import LatencyTracker, SilenceTimeouts
from rhubarbbend.core.delivery._steps import (
    AttemptOutcome,
    Progress,
    Step,
    compute_verdict,
    decide_step,
)

__all__ = [
    "AttemptOutcome",
    "LatencyTracker",
    "Progress",
    "SilenceTimeouts",
    "Step",
    "decide_step",
    "compute_verdict",
]
