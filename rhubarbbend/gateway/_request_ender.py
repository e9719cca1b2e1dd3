"""Ends requests of callers: with a target's answer, a refusal, or an aborted connection."""

from __future__ import annotations

from collections.abc import Set
from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.crashes import is_part_key
from rhubarbbend.core.delivery import AttemptOutcome, compute_verdict
from rhubarbbend.core.placement import MAX_PAUSE_RETURN_FACTOR, Rejection
from rhubarbbend.gateway._answer_forwarder import send_answer
from rhubarbbend.gateway._interfaces import CallerProtocol
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import Exchange

# Retry-After is at most this fraction of the time that the caller has left, so that its next
# attempt still has most of that time.
RETRY_AFTER_FRACTION: Final = 0.25
# Callers that are refused at the same time would also retry at the same time. Retry-After is
# therefore drawn at random between this fraction of its full value and the full value.
MIN_RETRY_AFTER_FRACTION: Final = 0.5
# After this time a trial by another request has most likely told whether this one may be sent.
TRIAL_RETURN_S: Final = 1.0
# Refusals of admission control, which computes their Retry-After.
ADMISSION_CODES: Final = frozenset(
    {codes.NO_ROOM, codes.OVER_SHARE, codes.QUEUE_FULL, codes.WAIT_TOO_LONG}
)
# Reasons for rejecting targets that are available and will accept requests again soon.
OVERLOAD_REJECTIONS: Final = frozenset(
    {Rejection.COLD, Rejection.CONNECTIONS, Rejection.FULL, Rejection.LOAD}
)


