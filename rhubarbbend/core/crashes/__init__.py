"""Judges which requests, and which parts of prompts, crash targets; for both interfaces."""

from rhubarbbend.core.crashes._content import BEGIN_S, Content, is_part_key, make_part_key
from rhubarbbend.core.crashes._ledger import CrashLedger, RefusalRules
from rhubarbbend.core.crashes._losses import Fate, Judgement, Loss, LossCounts
from rhubarbbend.core.crashes._trials import TrialTable, list_coordinators

__all__ = [
    "BEGIN_S",
    "Content",
    "CrashLedger",
    "Fate",
    "Judgement",
    "Loss",
    "LossCounts",
    "RefusalRules",
    "TrialTable",
    "is_part_key",
    "list_coordinators",
    "make_part_key",
]
