"""Runs one attempt: sends a request to one target and processes the answer to its end.

Each attempt takes a connection, sends the request, waits for the answer and passes it to the caller
or reports how the attempt failed. The request server decides whether another attempt follows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.delivery import AttemptOutcome, LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement import Choice, compute_max_connections
from rhubarbbend.gateway._alternatives import Alternatives
from rhubarbbend.gateway._answer_forwarder import AnswerForwarder
from rhubarbbend.gateway._answer_receiver import AnswerReceiver
from rhubarbbend.gateway._attempt_log import list_logged_parts, log_ended, log_sent
from rhubarbbend.gateway._attempt_recorder import AttemptRecorder
from rhubarbbend.gateway._full_targets import FullTargetDetector
from rhubarbbend.gateway._interfaces import ForwardingOptions, TargetProtocol, TargetResponseHead
from rhubarbbend.gateway._liveness import TargetLivenessMonitor
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import (
    REASON_TIMEOUT,
    BodyTimeoutPolicy,
    Connection,
    ConnectionPool,
    EndlessAnswer,
    HttpFailure,
    SendStage,
)

# A healthy target accepts a connection within one round trip. One that does not within this time is
# down, unreachable or out of capacity; another target can still answer the request in time.
CONNECT_TIMEOUT_S: Final = 0.08
# A request that is not idempotent is sent only over a connection that was used within this time, or
# over a new one. If the target closes an idle connection just as the request arrives, it is unknown
# whether the request ran. Some targets drop connections that were idle for 0.3 s.
NON_IDEMPOTENT_MAX_IDLE_S: Final = 0.2
# If a connection breaks after a shorter idle time than this, idleness was not the cause.
MIN_DEAD_IDLE_TIME_S: Final = 0.1
# Idle connections are closed this long before the target would close them.
IDLE_MARGIN_S: Final = 1.0
# After these outcomes the connection is not reused. A target that rejects a request may not have
# read its body yet, and may close the connection while the next request is being sent; that request
# would then fail although it was not run.
NON_REUSABLE_OUTCOMES: Final = frozenset(
    {AttemptOutcome.BROKEN, AttemptOutcome.MISDIRECTED, AttemptOutcome.REJECTED}
)

# A target that has sent nothing for this long when a request is given up is checked.
MIN_SILENCE_S: Final = 0.1


class RetryBudgetExhausted(Exception):
    """A retry is needed, but this instance's share of the retry budget is exhausted."""


