"""One instance's part in a roll-out: which version a request goes to, and what came of it."""

from __future__ import annotations

from random import Random
from typing import Final

from rhubarbbend.core.catalog import Route
from rhubarbbend.core.directory import Target
from rhubarbbend.core.rollouts._evidence import Evidence, Outcome, Speed, name_target
from rhubarbbend.core.rollouts._exposure import ExposureLimiter
from rhubarbbend.core.rollouts._plan import compute_reserve
from rhubarbbend.core.rollouts._types import (
    TO_CANDIDATE,
    TO_STABLE,
    Assignment,
    AttemptTiming,
    ExposureOptions,
    RolloutOrder,
    RolloutPhase,
    Ruling,
)
from rhubarbbend.core.rollouts._verdict import judge

# An instance that has heard nothing from a coordinator for this long sends nothing more to the
# candidate: it would not learn that the candidate was found bad.
RULING_TTL_S: Final = 2.0
# A request that cannot be repeated waits for the success if that is no further away than this,
# instead of being lost with the stable targets, and then this long for it to be recorded.
MAX_HOLD_S: Final = 0.25
RECORDING_TIME_S: Final = 0.15
# An engine takes as long before it starts to read a prompt as for reading about this many tokens.
READING_BASE_TOKENS: Final = 256
# Chats are selected for the candidate by their hash. More are selected than the share needs, since
# how many requests they send varies; the limiter keeps the share.
CHAT_SELECTION_FRACTION: Final = 0.2


