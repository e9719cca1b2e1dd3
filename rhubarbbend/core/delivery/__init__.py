"""Delivery: what follows an attempt, and what a caller may be told of its request."""

from rhubarbbend.core.delivery._crashes import CrashBook
from rhubarbbend.core.delivery._patience import PaceBook, Patience
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
    "Patience",
    "Progress",
    "Step",
    "decide_step",
    "judge",
]