class AttemptRunner:
    """Runs attempts.

    Invariant: each attempt counts as load of its target from the choice of the target to its end.
    """

    def __init__(
        self, state: State, pool: ConnectionPool, target_protocol: TargetProtocol, clock: Clock
    ) -> None:
        self._state = state
        self._pool = pool
        self._target_protocol = target_protocol
        self._clock = clock
        self._latencies = LatencyTracker()
        pool.on_stray_bytes = lambda: state.metrics.increment_counter(codes.IDLE_CONNECTIONS_STRAY)
        self.recorder = AttemptRecorder(state, clock)
        self._liveness = TargetLivenessMonitor(state, pool, CONNECT_TIMEOUT_S, clock)
        self._full_targets = FullTargetDetector(state, pool, self._liveness, clock)
        self.alternatives = Alternatives(state, clock)
        self._answers = AnswerReceiver(
            state, target_protocol, self._liveness, self._latencies, self.alternatives, clock
        )
        self.forwarder = AnswerForwarder(state, self._latencies, clock)
        self.forwarder.on_stream_begun.append(self.recorder.record_begun)
        # Requests to which targets are writing streams.
        self.answering: set[OpenRequest] = set()
        self.forwarder.on_stream_begun.append(lambda request, _: self.answering.add(request))
        # Called when a target was lost while it ran a request; set by the instance.
        self.on_loss: Callable[[OpenRequest, Target, float], None] = lambda *_: None
        # Called when a request was given up at a target that was silent; set by the instance.
        self.on_silence: Callable[[OpenRequest, Target, float], None] = lambda *_: None
        # Whether a target that a connection was opened to at some time is the start that is
        # registered; set by the instance.
        self.confirm_start: Callable[[Target, float], Awaitable[bool]] = _assume_registered

    def has_open_connection(self, target: str, address: Address) -> bool:
        """Return whether a connection to a target is open, idle or with a request in flight."""
        return self._liveness.has_open_connection(target) or self._pool.has_open_idle(address)

    def has_contact(self, target: str, opened_before: float, since: float) -> bool:
        """Return whether data has arrived since a time on a connection that was opened earlier."""
        return self._liveness.has_contact(target, opened_before, since)

    async def run(self, request: OpenRequest, choice: Choice) -> AttemptOutcome:
        """Send a request to the chosen target and return how the attempt ended.

        A complete answer, and a stream as it arrives, is passed to the caller; an answer that
        another target may improve on is stored in `request.fallback_answer`. Raise
        `RetryBudgetExhausted` if this would be a retry and the budget does not allow it.
        """
        target = choice.target
        request.attempt_target = target
        request.chosen_at = self._clock()
        self._state.loads.record_start(target.id)
        self._state.placement.record_chosen(target, request.chosen_at)
        self._state.pauses.record_chosen(target.id, request.id)
        try:
            connection = await self._connect(request, target)
            if connection is None:
                return AttemptOutcome.UNREACHED
            if not await self._full_targets.check_new_connection(request, target, connection):
                return AttemptOutcome.FULL
            if request.origin is not None and not await self.confirm_start(
                target, connection.opened_at
            ):
                self._pool.release(connection, self._clock())
                return AttemptOutcome.RESTARTED
            if self._is_too_late(request, target):
                self._pool.release(connection, self._clock())
                return AttemptOutcome.WITHHELD
            return await self._send_and_receive(request, choice, connection)
        except asyncio.CancelledError:
            self.recorder.record_unfinished(request, choice)
            raise
        finally:
            self._state.loads.record_end(target.id)
            self.recorder.record_left(request)
            self._state.pauses.record_end(target.id, request.id, was_accepted=False)

    def _is_too_late(self, request: OpenRequest, target: Target) -> bool:
        """Return whether a request must not be sent any more, though there is a connection."""
        now = self._clock()
        has_expired = request.compute_time_left(now) <= 0.0
        return has_expired or self._state.pauses.compute_remaining(target.id, now) > 0.0

    async def _connect(self, request: OpenRequest, target: Target) -> Connection | None:
        now = self._clock()
        max_idle = None if request.route.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        health = self._state.health
        is_trial = health.begin_trial(target.id, now)
        try:
            # Only a new connection shows whether an unreachable target is reachable again.
            connection = await self._pool.acquire(
                target.address,
                now,
                is_trial,
                CONNECT_TIMEOUT_S,
                max_idle,
                self._count_idle_allowed(request.service, target),
            )
        except HttpFailure as failure:
            now = self._clock()
            timed_out = failure.reason == REASON_TIMEOUT
            record_failure = (
                health.record_connect_timeout if timed_out else health.record_unreachable
            )
            backoff_until = record_failure(target.id, now)
            if timed_out and health.is_unreachable(target.id):
                self._state.handle_unreachable_target(target, now)
            self._state.metrics.increment_counter(codes.RETRY_CONNECT)
            self._log(
                "target_unreachable",
                request,
                target,
                reason=failure.reason,
                trial=is_trial,
                held_for=round(max(0.0, backoff_until - now), 3),
            )
            return None
        if not connection.reused:
            health.record_connected(target.id, now)
        return connection

    def _count_idle_allowed(self, service: Service, target: Target) -> int:
        """Return how many idle connections to a target are within this instance's share.

        Targets count them too, and reset what is beyond their limit.
        """
        share = compute_max_connections(service, len(self._state.list_instance_ids()))
        limit = self._state.connection_limits.find_limit(target.id, self._clock())
        share = share if limit is None else min(share, limit)
        return max(0, share - self._state.loads.count_own(target.id))

    async def _send_and_receive(
        self, request: OpenRequest, choice: Choice, connection: Connection
    ) -> AttemptOutcome:
        """Send the request over a connection, process the answer and return the outcome.

        The connection goes back to the pool if it can be reused.
        """
        if request.progress.sends > 0:
            self._acquire_retry(request, connection)
        outcome = AttemptOutcome.BROKEN
        cut_unread = False
        answer: TargetResponseHead | None = None
        self._liveness.add_connection(choice.target.id, connection)
        try:
            self._send(request, choice, connection)
            answer = await self._answers.receive_head(request, choice.target, connection)
            policy = self._select_timeout_policy(request, choice.target)
            outcome = await self.forwarder.forward(
                request, answer, connection, policy, request.can_retry_elsewhere, choice.target
            )
        except HttpFailure as failure:
            cut_unread = self._was_cut_unread(request, failure)
            outcome, is_excused = await self._end_broken(
                request, choice.target, connection, failure, answer is None, cut_unread
            )
            if is_excused:
                return outcome
        except asyncio.CancelledError:
            self._record_silence(request, choice.target, connection)
            raise
        finally:
            self.answering.discard(request)
            self._liveness.discard_connection(choice.target.id, connection)
            self._release_or_close(connection, answer, outcome)
        log = self._state.event_log
        log_ended(log, request, choice.target, outcome, answer, self._clock())
        if not cut_unread:
            self.recorder.record_health(choice.target, request, outcome, connection.address)
            self.recorder.record_evidence(request, choice, outcome)
        return outcome

    async def _end_broken(
        self,
        request: OpenRequest,
        target: Target,
        connection: Connection,
        failure: HttpFailure,
        has_no_head: bool,
        cut_unread: bool,
    ) -> tuple[AttemptOutcome, bool]:
        """Return the outcome of a failed attempt, and whether it tells nothing of its target."""
        is_full = has_no_head and await self._full_targets.detect_full(
            request, target, connection, failure
        )
        outcome = self._handle_failure(request, target, connection, failure, is_full, cut_unread)
        is_excused = is_full or (
            has_no_head and self._record_if_dead_while_idle(request, target, connection, failure)
        )
        return outcome, is_excused

    def _was_cut_unread(self, request: OpenRequest, failure: HttpFailure) -> bool:
        """Return whether a target may have broken off an answer that the caller did not read.

        That tells nothing of the target or the request.
        """
        if failure.stage is not SendStage.RESPONSE:
            return False
        if not request.exchange.buffer.is_behind(self._clock()):
            return False
        self._state.metrics.increment_counter(codes.ANSWERS_CUT_UNREAD)
        return True

    def _log(self, event: str, request: OpenRequest, target: Target, **fields: Any) -> None:
        now = self._clock()
        self._state.event_log.write(event, now, id=request.id, target=target.id, **fields)

    def _acquire_retry(self, request: OpenRequest, connection: Connection) -> None:
        if not self.alternatives.acquire_retry(request):
            self._pool.release(connection, self._clock())
            raise RetryBudgetExhausted

    def _send(self, request: OpenRequest, choice: Choice, connection: Connection) -> None:
        now = self._clock()
        caller = request.caller
        options = ForwardingOptions(
            target=choice.target.id,
            remaining_s=request.compute_time_left(now),
            account="" if request.account is None else request.account.name,
            priority=request.priority,
            last_event_id=request.relay.last_id,
            source=None if choice.source is None else choice.source.address,
        )
        headers = self._target_protocol.make_headers(caller, options)
        connection.send_raw(caller.method, caller.path_and_query, headers, caller.body)
        pause_left = self._state.pauses.compute_remaining(choice.target.id, now)
        if pause_left > 0.0:
            self._state.metrics.increment_counter(codes.SENT_DURING_PAUSE)
        request.sent_at = now
        request.connected_at = connection.opened_at
        request.first_event_at = None
        if request.version.participant is not None and caller.prompt is not None:
            request.unread_tokens = self.recorder.count_unread_tokens(
                caller.prompt, choice.target, now
            )
        request.relay.has_received_event = False
        self._state.placement.record_sent(choice, caller.prompt, request.chosen_at, now)
        self.recorder.record_sent(request, choice, now)
        log_sent(self._state.event_log, request, choice, connection.reused, pause_left)

    def _select_timeout_policy(
        self, request: OpenRequest, target: Target
    ) -> BodyTimeoutPolicy | float:
        """Return the time-outs of the answer's body.

        A stream that cannot be resumed would be lost if it were given up, so it may take until the
        request's deadline.
        """
        if request.can_retry_elsewhere:
            return self._answers.make_timeout_policy(request, target)
        return request.compute_backstop_timeout(self._clock())

    def _handle_failure(
        self,
        request: OpenRequest,
        target: Target,
        connection: Connection,
        failure: HttpFailure,
        is_full: bool,
        cut_unread: bool,
    ) -> AttemptOutcome:
        self._log(
            "attempt_failed",
            request,
            target,
            stage=failure.stage.value,
            reason=failure.reason,
            after=round(self._clock() - request.arrived_at, 4),
            last_event=request.relay.last_id or None,
            full=is_full or None,
            ran=round(self._clock() - request.sent_at, 4),
            account=None if request.account is None else request.account.name,
            content=request.digest,
            parts=list_logged_parts(request),
            cut_unread=cut_unread or None,
        )
        if isinstance(failure, EndlessAnswer):
            self._state.metrics.increment_counter(codes.ENDLESS_ANSWERS)
        if failure.stage is SendStage.CONNECT:
            return AttemptOutcome.UNREACHED
        is_lost = connection.closed or self._liveness.has_failed_probe(target.id)
        if is_lost and not is_full and not cut_unread:
            self.on_loss(request, target, self._clock())
        elif not is_lost:
            self._record_silence(request, target, connection)
        return AttemptOutcome.BROKEN

    def _record_silence(self, request: OpenRequest, target: Target, connection: Connection) -> None:
        """Report a target that had sent nothing for a while when a request was given up."""
        now = self._clock()
        if now - max(request.sent_at, connection.last_received_at) >= MIN_SILENCE_S:
            self.on_silence(request, target, now)

    def _record_if_dead_while_idle(
        self, request: OpenRequest, target: Target, connection: Connection, failure: HttpFailure
    ) -> bool:
        """Return whether the attempt failed because the connection had died while it was idle.

        If so, record that. Each such failure lowers the allowed idle time of connections to the
        target. A target that closes connections of any age is therefore detected at the next new
        connection.
        """
        if connection.idle_time_s < MIN_DEAD_IDLE_TIME_S or failure.stage is not SendStage.SENT:
            return False
        if failure.reason == REASON_TIMEOUT or isinstance(failure, EndlessAnswer):
            return False
        self._pool.record_dead_idle(connection.address, connection.idle_time_s, self._clock())
        self._state.metrics.increment_counter(codes.IDLE_CONNECTIONS_DEAD)
        self._log("idle_connection_dead", request, target, rested=round(connection.idle_time_s, 3))
        return True

    def _release_or_close(
        self, connection: Connection, answer: TargetResponseHead | None, outcome: AttemptOutcome
    ) -> None:
        """Return the connection to the pool if the answer was read completely, else close it.

        Closing it makes the target end its work on the request.
        """
        if answer is None or answer.closes_connection or outcome in NON_REUSABLE_OUTCOMES:
            connection.close()
            return
        if answer.idle_timeout_s is not None:
            connection.idle_timeout_s = answer.idle_timeout_s - IDLE_MARGIN_S
        self._pool.release(connection, self._clock())


async def _assume_registered(target: Target, connected_at: float) -> bool:
    return True