class RolloutParticipant:
    """Assigns requests to the stable version or the candidate.

    Invariant: no request is assigned to the candidate without a recent ruling, or after this
    instance has found it bad by itself.
    """

    def __init__(
        self,
        order: RolloutOrder,
        options: ExposureOptions,
        instances: int,
        was_running: bool,
        random: Random,
        now: float,
    ) -> None:
        self.order = order
        self.first_seen_at = now
        self.evidence = Evidence()
        # Grows with each change of the evidence.
        self.sequence = 0
        self.ruling: Ruling | None = None
        self._heard_at = now
        self._random = random
        reserve = compute_reserve(order.duration_s)
        self._limiter = ExposureLimiter(options, instances, was_running, reserve, random)
        self._is_stopped = False

    @property
    def is_stopped(self) -> bool:
        """Whether the candidate gets nothing more from this instance."""
        return self._is_stopped

    @property
    def was_told_to_stop(self) -> bool:
        """Whether a coordinator has ruled that the candidate is rolled back."""
        return self.ruling is not None and self.ruling.phase is RolloutPhase.ROLLED_BACK

    def record_ruling(self, ruling: Ruling, now: float) -> None:
        """Record what the coordinator says."""
        if ruling.revision != self.order.revision or self.was_told_to_stop:
            return
        self.ruling = ruling
        self._heard_at = now
        self._is_stopped = self._is_stopped or ruling.phase is RolloutPhase.ROLLED_BACK

    def compute_age(self, now: float) -> float:
        """Return for how many seconds the order is known to be in force."""
        age_s = now - self.first_seen_at
        if self.ruling is not None:
            age_s = max(age_s, self.ruling.age_s + now - self._heard_at)
        return age_s

    def assign(
        self, route: str, idempotent: bool, fraction: float | None, now: float
    ) -> Assignment:
        """Return to which version a caller's request goes, and count it.

        `fraction`, from 0 to 1, is the hash of its prompt, None if it has none. The requests of a
        chat stay with one version.
        """
        self.evidence.record_request(route, idempotent)
        self.sequence += 1
        self._limiter.record_request()
        if self._is_stopped or self.ruling is None or now - self._heard_at >= RULING_TTL_S:
            return TO_STABLE
        if self._has_moved(route, now):
            is_candidate = self._limiter.has_credit()
        else:
            passed = min(1.0, self.compute_age(now) / self.order.duration_s)
            has_credit = self._limiter.has_trial_credit(self.ruling.trial_fraction, passed)
            is_candidate = has_credit and self._is_selected(route, fraction)
        if not is_candidate:
            return Assignment(False, self._compute_hold(route, idempotent, now))
        self._limiter.spend()
        self.evidence.exposed += 1
        return TO_CANDIDATE

    def try_admit_again(self) -> bool:
        """Count a stream that goes on at the candidate; return whether the bound allows it."""
        if self._is_stopped or not self._limiter.has_credit():
            return False
        self._limiter.spend()
        self.evidence.exposed += 1
        self.sequence += 1
        return True

    def has_shifted(self, route: str, now: float) -> bool:
        """Return whether requests of a route go to the candidate rather than the stable version."""
        return self.ruling is not None and not self._is_stopped and self._has_moved(route, now)

    def expects_success(self, now: float) -> bool:
        """Return whether the stable targets may have ended, although that is not recorded yet."""
        ruling = self.ruling
        if ruling is None or self._is_stopped:
            return False
        return self.compute_age(now) >= ruling.succeed_at_s

    def record_attempt(
        self, route: Route, target: Target, failed: bool, timing: AttemptTiming
    ) -> None:
        """Record how an attempt at a target of either version ended."""
        is_candidate = target.version == self.order.to_version
        name = name_target(target.zone, target.id) if is_candidate else None
        speeds = {} if failed else _measure_speeds(timing)
        outcome = Outcome(failed, max(0.0, timing.ended_at - timing.sent_at), speeds)
        self.record_outcome(route.name, route.idempotent, name, outcome)

    def record_outcome(
        self, route: str, idempotent: bool, candidate: str | None, outcome: Outcome
    ) -> None:
        """Record how a request ended at a target.

        `candidate` names the target, as `name_target` does, if it has the candidate version.
        """
        if candidate is None:
            self.evidence.record_stable(route, idempotent, outcome)
        else:
            self.evidence.record_candidate(route, idempotent, candidate, outcome)
            self._is_stopped = self._is_stopped or judge(self.evidence) is not None
        self.sequence += 1

    def _has_moved(self, route: str, now: float) -> bool:
        # The plan is part of each ruling, also of those before the first route moves: the next one
        # may come after a short lead has begun.
        ruling = self.ruling
        if ruling is None or route not in ruling.leads:
            return False
        return self.compute_age(now) >= ruling.succeed_at_s - ruling.leads[route]

    def _compute_hold(self, route: str, idempotent: bool, now: float) -> float:
        """Return how long a request has to wait that would be lost with the stable targets.

        It cannot be repeated, and there is no time left to answer it before they end.
        """
        if idempotent or self.ruling is None or not self._has_moved(route, now):
            return 0.0
        left_s = self.ruling.succeed_at_s - self.compute_age(now)
        if not -RECORDING_TIME_S <= left_s <= MAX_HOLD_S:
            # Later than that the store is away, and the stable targets still serve.
            return 0.0
        return max(0.0, left_s) + RECORDING_TIME_S

    def _is_selected(self, route: str, fraction: float | None) -> bool:
        """Return whether a request is one of those that the trial credit is for.

        Each route contributes the same number of requests, so that rare ones are tested too.
        """
        routes = self.evidence.routes
        requests = sum(r.requests for r in routes.values())
        fair_part = requests / len(routes) / routes[route].requests
        if fraction is None:
            return self._random.random() < fair_part
        return fraction < CHAT_SELECTION_FRACTION * fair_part


def _measure_speeds(timing: AttemptTiming) -> dict[Speed, float]:
    """Return by which measures of speed a complete answer can be compared, in seconds."""
    first_event_at = timing.first_event_at
    if first_event_at is None:
        return {Speed.RESPONSE: timing.ended_at - timing.sent_at}
    tokens = timing.unread_tokens + READING_BASE_TOKENS
    speeds = {Speed.READING: (first_event_at - timing.sent_at) / tokens}
    pauses = timing.event_count - 1
    if pauses > 0:
        speeds[Speed.PAUSE] = (timing.ended_at - first_event_at) / pauses
    return speeds
