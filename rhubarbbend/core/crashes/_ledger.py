"""Keeps the losses of targets by the requests that they were running, and judges the requests.

A request can crash each target that runs it, and its caller may send it again to any instance.
Every other request on those targets is lost with them, so such a request is refused. What breaks a
connection may also be the network, a target that was stopped, or the crash of another request:

- A target that is met again was not crashed (`Fate.ALIVE`).
- Losses count only one after the other: the request was sent to a target after the loss before.
- A request that completes somewhere does not crash targets.
- If other requests were at the same crashes, or other targets ended at the same time, one crash
  more has to tell.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final

import msgspec

from rhubarbbend.core.crashes._losses import Fate, Judgement, Loss, count_in_sequence

# Digests kept, about 300 bytes each; a crash adds one for each request that the target was running.
MAX_DIGESTS: Final = 2_000
# Targets that are kept although no loss refers to them any longer, at most.
MAX_TARGETS: Final = 1_000
# Targets that ended within this time of one another may have done so for one reason.
TOGETHER_S: Final = 0.4
# A target that was met again may turn out to have started again: the store's rows show it so much
# later at most. Until then its losses are kept.
RESTART_NOTICE_S: Final = 10.0
# How often what is too old is removed.
EXPIRY_INTERVAL_S: Final = 10.0
# For this long after its last loss, a request waits for what became of the targets.
MAX_UNDECIDED_S: Final = 1.5


class RefusalRules(msgspec.Struct, frozen=True):
    """When a request is refused, and for how long after its last crash.

    `limit` is the number of crashes, one after the other; it takes one more if they may have had
    another cause. `first_s` is how long a request is refused that has just reached it: if that was
    wrong, it is served again. One that crashes a target then is refused for `repeated_s`.
    """

    limit: int = 2
    first_s: float = 30.0
    repeated_s: float = 600.0


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


class CrashLedger:
    """Losses by request digest. Invariant: a target counts at most once for a digest."""

    def __init__(self, rules: RefusalRules | None = None) -> None:
        self.rules = rules or RefusalRules()
        self._losses: OrderedDict[str, dict[str, Loss]] = OrderedDict()
        self._targets: dict[str, _LostTarget] = {}
        self._expired_at = -math.inf

    def make_loss(self, digest: str, target: str, sent_at: float, lost_at: float) -> Loss:
        """Return a loss that this instance has seen itself."""
        before = self._losses.get(digest, {}).values()
        follows = tuple(loss.target for loss in before if loss.lost_at <= sent_at)
        return Loss(target, sent_at, lost_at, follows)

    def record_loss(self, digest: str, loss: Loss) -> bool:
        """Record that a target was lost under a request; return whether this is new."""
        losses = self._losses.setdefault(digest, {})
        self._losses.move_to_end(digest)
        known = losses.get(loss.target)
        target = self._targets.setdefault(loss.target, _LostTarget(loss.lost_at))
        if known is not None and target.met_at < known.lost_at:
            # Reported by another instance, or a path accepts connections for a target that is gone.
            return False
        losses[loss.target] = loss
        target.record_loss(loss.lost_at)
        if len(self._losses) > MAX_DIGESTS:
            self._losses.popitem(last=False)
        if len(self._targets) > MAX_TARGETS:
            self._forget_targets()
        return True

    def record_end(self, target: str, is_certain: bool = False) -> bool:
        """Record that a lost target has ended; return whether that was not known.

        What `is_certain` stands against everything else: the target has started again.
        """
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

    def record_completion(self, digest: str, completed_at: float) -> bool:
        """Remove the losses before a request ran to completion; return whether there were any."""
        losses = self._losses.get(digest)
        if losses is None:
            return False
        later = {t: loss for t, loss in losses.items() if loss.lost_at > completed_at}
        if later:
            self._losses[digest] = later
        else:
            del self._losses[digest]
        return len(later) < len(losses)

    def judge(self, digest: str, now: float) -> Judgement:
        """Return whether a request may be sent, and what is to be found out before."""
        losses = self._list_valid(digest, now)
        if not losses:
            return Judgement.CLEAR
        ended = [loss for loss in losses if self._get_fate(loss) is Fate.ENDED]
        crashes = count_in_sequence(ended)
        needed = self.rules.limit
        if crashes == needed and self._is_ambiguous(digest, losses, ended, now):
            needed += 1
        if crashes >= needed:
            is_refused = now - ended[-1].lost_at < self._get_refusal_s(crashes)
            return Judgement.REFUSED if is_refused else Judgement.SUSPECT
        is_recent = now - losses[-1].lost_at < MAX_UNDECIDED_S
        if count_in_sequence(losses) >= needed and is_recent:
            return Judgement.UNDECIDED
        return Judgement.ON_TRIAL if len(ended) >= self.rules.limit else Judgement.SUSPECT

    def compute_refusal_left(self, digest: str, now: float) -> float:
        """Return for how many more seconds a refused request is refused."""
        losses = self._list_valid(digest, now)
        ended = [loss for loss in losses if self._get_fate(loss) is Fate.ENDED]
        if not ended:
            return 0.0
        refusal_s = self._get_refusal_s(count_in_sequence(ended))
        return max(0.0, ended[-1].lost_at + refusal_s - now)

    def _get_refusal_s(self, crashes: int) -> float:
        rules = self.rules
        return rules.repeated_s if crashes > rules.limit else rules.first_s

    def _is_ambiguous(self, digest: str, losses: list[Loss], ended: list[Loss], now: float) -> bool:
        """Return whether the ends of targets may have had another cause than the request.

        `losses` are all of the request, `ended` those of targets that have ended.
        """
        own = {loss.target for loss in losses}
        return self._has_companion(digest, ended, now) or self._has_other_cause(own, ended)

    def count_crashes(self, digest: str, now: float) -> int:
        """Return the number of targets that have ended under a request."""
        losses = self._list_valid(digest, now)
        return sum(self._get_fate(loss) is Fate.ENDED for loss in losses)

    def list_undecided(self, digest: str, now: float) -> list[str]:
        """Return the targets lost under a request of which it is not known what became of them."""
        losses = self._list_valid(digest, now)
        return [loss.target for loss in losses if self._get_fate(loss) is Fate.UNKNOWN]

    def list_losses(self, now: float) -> list[tuple[str, Loss]]:
        """Return all losses that count, with their digests."""
        return [(digest, loss) for digest in self._losses for loss in self._list_valid(digest, now)]

    def list_ended(self) -> list[str]:
        """Return the lost targets that are known to have ended."""
        return [target for target, record in self._targets.items() if record.has_ended]

    def is_lost(self, target: str, sent_at: float) -> bool:
        """Return whether a target was lost before a time, and not met again since."""
        record = self._targets.get(target)
        return record is not None and record.met_at < record.first_lost_at < sent_at

    def expire(self, now: float) -> None:
        """Remove what is too old to count, every `EXPIRY_INTERVAL_S`."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for digest, losses in list(self._losses.items()):
            is_recent = any(now - loss.lost_at < RESTART_NOTICE_S for loss in losses.values())
            if not is_recent and not self._list_valid(digest, now):
                del self._losses[digest]
        self._forget_targets()

    def _list_valid(self, digest: str, now: float) -> list[Loss]:
        """Return the losses of a digest that may be its doing, in the order of their times.

        A request that was sent after a target is known to have been lost was not running there: a
        path may still accept connections for a target that is gone.
        """
        valid = [
            loss
            for loss in self._losses.get(digest, {}).values()
            if self._get_fate(loss) is not Fate.ALIVE
            and loss.sent_at <= self._targets[loss.target].first_lost_at
            and now - loss.lost_at < self.rules.repeated_s
        ]
        return sorted(valid, key=lambda loss: loss.lost_at)

    def _get_fate(self, loss: Loss) -> Fate:
        record = self._targets.get(loss.target)
        return Fate.ALIVE if record is None else record.get_fate(loss.lost_at)

    def _has_companion(self, digest: str, ended: list[Loss], now: float) -> bool:
        """Return whether another request was running at each of the targets that ended."""
        targets = {loss.target for loss in ended}
        return any(
            targets <= {loss.target for loss in self._list_valid(other, now)}
            for other, losses in self._losses.items()
            if other != digest and targets <= losses.keys()
        )

    def _has_other_cause(self, own: set[str], ended: list[Loss]) -> bool:
        """Return whether targets were lost together with these that did not run the request."""
        others = [
            record.first_lost_at
            for target, record in self._targets.items()
            if target not in own and record.met_at < record.first_lost_at
        ]
        return any(abs(at - loss.lost_at) < TOGETHER_S for at in others for loss in ended)

    def _forget_targets(self) -> None:
        lost = {target for losses in self._losses.values() for target in losses}
        self._targets = {t: record for t, record in self._targets.items() if t in lost}