class RequestEnder:
    """Ends requests, and logs and counts their ends.

    Invariant: a status that guarantees that a request has not run is never sent for one that may
    have run.
    """

    def __init__(self, state: State, caller_protocol: CallerProtocol, clock: Clock) -> None:
        self._state = state
        self._caller_protocol = caller_protocol
        self._clock = clock

    def finish_answered(self, request: OpenRequest, outcome: AttemptOutcome) -> None:
        """End a request whose answer was sent, or send the stored error answer of a target."""
        if not request.progress.started and request.fallback_answer is not None:
            send_answer(request, request.fallback_answer)
        now = self._clock()
        self._state.metrics.increment_counter(codes.ANSWERS)
        if request.body_end is not None:
            self._state.metrics.increment_counter(codes.ANSWERS_UNFRAMED)
        self._state.metrics.observe("answer", request.route.kind.value, now - request.arrived_at)
        status = 0 if request.answer is None else request.answer.status
        self.log_end(
            request, "answered" if outcome is AttemptOutcome.ANSWERED else "failed", status
        )

    def finish_failed(self, request: OpenRequest, code: ErrorCode) -> None:
        """End a request for which no target sent a complete successful answer.

        The caller gets the stored error answer of a target if there is one, else the error `code`.
        A stream that was already started is aborted.
        """
        if request.progress.started:
            # Ending the message normally would make the partial answer look complete.
            request.exchange.abort_after_flush()
            self._state.metrics.increment_counter(codes.ANSWERS_CUT)
            self.log_end(request, f"cut: {code.name}", 0)
            return
        if request.fallback_answer is not None:
            send_answer(request, request.fallback_answer)
            self.log_end(request, "failed", request.fallback_answer.head.status)
            return
        self.refuse(request, code, self._clock())

    def select_refusal(self, request: OpenRequest, rejections: Set[Rejection]) -> ErrorCode:
        """Return the error for a request that no target can accept now."""
        if request.origin is not None:
            self._state.metrics.increment_counter(codes.STREAMS_NO_ROOM)
            if not rejections:
                return codes.STREAM_VERSION_GONE
        if OVERLOAD_REJECTIONS & rejections:
            return codes.OVERLOADED
        return codes.TARGETS_PAUSED if Rejection.PAUSED in rejections else codes.NO_TARGET

    def refuse(self, request: OpenRequest, code: ErrorCode, now: float) -> None:
        """Answer a request with an error, of which nothing was sent to the caller yet."""
        if code is codes.CRASHES_TARGETS and self._find_crashing_part(request, now) is not None:
            code = codes.PART_CRASHES_TARGETS
        verdict = compute_verdict(request.progress)
        if verdict is Verdict.MAY_HAVE_RUN and code.status in (429, 503):
            # These statuses guarantee that the request has not run.
            code = codes.TARGET_FAILED
        retry_after = self._compute_retry_after(request, code, now)
        self.write_error(
            request.exchange, request.id, code, verdict, retry_after, request.progress.targets
        )
        self._state.metrics.increment_counter(f"refused.{code.name}")
        self.log_end(request, f"refused: {code.name}", code.status, verdict, retry_after)

    def _compute_retry_after(self, request: OpenRequest, code: ErrorCode, now: float) -> float:
        """Return after how many seconds the caller should retry, drawn at random."""
        random = self._state.random
        if code in ADMISSION_CODES and request.admission is not None:
            # Already spread out: each refused request has a time of its own.
            return request.admission.retry_after
        if code is codes.TARGETS_PAUSED:
            pause_left = self._state.placement.compute_pause_left(request.service, now)
            if pause_left > 0.0:
                # Not shortened to the time that the caller has left: it would be refused again.
                return pause_left * random.uniform(1.0, MAX_PAUSE_RETURN_FACTOR)
        if code in (codes.CRASHES_TARGETS, codes.PART_CRASHES_TARGETS):
            # Not shortened either.
            cause, _ = self._state.crashes.find_cause(request.content, now)
            left = self._state.crashes.compute_refusal_left(cause, now)
            return left or TRIAL_RETURN_S * random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0)
        retry_after = min(
            code.retry_after, RETRY_AFTER_FRACTION * max(0.0, request.compute_time_left(now))
        )
        return retry_after * random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0)

    def reject(
        self, exchange: Exchange, request_id: str, code: ErrorCode, detail: str, now: float
    ) -> None:
        """Refuse a request that is invalid, or for which there is no route, account or service."""
        retry_after = code.retry_after * self._state.random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0)
        if code is codes.MEMORY_SHORT:
            timeout_s = self._caller_protocol.read_timeout(exchange)
            if timeout_s is not None:
                retry_after = min(retry_after, RETRY_AFTER_FRACTION * timeout_s)
        self.write_error(exchange, request_id, code, Verdict.NOT_RUN, retry_after)
        self._state.metrics.increment_counter(f"refused.{code.name}")
        self._state.event_log.write(
            "rejected",
            now,
            id=request_id,
            code=code.name,
            status=code.status,
            detail=detail,
            target=exchange.target[:200],
        )

    def reject_for_memory(self, exchange: Exchange, now: float) -> None:
        """Refuse a request for which there is no memory, before anything is done for it."""
        request_id = self._caller_protocol.read_request_id(exchange)
        memory = self._state.memory
        held = f"{memory.held} bytes are held, {memory.budget:.0f} may be"
        detail = f"{exchange.memory_refusal}: {held}" if exchange.memory_refusal else held
        self.reject(exchange, request_id, codes.MEMORY_SHORT, detail, now)

    def finish_caller_gone(self, request: OpenRequest) -> None:
        """End a request whose caller has left, or was ended since it did not read its answer."""
        reason = request.exchange.ended_because
        if reason is None:
            self._state.metrics.increment_counter(codes.CALLER_GONE)
            self.log_end(request, "caller_gone", 0)
        else:
            self.log_end(request, f"caller_ended: {reason.value}", 0)

    def write_error(
        self,
        exchange: Exchange,
        request_id: str,
        code: ErrorCode,
        verdict: Verdict,
        retry_after: float,
        targets: int = 0,
    ) -> None:
        """Answer with an error; `targets` is how many targets the request was sent to."""
        status, headers, body = self._caller_protocol.make_error_response(
            code, verdict, retry_after, request_id
        )
        exchange.respond(status, headers, body)

    def _find_crashing_part(self, request: OpenRequest, now: float) -> str | None:
        """Return the part for which a request is refused, None if it is refused as a whole."""
        cause, _ = self._state.crashes.find_cause(request.content, now)
        return cause if is_part_key(cause) else None

    def _count_heard(self, now: float) -> int:
        """Return how many other instances this one hears."""
        return self._state.loads.peer_counts.count_instances(now)

    def log_end(
        self,
        request: OpenRequest,
        outcome: str,
        status: int,
        verdict: Verdict | None = None,
        retry_after: float = 0.0,
    ) -> None:
        """Log the end of a request; `outcome` is as operators read it."""
        now = self._clock()
        target = request.attempt_target
        is_refused_for_crashes = outcome.endswith(codes.CRASHES_TARGETS.name)
        self._state.event_log.write(
            "ended",
            now,
            id=request.id,
            outcome=outcome,
            status=status,
            verdict=None if verdict is None else verdict.value,
            retry_after=round(retry_after, 3),
            route=request.route.name,
            account=None if request.account is None else request.account.name,
            service=request.service.name,
            target=None if target is None else target.id,
            sends=request.progress.sends,
            events=request.relay.event_count or None,
            body_end=None if request.body_end is None else request.body_end.value,
            shut=request.rejection_counts,
            heard=None if request.rejection_counts is None else self._count_heard(now),
            took=round(now - request.arrived_at, 4),
            config=request.config_version,
            content=request.digest if is_refused_for_crashes else None,
            part=self._find_crashing_part(request, now) if is_refused_for_crashes else None,
        )
