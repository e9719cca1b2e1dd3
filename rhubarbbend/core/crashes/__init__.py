"""Judges which requests, and which parts of prompts, crash targets; for both interfaces."""

from rhubarbbend.core.crashes._content import BEGIN_S, Content, is_part_key, make_part_key
from rhubarbbend.core.crashes._ledger import CrashLedger, RefusalRules
from rhubarbbend.core.crashes._losses import Fate, Judgement, Loss, LossCounts

__all__ = [
    "BEGIN_S",
    "Content",
    "CrashLedger",
    "Fate",
    "Judgement",
    "Loss",
    "LossCounts",
    "RefusalRules",
    "is_part_key",
    "make_part_key",
]
