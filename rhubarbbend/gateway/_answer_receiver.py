"""Receives the heads of targets' answers, and records what they say of the target itself."""

from __future__ import annotations

import itertools
import math
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.capacity import ReportedLoad
from rhubarbbend.core.delivery import LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._alternatives import Alternatives
from rhubarbbend.gateway._detour_messages import LEAVING_HEADER
from rhubarbbend.gateway._interfaces import TargetProtocol, TargetResponseHead
from rhubarbbend.gateway._liveness import StreamTimeoutPolicy, TargetLivenessMonitor
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    EndlessAnswer,
    HttpFailure,
    Response,
    SendStage,
    SilenceClock,
)

# The least time that a silent target is waited for.
MIN_HEAD_TIMEOUT_S: Final = 0.02
# Answers to other requests that are discarded before one attempt is given up.
MAX_STRAY_ANSWERS: Final = 8
# Progress time-out for discarding an answer that does not belong to the current request.
STRAY_ANSWER_TIMEOUT_S: Final = 0.5


class AnswerReceiver:
    """Receives answers. Invariant: a head that is returned belongs to the request."""

    def __init__(
        self,
        state: State,
        target_protocol: TargetProtocol,
        liveness: TargetLivenessMonitor,
        latencies: LatencyTracker,
        alternatives: Alternatives,
        clock: Clock,
    ) -> None:
        self._state = state
        self._target_protocol = target_protocol
        self._liveness = liveness
        self._latencies = latencies
        self._alternatives = alternatives
        self._clock = clock

    async def receive_head(
        self, request: OpenRequest, target: Target, connection: Connection
    ) -> TargetResponseHead:
        """Return the head of the answer to this request.

        Answers that arrive before it and belong to other requests are discarded.
        """
        for stray_count in itertools.count():
            response = await self._receive_next_head(request, target, connection)
            answer = self._target_protocol.read_response_head(response)
            self._record_notices(request, target, answer)
            if _is_answer_to(answer, request.id):
                break
            self._state.metrics.increment_counter(codes.WRONG_ID)
            self._state.event_log.write(
                "stray_answer",
                self._clock(),
                id=request.id,
                target=target.id,
                carried=answer.request,
            )
            if not answer.request:
                raise HttpFailure(SendStage.RESPONSE, "the answer carries no request id")
            if stray_count >= MAX_STRAY_ANSWERS:
                raise EndlessAnswer(SendStage.RESPONSE, "too many answers to other requests")
            await connection.discard_response(STRAY_ANSWER_TIMEOUT_S)
        was_accepted = answer.status < 500 and not (answer.was_not_executed or answer.misdirected)
        self._state.pauses.record_end(target.id, request.id, was_accepted)
        if answer.load is not None:
            self._record_load_report(request, target, answer.load)
        return answer

    def _record_notices(
        self, request: OpenRequest, target: Target, answer: TargetResponseHead
    ) -> None:
        """Record what an answer of a target says of the requests that may follow."""
        now = self._clock()
        if answer.misdirected and _is_answer_to(answer, request.id):
            # Another target speaks of itself.
            return
        if answer.pause_s is not None:
            self._state.metrics.increment_counter(codes.TARGET_PAUSES)
            self._state.pauses.record_pause(target.id, answer.pause_s, self._state.random, now)
        if answer.request == request.id:
            self._record_brittle(request, target, answer, now)
        if answer.is_leaving and request.is_detour:
            request.exchange.extra_headers.append((LEAVING_HEADER, target.id.encode()))
        if answer.is_leaving and self._state.registry.record_leaving(target):
            self._state.metrics.increment_counter(codes.TARGETS_LEAVING)
            self._state.event_log.write("target_leaving", now, target=target.id, source="answer")

    def _record_brittle(
        self, request: OpenRequest, target: Target, answer: TargetResponseHead, now: float
    ) -> None:
        """Record how many rejections a target bears, and whether this is one of them."""
        brittle = self._state.brittle
        brittle.record_answer(request.service.name, answer.brittle_per_s, now)
        if answer.brittle_per_s is not None and answer.was_not_executed:
            has_peer_counts = self._state.has_peer_counts(request.service, now)
            # The request that was rejected is not one that the target holds.
            held = self._state.loads.estimate(target.id, has_peer_counts, now) - 1.0
            self._state.metrics.increment_counter(codes.BRITTLE_REJECTIONS)
            brittle.record_rejection(
                request.service.name,
                target.id,
                target.slots,
                answer.brittle_per_s,
                held,
                now,
            )

    def _record_load_report(self, request: OpenRequest, target: Target, load: ReportedLoad) -> None:
        """Record the load that a target reports, and count by how much it was underestimated."""
        now = self._clock()
        has_peer_counts = self._state.has_peer_counts(request.service, now)
        underestimate = load.held - round(
            self._state.loads.estimate(target.id, has_peer_counts, now)
        )
        self._state.metrics.increment_counter(codes.LOAD_REPORTS_IN_ANSWERS)
        self._state.metrics.increment_counter(codes.LOAD_UNDERESTIMATED, max(0, underestimate))
        self._state.loads.record_report(target.id, load.held, now, load)

    async def _receive_next_head(
        self, request: OpenRequest, target: Target, connection: Connection
    ) -> Response:
        """Return the next response head, or raise `HttpFailure` if the target is silent too long.

        A request that cannot be retried at another target waits until its own deadline ends it.
        """
        if not request.can_retry_elsewhere:
            return await connection.receive_head(request.compute_backstop_timeout(self._clock()))
        timeout_policy = self.make_timeout_policy(request, target)
        started_at = self._clock()
        silence = SilenceClock()
        while True:
            remaining = timeout_policy.compute_remaining(silence.measure(started_at, self._clock()))
            timeout = max(remaining, MIN_HEAD_TIMEOUT_S)
            silence.check_at = self._clock() + timeout
            try:
                return await connection.receive_head(timeout)
            except HttpFailure as failure:
                # The operating system also reports a time-out when it gives up a connection; that
                # connection is closed.
                is_silent = failure.reason == REASON_TIMEOUT and not connection.closed
                if not is_silent:
                    raise
                silent_s = silence.measure(started_at, self._clock())
                silence.check_at = math.inf
                if timeout_policy.compute_remaining(silent_s) <= 0.0:
                    raise

    def make_timeout_policy(self, request: OpenRequest, target: Target) -> StreamTimeoutPolicy:
        """Return the time-outs of one attempt at a target."""
        return StreamTimeoutPolicy(
            request, target, self._liveness, self._latencies, self._alternatives, self._clock
        )


def _is_answer_to(answer: TargetResponseHead, request: str) -> bool:
    """Return whether an answer belongs to a request, by the request id that it carries.

    A target that a request was not meant for need not carry one. With another id, such an answer
    tells nothing of this request, which may be running.
    """
    return answer.request == request or (answer.misdirected and not answer.request)
