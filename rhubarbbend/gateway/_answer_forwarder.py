"""Forwards the answer of a target to the caller of a request, or keeps it if another may be better.

An answer that is not a stream is buffered until it is whole; a stream is passed on as it arrives.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core.catalog import RequestKind
from rhubarbbend.core.delivery import AttemptOutcome, LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._interfaces import TargetResponseHead
from rhubarbbend.gateway._requests import BufferedAnswer, OpenRequest
from rhubarbbend.gateway._state import Clock, State, read_clock
from rhubarbbend.http import (
    SMALL_BODY_PART_BYTES,
    BodyTimeoutPolicy,
    Connection,
    EndlessAnswer,
    HttpFailure,
    SendStage,
    TrickleDetector,
    wait_for_room,
)

# Answers up to this size are buffered until they are complete, so that one that was truncated can
# be replaced by another target's.
MAX_BUFFERED_ANSWER_BYTES: Final = 262_144
# A target that rejects a request sends its whole answer at once; a sound path may be silent for a
# second or two.
REJECTION_PROGRESS_TIMEOUT_S: Final = 2.5
# Statuses that guarantee to the caller that its request did not and will not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class AnswerForwarder:
    """Forwards answers. Invariant: a caller gets at most one, and never a part that looks whole."""

    def __init__(self, state: State, latencies: LatencyTracker, clock: Clock) -> None:
        self._state = state
        self._latencies = latencies
        self._clock = clock
        # Called with the first event of each stream that comes from a target; set by the instance.
        self.on_stream_begun: list[Callable[[OpenRequest, Target], None]] = []
        # Whether a target that has closed a connection runs on, given since when it has worked on
        # the request; set by the instance.
        self.runs_on: Callable[[Target, float], Awaitable[bool]] = _assume_running

    async def forward(
        self,
        request: OpenRequest,
        answer: TargetResponseHead,
        connection: Connection,
        timeout_policy: BodyTimeoutPolicy | float,
        can_retry: bool,
        target: Target | None,
    ) -> AttemptOutcome:
        """Read the body of an answer, forward it, and return how the attempt ended.

        `timeout_policy` limits the time without progress of a stream; a number is in seconds.
        `can_retry` is whether another target may still answer in place of one that failed. `target`
        is None if the answer comes through a helper. Raise `HttpFailure` if this is no whole answer
        of the target.
        """
        if answer.misdirected or answer.was_not_executed:
            await connection.discard_body(REJECTION_PROGRESS_TIMEOUT_S)
            is_misdirected = answer.misdirected
            return AttemptOutcome.MISDIRECTED if is_misdirected else AttemptOutcome.REJECTED
        if not answer.is_authentic or answer.status in NOT_RUN_STATUSES:
            # The request ran or may have run; the caller would take the status for a guarantee that
            # it did not.
            raise HttpFailure(
                SendStage.RESPONSE, f"not a valid answer of this target, status {answer.status}"
            )
        if request.route.kind is RequestKind.STREAM and answer.status < 300:
            return await self._relay_stream(request, answer, connection, timeout_policy, target)
        if request.progress.started:
            # The caller already has the head of a stream, which no other answer can continue.
            reason = f"status {answer.status} instead of the rest of a stream"
            raise HttpFailure(SendStage.RESPONSE, reason)
        body = await _read_body(connection, request)
        await self._confirm_end(request, target)
        failed = answer.status >= 500
        if failed and can_retry and self._has_retry_left(request):
            request.fallback_answer = BufferedAnswer(answer, body)
            return AttemptOutcome.FAILED
        send_answer(request, BufferedAnswer(answer, body))
        return AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED

    def _has_retry_left(self, request: OpenRequest) -> bool:
        instances = len(self._state.list_instance_ids())
        share = self._state.get_retry_budget_share(request.service.name)
        return share.compute_remaining(instances, self._clock()) >= 1.0

    async def _confirm_end(self, request: OpenRequest, target: Target | None) -> None:
        """Raise `HttpFailure` unless a target runs on that has ended an answer without length.

        The connections of a process that ends are closed in order too, so only a target that still
        runs has ended its answer. One that leaves is no exception: it may end in the middle of its
        last answers, and its crash would look the same.
        """
        if (
            request.body_end is None
            or target is None
            or await self.runs_on(target, request.sent_at)
        ):
            return
        self._state.metrics.increment_counter(codes.ANSWERS_END_UNCONFIRMED)
        raise HttpFailure(
            SendStage.RESPONSE, "the target may have ended as it closed the connection"
        )

    async def _relay_stream(
        self,
        request: OpenRequest,
        answer: TargetResponseHead,
        connection: Connection,
        timeout_policy: BodyTimeoutPolicy | float,
        target: Target | None,
    ) -> AttemptOutcome:
        relay = request.relay
        is_resumed = request.answer is not None and relay.started
        if not is_resumed:
            request.answer = answer
        sent_at = request.sent_at

        def record_first_event() -> None:
            request.first_event_at = self._clock()
            self._latencies.record_first_event(request.route, request.first_event_at - sent_at)
            connection.reset_longest_receive_gap()
            if target is not None:
                for handle in self.on_stream_begun:
                    handle(request, target)

        relay.begin_response(is_resumed, record_first_event)
        await connection.relay_body(relay, timeout_policy)
        request.body_end = connection.body_end
        if not relay.is_complete():
            raise HttpFailure(SendStage.RESPONSE, "the stream ended in the middle of an event")
        may_be_at_end = relay.last_id and not is_resumed
        if request.body_end is not None and not (relay.has_received_event or may_be_at_end):
            # A process that ends may close its connections in order. A caller may ask for what
            # follows the last event; a stream that broke off here is more likely to go on.
            raise HttpFailure(SendStage.RESPONSE, "the stream was closed before its first event")
        await self._confirm_end(request, target)
        self._latencies.record_longest_pause(request.route, connection.longest_receive_gap_s)
        if not relay.started:
            request.answer = answer
            request.progress.started = True
            request.exchange.start_raw(answer.status, answer.headers)
        relay.flush()
        request.exchange.finish()
        return AttemptOutcome.ANSWERED


async def _assume_running(target: Target, since: float) -> bool:
    return True


def send_answer(request: OpenRequest, answer: BufferedAnswer) -> None:
    """Send a target's complete answer to the caller."""
    exchange = request.exchange
    exchange.buffer.record_pending(0)
    request.progress.started = True
    request.answer = answer.head
    length = (b"Content-Length", str(len(answer.body)).encode("ascii"))
    exchange.start_raw(answer.head.status, [*answer.head.headers, length])
    if exchange.method != "HEAD":
        exchange.write(answer.body)
    exchange.finish()


async def _read_body(connection: Connection, request: OpenRequest) -> bytes:
    """Return the body of an answer.

    Raise `EndlessAnswer` if it is larger than `MAX_BUFFERED_ANSWER_BYTES`, or arrives byte by byte
    while another target could still answer.
    """
    parts: list[bytes] = []
    size = 0
    buffer = request.exchange.buffer
    kept = 0 if request.fallback_answer is None else len(request.fallback_answer.body)
    trickle = TrickleDetector(SMALL_BODY_PART_BYTES)
    async for part in connection.receive_body(request.compute_backstop_timeout(read_clock())):
        size += len(part)
        if size > MAX_BUFFERED_ANSWER_BYTES:
            raise EndlessAnswer(SendStage.RESPONSE, "the answer is too large to buffer")
        is_slow = trickle.record(read_clock(), len(part), continues=bool(parts))
        if is_slow and request.can_retry_elsewhere:
            raise EndlessAnswer(SendStage.RESPONSE, "an answer that arrives byte by byte")
        parts.append(part)
        buffer.record_pending(kept + size)
        await wait_for_room(buffer.ledger)
    request.body_end = connection.body_end
    buffer.ledger.record_answer(size)
    return b"".join(parts)
