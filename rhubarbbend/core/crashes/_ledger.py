"""Keeps the losses of targets by what their requests held, and judges requests.

A request can crash each target that runs it, and its caller may send it again to any instance; so
can a part that many prompts hold, whatever else they hold. Every other request on those targets is
lost with them. So what crashes targets is refused. What breaks a connection may also be the
network, a target that was stopped, or the crash of another request:

- A target that is met again was not crashed (`Fate.ALIVE`).
- Losses count only one after the other: the request was sent to a target after the loss before.
- A loss counts until something shows that the target goes on. What cannot be found out is presumed
  to be an end after some time, and then takes one crash more.
- What completes somewhere does not crash targets.
- A request that holds everything that was at all the crashes is refused. Of one that holds some of
  it, the next attempt has to tell, one at a time.
- If other targets ended at the same time, one crash more has to tell.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from itertools import islice
from typing import Final

import msgspec

from rhubarbbend.core.crashes._content import Content, is_part_key
from rhubarbbend.core.crashes._losses import (
    Fate,
    Judgement,
    Loss,
    LossCounts,
    count_in_sequence,
)
from rhubarbbend.core.crashes._targets import MAX_TARGETS, LostTargets

# Causes kept, about 350 bytes each; a crash adds those in each request that the target was running.
MAX_CAUSES: Final = 20_000
# Oldest causes that are looked at for one that has lost a single target.
MAX_EVICTION_STEPS: Final = 50
# Instances see the same loss within this time of one another.
SAME_LOSS_S: Final = 0.1
# A target that was met again may turn out to have started again: the store's rows show it so much
# later at most. Until then its losses are kept.
RESTART_NOTICE_S: Final = 10.0
# How often what is too old is removed.
EXPIRY_INTERVAL_S: Final = 10.0
# A target of which nobody has found out for this long what became of it is presumed to have ended.
PRESUMPTION_S: Final = 1.5


class RefusalRules(msgspec.Struct, frozen=True):
    """When a request is refused, and for how long after its last crash.

    `limit` is the number of crashes, one after the other; it takes one more if they may have had
    another cause. `first_s` is how long a request is refused under which just so many targets have
    ended: if that was wrong, it is served again. Then one attempt at a time is on trial. With more
    targets it is refused for `repeated_s`. A part is refused for `stagger_s` longer at first, by
    which instances differ: not all of them try it again together. `sure_limit` crashes are enough
    to refuse a part for `repeated_s`, and a request even if something else was at all of them.
    """

    limit: int = 2
    sure_limit: int = 4
    first_s: float = 30.0
    repeated_s: float = 600.0
    stagger_s: float = 0.0


class CrashLedger:
    """Losses by possible cause: a request's digest, or a part of its prompt.

    Invariant: a target counts at most once for a cause.
    """

    def __init__(self, rules: RefusalRules | None = None) -> None:
        self.rules = rules or RefusalRules()
        self._losses: OrderedDict[str, dict[str, Loss]] = OrderedDict()
        self._targets = LostTargets()
        self._expired_at = -math.inf

    # Records.

    @property
    def is_empty(self) -> bool:
        """Whether nothing was lost lately, so that every request is clear."""
        return not self._losses

    def make_loss(self, content: Content, target: str, sent_at: float, lost_at: float) -> Loss:
        """Return a loss that this instance has seen itself."""
        known = (self._losses.get(cause, {}) for cause in (content.digest, *content.parts))
        before = {
            loss.target for losses in known for loss in losses.values() if loss.lost_at <= sent_at
        }
        accounts = (content.account,) if content.account else ()
        return Loss(target, sent_at, lost_at, tuple(sorted(before)), accounts)

    def record_request_loss(self, digest: str, parts: Iterable[str], loss: Loss) -> bool:
        """Record that a target was lost under a request; return whether this is new."""
        if not self.record_loss(digest, loss):
            return False
        for part in parts:
            known = self._losses.get(part, {}).get(loss.target)
            if not self.record_loss(part, loss) and known is not None:
                self._losses[part][loss.target] = known.merge(loss)
        return True

    def record_loss(self, cause: str, loss: Loss) -> bool:
        """Record that a target was lost under a cause; return whether this is new."""
        losses = self._losses.setdefault(cause, {})
        self._losses.move_to_end(cause)
        if not self._targets.record_loss(loss, losses.get(loss.target)):
            return False
        losses[loss.target] = loss
        if len(self._losses) > MAX_CAUSES:
            self._evict()
        if len(self._targets) > MAX_TARGETS:
            self._forget_targets()
        return True

    def _evict(self) -> None:
        """Remove the oldest cause that has lost one target, else the oldest one."""
        oldest = islice(self._losses.items(), MAX_EVICTION_STEPS)
        single = next((cause for cause, losses in oldest if len(losses) == 1), None)
        del self._losses[next(iter(self._losses)) if single is None else single]

    def record_end(self, target: str, is_certain: bool = False) -> bool:
        """Record that a lost target has ended; return whether that was not known.

        What `is_certain` stands against everything else: the target has started again.
        """
        return self._targets.record_end(target, is_certain)

    def record_met(self, target: str, at: float) -> bool:
        """Record that a target was running at a time; return whether a loss is explained by it."""
        return self._targets.record_met(target, at)

    def record_completion(self, cause: str, at: float) -> bool:
        """Remove the losses before a time; return whether there were any.

        At that time, a request ran to completion, or a target began to answer on a part with which
        it then went on, or was going on with an answer that it had begun before.
        """
        losses = self._losses.get(cause)
        if losses is None:
            return False
        later = {t: loss for t, loss in losses.items() if loss.lost_at > at}
        if later:
            self._losses[cause] = later
        else:
            del self._losses[cause]
        return len(later) < len(losses)

    def list_suspect_parts(self, content: Content) -> list[str]:
        """Return the parts of a request under which targets were lost."""
        return [part for part in content.parts if part in self._losses] if self._losses else []

    def get_last_loss(self, cause: str) -> float:
        """Return when a target was last lost under a cause, whatever became of it."""
        losses = self._losses.get(cause, {}).values()
        return max((loss.lost_at for loss in losses), default=-math.inf)

    def list_losses(self, now: float) -> list[tuple[str, Loss]]:
        """Return all losses that count, with their causes."""
        return [(cause, loss) for cause in self._losses for loss in self._list_valid(cause, now)]

    def list_ended(self) -> list[str]:
        """Return the lost targets that are known to have ended."""
        return self._targets.list_ended()

    def is_unexplained(self, target: str) -> bool:
        """Return whether a target was lost, and it is not known what became of it."""
        return self._targets.is_unexplained(target)

    def is_lost(self, target: str, sent_at: float) -> bool:
        """Return whether a target was lost before a time, and not met again since."""
        return self._targets.is_lost(target, sent_at)

    # Judgement.

    def judge(self, digest: str, now: float) -> Judgement:
        """Return whether a request may be sent, by its digest alone."""
        return self._judge_digest(digest, (digest,), now)

    def judge_content(self, content: Content, now: float) -> Judgement:
        """Return whether a request may be sent, and what is to be found out before."""
        return self.find_cause(content, now)[1]

    def find_cause(self, content: Content, now: float) -> tuple[str, Judgement]:
        """Return the gravest judgement on a request, and the cause that it is about."""
        if not self._losses:
            return content.digest, Judgement.CLEAR
        own = {content.digest, *content.parts}
        gravest = content.digest, self._judge_digest(content.digest, own, now)
        for part in self.list_suspect_parts(content):
            judgement = self._judge_part(part, content.account, own, now)
            if judgement.gravity > gravest[1].gravity:
                gravest = part, judgement
        return gravest

    def _judge_digest(self, digest: str, own: Collection[str], now: float) -> Judgement:
        losses = self._list_valid(digest, now)
        if not losses:
            return Judgement.CLEAR
        ended = self._select_ended(losses)
        crashes = count_in_sequence(ended)
        needed = self._compute_needed(losses, ended, crashes, own, now)
        presumed = count_in_sequence(self._select_presumed_ended(losses, now))
        if crashes >= needed or presumed > needed:
            is_refused = self._compute_left(digest, losses, now) > 0.0
            return Judgement.REFUSED if is_refused else Judgement.ON_TRIAL
        if count_in_sequence(losses) >= needed and len(losses) > len(ended):
            return Judgement.UNDECIDED
        return Judgement.ON_TRIAL if len(losses) >= self.rules.limit else Judgement.SUSPECT

    def _compute_needed(
        self, losses: list[Loss], ended: list[Loss], crashes: int, own: Collection[str], now: float
    ) -> int:
        """Return how many crashes it takes to refuse a request that has caused some, perhaps."""
        rules = self.rules
        if not rules.limit <= crashes < rules.sure_limit:
            return rules.limit
        unexplained = self._select_unexplained(own, ended, now)
        if not unexplained:
            # Something else was at all of them. The trials of the two tell them apart.
            return rules.sure_limit
        if len(unexplained) < len(ended) or self._has_other_cause(losses, ended):
            return rules.limit + 1
        return rules.limit

    def _judge_part(self, part: str, account: str, own: Collection[str], now: float) -> Judgement:
        """Return what the losses under a part say of a request that holds all causes in `own`.

        Callers name the parts themselves. So what one account has crashed says nothing of the
        requests of others until it has crashed targets under a second one.
        """
        losses = self._list_valid(part, now)
        if not losses:
            return Judgement.CLEAR
        accounts = {name for loss in losses for name in loss.accounts}
        if account and len(accounts) == 1 and account not in accounts:
            return Judgement.SUSPECT
        limit = self.rules.limit
        ended = self._select_ended(losses)
        presumed = self._select_presumed_ended(losses, now)
        if self._is_cause(losses, ended, own, now, limit) or self._is_cause(
            losses, presumed, own, now, limit + 1
        ):
            is_refused = self._compute_left(part, losses, now) > 0.0
            return Judgement.REFUSED if is_refused else Judgement.ON_TRIAL
        if len(losses) > len(ended) and self._is_cause(losses, losses, own, now, limit):
            return Judgement.UNDECIDED
        return Judgement.ON_TRIAL if len(presumed) >= limit else Judgement.SUSPECT

    def _is_cause(
        self,
        losses: list[Loss],
        ended: list[Loss],
        own: Collection[str],
        now: float,
        needed: int,
    ) -> bool:
        """Return whether a part has crashed `needed` targets if those of `ended` have ended.

        `losses` are all that count under it. A request that holds all causes in `own` is judged.
        """
        crashes = count_in_sequence(ended)
        if crashes < needed:
            return False
        if crashes == needed and self._has_other_cause(losses, ended):
            return False
        return count_in_sequence(self._select_unexplained(own, ended, now)) >= needed

    def compute_refusal_left(self, cause: str, now: float) -> float:
        """Return for how many more seconds a refused cause is refused."""
        return self._compute_left(cause, self._list_valid(cause, now), now)

    def _compute_left(self, cause: str, losses: list[Loss], now: float) -> float:
        ended = self._select_presumed_ended(losses, now)
        if not ended:
            return 0.0
        rules = self.rules
        if is_part_key(cause):
            # Several may have ended before the first refusal.
            before = ended[-2].lost_at if len(ended) > 1 else math.inf
            was_refused = ended[-1].lost_at - before >= rules.first_s
            is_repeated = was_refused or count_in_sequence(ended) >= rules.sure_limit
            refusal_s = rules.repeated_s if is_repeated else rules.first_s + rules.stagger_s
        else:
            refusal_s = rules.repeated_s if len(ended) > rules.limit else rules.first_s
        return max(0.0, ended[-1].lost_at + refusal_s - now)

    def count_crashes(self, cause: str, now: float) -> int:
        """Return the number of targets that have ended under a cause."""
        return len(self._select_ended(self._list_valid(cause, now)))

    def count_losses(self, cause: str, now: float) -> LossCounts:
        """Return the numbers of losses on which the judgement of a cause rests."""
        losses = self._list_valid(cause, now)
        ended = self._select_ended(losses)
        return LossCounts(len(losses), len(ended), count_in_sequence(losses))

    def list_undecided(self, cause: str, now: float) -> list[str]:
        """Return the targets lost under a cause of which it is not known what became of them."""
        losses = self._list_valid(cause, now)
        return [loss.target for loss in losses if self._targets.get_fate(loss) is Fate.UNKNOWN]

    def _list_valid(self, cause: str, now: float) -> list[Loss]:
        """Return the losses that a cause may have led to, in the order of their times.

        Those of one under which several targets were lost count until it is cleared, or evicted.
        """
        valid = [
            loss
            for loss in self._losses.get(cause, {}).values()
            if self._targets.get_fate(loss) is not Fate.ALIVE and self._targets.was_running(loss)
        ]
        if len(valid) < self.rules.limit:
            valid = [loss for loss in valid if now - loss.lost_at < self.rules.repeated_s]
        return sorted(valid, key=lambda loss: loss.lost_at)

    def _select_ended(self, losses: list[Loss]) -> list[Loss]:
        return [loss for loss in losses if self._targets.get_fate(loss) is Fate.ENDED]

    def _select_presumed_ended(self, losses: list[Loss], now: float) -> list[Loss]:
        """Return the losses of targets that have ended, or are presumed to."""
        return [
            loss
            for loss in losses
            if now - loss.lost_at >= PRESUMPTION_S or self._targets.get_fate(loss) is Fate.ENDED
        ]

    def _select_unexplained(
        self, own: Collection[str], ended: list[Loss], now: float
    ) -> list[Loss]:
        """Return the losses of targets at which nothing that is not `own` had lost as many.

        What it lost later changes nothing.
        """
        targets = {loss.target for loss in ended}
        until = max(loss.lost_at for loss in ended) + SAME_LOSS_S
        explained: set[str] = set()
        for other, losses in self._losses.items():
            if len(losses) < len(targets) or other in own or targets.isdisjoint(losses):
                continue
            valid = self._list_valid(other, now)
            others = {loss.target for loss in valid if loss.lost_at <= until}
            if len(others) >= len(targets):
                explained |= others
        return [loss for loss in ended if loss.target not in explained]

    def _has_other_cause(self, losses: list[Loss], ended: list[Loss]) -> bool:
        """Return whether targets were lost together with these that did not run the request."""
        return self._targets.has_lost_others({loss.target for loss in losses}, ended)

    # Expiry.

    def expire(self, now: float) -> None:
        """Remove what is too old to count, every `EXPIRY_INTERVAL_S`."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for cause, losses in list(self._losses.items()):
            is_recent = any(now - loss.lost_at < RESTART_NOTICE_S for loss in losses.values())
            if not is_recent and not self._list_valid(cause, now):
                del self._losses[cause]
        self._forget_targets()

    def _forget_targets(self) -> None:
        self._targets.forget_all_but({t for losses in self._losses.values() for t in losses})
