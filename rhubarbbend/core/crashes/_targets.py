"""Starts of targets that were lost under requests, and what became of them."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import Final

from rhubarbbend.core.crashes._losses import Fate, Loss

# Targets that are kept although no loss refers to them any longer, at most.
MAX_TARGETS: Final = 1_000
# Targets that ended within this time of one another may have done so for one reason.
TOGETHER_S: Final = 0.4


class _LostTarget:
    """One start of a target that was lost, and may have been met again since."""

    __slots__ = ("first_lost_at", "met_at", "has_ended", "is_certain")

    def __init__(self, lost_at: float) -> None:
        # When it was first lost since it was last met.
        self.first_lost_at = lost_at
        # The latest time at which it is known to have been running.
        self.met_at = -math.inf
        self.has_ended = False
        # Whether its end stands against everything else.
        self.is_certain = False

    def record_loss(self, lost_at: float) -> None:
        if lost_at <= self.met_at:
            return
        is_first = self.first_lost_at <= self.met_at
        self.first_lost_at = lost_at if is_first else min(self.first_lost_at, lost_at)

    def get_fate(self, lost_at: float) -> Fate:
        """Return what became of the target after a loss."""
        if self.has_ended and (self.is_certain or lost_at > self.met_at):
            return Fate.ENDED
        return Fate.ALIVE if lost_at <= self.met_at else Fate.UNKNOWN


class LostTargets:
    """Lost targets by the id of their start."""

    def __init__(self) -> None:
        self._targets: dict[str, _LostTarget] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def record_loss(self, loss: Loss, known: Loss | None) -> bool:
        """Record a loss of a target; return whether it tells more than one that is `known`."""
        target = self._targets.setdefault(loss.target, _LostTarget(loss.lost_at))
        if known is not None and target.met_at < known.lost_at:
            # Reported by another instance, or a path accepts connections for a target that is gone.
            return False
        target.record_loss(loss.lost_at)
        return True

    def record_end(self, target: str, is_certain: bool) -> bool:
        """Record that a lost target has ended; return whether that was not known."""
        record = self._targets.get(target)
        if record is None or (record.has_ended and record.is_certain >= is_certain):
            return False
        record.has_ended = True
        record.is_certain = is_certain
        return True

    def record_met(self, target: str, at: float) -> bool:
        """Record that a target was running at a time; return whether a loss is explained by it."""
        record = self._targets.get(target)
        if record is None or at <= record.met_at:
            return False
        is_explained = record.met_at < record.first_lost_at <= at
        record.met_at = at
        if not record.is_certain:
            record.has_ended = False
        return is_explained

    def get_fate(self, loss: Loss) -> Fate:
        """Return what became of the target of a loss."""
        record = self._targets.get(loss.target)
        return Fate.ALIVE if record is None else record.get_fate(loss.lost_at)

    def was_running(self, loss: Loss) -> bool:
        """Return whether a target was not yet known to be lost when the request was sent to it.

        A path may still accept connections for a target that is gone.
        """
        return loss.sent_at <= self._targets[loss.target].first_lost_at

    def is_lost(self, target: str, sent_at: float) -> bool:
        """Return whether a target was lost before a time, and not met again since."""
        record = self._targets.get(target)
        return record is not None and record.met_at < record.first_lost_at < sent_at

    def is_unexplained(self, target: str) -> bool:
        """Return whether a target was lost, and it is not known what became of it."""
        record = self._targets.get(target)
        return record is not None and record.get_fate(record.first_lost_at) is Fate.UNKNOWN

    def list_ended(self) -> list[str]:
        """Return the lost targets that are known to have ended."""
        return [target for target, record in self._targets.items() if record.has_ended]

    def has_lost_others(self, own: Collection[str], losses: Iterable[Loss]) -> bool:
        """Return whether targets that are not `own` were lost together with those of `losses`."""
        others = [
            record.first_lost_at
            for target, record in self._targets.items()
            if target not in own and record.met_at < record.first_lost_at
        ]
        return any(abs(at - loss.lost_at) < TOGETHER_S for loss in losses for at in others)

    def forget_all_but(self, kept: Collection[str]) -> None:
        """Remove the targets that are not to be kept."""
        self._targets = {t: record for t, record in self._targets.items() if t in kept}
