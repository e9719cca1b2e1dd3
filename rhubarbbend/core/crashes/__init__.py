"""Judges which requests crash the targets that run them; for both interfaces."""

from rhubarbbend.core.crashes._ledger import CrashLedger, RefusalRules
from rhubarbbend.core.crashes._losses import Fate, Judgement, Loss

__all__ = ["CrashLedger", "Fate", "Judgement", "Loss", "RefusalRules"]
