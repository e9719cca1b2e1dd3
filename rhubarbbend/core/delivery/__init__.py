"""Delivery: decides what follows an attempt and what the caller is told of its request."""

from rhubarbbend.core.delivery._crashes import CrashBook
from rhubarbbend.core.delivery._patience import PaceBook, SilenceTimeouts
from rhubarbbend.core.delivery._steps import (
    AttemptEnd,
    Progress,
    Step,
    decide_step,
    judge,
)

__all__ = [
    "AttemptEnd",
    "CrashBook",
    "PaceBook",
    "Progress",
    "SilenceTimeouts",
    "Step",
    "decide_step",
    "judge",
]
