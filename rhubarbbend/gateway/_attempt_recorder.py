"""Records what attempts tell of their targets: of their health, and of a version on trial."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbbend import codes
from rhubarbbend.core.delivery import AttemptOutcome
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement import Choice, Prompt
from rhubarbbend.core.rollouts import AttemptTiming
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Clock, State


class AttemptRecorder:
    """Records the ends of attempts."""

    def __init__(self, state: State, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        # Called when a request ran to completion; set by the instance.
        self.on_answer: Callable[[OpenRequest, Target, float], None] = lambda *_: None
        # Called when another target answered at an address of a target; set by the instance.
        self.on_misdirected: Callable[[Target, Address], None] = lambda target, address: None

    def record_sent(self, request: OpenRequest, choice: Choice, now: float) -> None:
        """Record that a request was sent, for the estimates of times until a first event."""
        estimator = self._state.placement.estimator
        names = request.service.name, request.route.name
        request.sent_work = estimator.record_sent(
            *names, choice.target, choice.load, choice.unread, now
        )

    def record_begun(self, request: OpenRequest, target: Target) -> None:
        """Record that the first event of a stream has come."""
        if request.sent_work is not None:
            estimator = self._state.placement.estimator
            estimator.record_first_event(request.sent_work, self._clock())

    def record_left(self, request: OpenRequest) -> None:
        """Record that an attempt has ended, however it did."""
        if request.sent_work is not None:
            self._state.placement.estimator.record_left(request.sent_work)
            request.sent_work = None

    def record_health(
        self, target: Target, request: OpenRequest, outcome: AttemptOutcome, address: Address
    ) -> None:
        """Record what an attempt at an address of a target tells of the target's health."""
        now = self._clock()
        health = self._state.health
        if outcome is AttemptOutcome.MISDIRECTED:
            self.on_misdirected(target, address)
            return
        # Engines get many requests of each instance, and tell more by the events of their streams.
        is_shared = request.service.engine is None
        failed = outcome is not AttemptOutcome.ANSWERED
        health.record_response(target.id, failed, now, is_shared)
        if outcome is AttemptOutcome.ANSWERED:
            # How long the answer took shows how a slow caller reads, not how the target works.
            if request.sent_work is not None and not request.exchange.buffer.was_slow:
                estimator = self._state.placement.estimator
                estimator.record_answered(request.sent_work, request.relay.event_count, now)
            self.on_answer(request, target, now)

    def record_evidence(
        self, request: OpenRequest, choice: Choice, outcome: AttemptOutcome
    ) -> None:
        """Count an attempt as evidence for or against the version of its target."""
        if outcome in (AttemptOutcome.REJECTED, AttemptOutcome.MISDIRECTED):
            return
        if request.exchange.buffer.was_slow:
            # How long the answer took shows how the caller reads, not how the version works.
            return
        self._count_attempt(request, choice, outcome is not AttemptOutcome.ANSWERED)

    def record_unfinished(self, request: OpenRequest, choice: Choice) -> None:
        """Count an attempt that ended with its request's deadline, or when the caller left.

        It counts as failed only if it had taken longer than its objective by then, unless the
        caller was waited for.
        """
        if request.exchange.ended_because is not None or request.exchange.buffer.was_slow:
            return
        taken_s = self._clock() - request.sent_at
        if taken_s > request.route.objective and request.sent_at >= request.chosen_at:
            self._count_attempt(request, choice, failed=True)

    def _count_attempt(self, request: OpenRequest, choice: Choice, failed: bool) -> None:
        participant = request.version.participant
        target = choice.target
        now = self._clock()
        if participant is None or choice.cold or target.is_cold(now):
            # A target in its cold start is slow, whichever version it has.
            return
        was_stopped = participant.is_stopped
        timing = AttemptTiming(
            request.sent_at,
            now,
            request.first_event_at,
            request.relay.event_count,
            request.unread_tokens,
        )
        participant.record_attempt(request.route, target, failed, timing)
        if failed and target.version == participant.order.to_version:
            self._state.metrics.increment_counter(codes.ROLLOUT_CANDIDATE_FAILED)
        if participant.is_stopped and not was_stopped:
            self._state.event_log.write(
                "rollout_stopped_here", now, service=request.service.name, target=target.id
            )

    def count_unread_tokens(self, prompt: Prompt, target: Target, now: float) -> int:
        """Return how many tokens of a prompt a target has to read, as far as is known."""
        tokens = sum(part.tokens for part in prompt.parts)
        is_cached = self._state.placement.has_cached(prompt, target, now)
        return tokens - prompt.shared_tokens if is_cached else tokens
