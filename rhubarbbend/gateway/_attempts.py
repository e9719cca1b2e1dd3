"""One attempt: a request at one target, from the connection to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core.catalog import RequestKind
from rhubarbbend.core.delivery import AttemptOutcome, LatencyTracker
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement import Choice
from rhubarbbend.gateway._interfaces import TargetAnswer, TargetOrder, TargetProtocol
from rhubarbbend.gateway._listening import StreamTimeoutPolicy, TargetListener
from rhubarbbend.gateway._requests import KeptAnswer, OpenRequest
from rhubarbbend.gateway._state import Clock, State, read_clock
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    ConnectionPool,
    HttpFailure,
    Response,
    SendStage,
)

# A target takes a connection within a round trip; one that has not in this time is down, cut off or
# out of room, and its request can still be answered in time elsewhere.
CONNECT_TIMEOUT: Final = 0.08
# A request that may run once at most goes over a connection that was used within this time, or a
# new one: on one that the target closes as the request arrives, nobody could tell whether it ran.
# Some targets forget connections that rested for 0.3 s.
PROVEN_SECONDS: Final = 0.2
# A connection that breaks after a shorter rest than this did not break because it rested.
LEAST_REST: Final = 0.1
# Answers up to this size are held until they are whole, so that one cut short can be replaced.
MAX_HELD_ANSWER: Final = 262_144
# An answer that belongs to no request is read off a connection within this time.
STRAY_TIMEOUT: Final = 0.5
# Kept connections are closed this long before the target would, in seconds.
IDLE_MARGIN: Final = 1.0
# After these nothing more goes over a connection. A target that rejects a request may not have read
# its body yet and may close while the next request is on its way, which would then fail unrun.
UNSETTLED: Final = frozenset(
    {AttemptOutcome.BROKEN, AttemptOutcome.MISDIRECTED, AttemptOutcome.REJECTED}
)
# Statuses that promise a caller that its request did not and will not run.
PROMISES: Final = frozenset({408, 421, 429, 503})


class BudgetSpent(Exception):
    """A second send was due, and this instance's part of the retry budget is used up."""


class AttemptRunner:
    """Runs attempts. Invariant: each is counted in the load tracker from its choice to its end."""

    def __init__(
        self, state: State, pool: ConnectionPool, protocol: TargetProtocol, clock: Clock
    ) -> None:
        self._state = state
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._latencies = LatencyTracker()
        self._listener = TargetListener(state, pool, CONNECT_TIMEOUT, clock)
        # Told of a request that a target broke off before it answered; set by the instance.
        self.crash_listener: Callable[[OpenRequest, Target], None] = lambda request, target: None

    async def run(self, request: OpenRequest, choice: Choice) -> AttemptOutcome:
        """Send a request to a target; pass its answer on, or tell how it failed."""
        target = choice.target
        request.attempt_target = target
        request.chosen_at = self._clock()
        self._state.loads.record_start(target.id)
        self._state.placement.record_chosen(target, request.chosen_at)
        try:
            connection = await self._connect(request, target)
            if connection is None:
                return AttemptOutcome.UNREACHED
            return await self._exchange(request, choice, connection)
        finally:
            self._state.loads.record_end(target.id)

    async def _connect(self, request: OpenRequest, target: Target) -> Connection | None:
        now = self._clock()
        limit = None if request.route.idempotent else PROVEN_SECONDS
        health = self._state.health
        is_trial = health.begin_trial(target.id, now)
        try:
            # Only a new connection shows whether a target that was lost is there again.
            connection = await self._pool.acquire(
                target.address, now, is_trial, CONNECT_TIMEOUT, max_idle=limit
            )
        except HttpFailure as failure:
            now = self._clock()
            timed_out = failure.reason == REASON_TIMEOUT
            note = health.record_connect_timeout if timed_out else health.record_unreachable
            held = note(target.id, now)
            if timed_out and health.is_unreachable(target.id):
                self._state.note_lost(target, now)
            self._state.metrics.add(codes.RETRY_CONNECT)
            self._log(
                "target_unreachable",
                request,
                target,
                reason=failure.reason,
                trial=is_trial,
                held_for=round(max(0.0, held - now), 3),
            )
            return None
        if not connection.reused:
            health.record_connected(target.id, now)
        return connection

    async def _exchange(
        self, request: OpenRequest, choice: Choice, connection: Connection
    ) -> AttemptOutcome:
        """Send over a connection and read the answer; the connection is kept if it is sound."""
        if request.progress.sends > 0:
            self._take_retry(request, connection)
        end = AttemptOutcome.BROKEN
        answer: TargetAnswer | None = None
        self._listener.add(choice.target.id, connection)
        try:
            self._send(request, choice, connection)
            answer = await self._receive_head(request, choice.target, connection)
            end = await self._receive_rest(request, choice.target, answer, connection)
        except HttpFailure as failure:
            end = self._note_failure(request, choice.target, failure)
            if answer is None and self._was_dead(request, choice.target, connection, failure):
                # This says nothing of the target's health.
                return end
        finally:
            self._listener.discard(choice.target.id, connection)
            self._settle(connection, answer, end)
        if end in (AttemptOutcome.REJECTED, AttemptOutcome.MISDIRECTED, AttemptOutcome.FAILED):
            self._log(
                "attempt_ended",
                request,
                choice.target,
                end=end.value,
                status=None if answer is None else answer.status,
                held=None if answer is None else answer.held,
                after=round(self._clock() - request.arrived, 4),
            )
        self._note_health(choice.target, request, end)
        return end

    def _log(self, event: str, request: OpenRequest, target: Target, **fields: Any) -> None:
        now = self._clock()
        self._state.journal.write(event, now, id=request.id, target=target.id, **fields)

    def _take_retry(self, request: OpenRequest, connection: Connection) -> None:
        instances = len(self._state.list_instances())
        share = self._state.find_retries(request.service.name)
        if not share.try_acquire(instances, self._clock()):
            self._pool.release(connection, self._clock())
            raise BudgetSpent

    def _send(self, request: OpenRequest, choice: Choice, connection: Connection) -> None:
        now = self._clock()
        caller = request.caller
        order = TargetOrder(
            target=choice.target.id,
            time_left=request.time_left(now),
            account="" if request.account is None else request.account.name,
            priority=request.priority,
            resume_after=request.relay.last_id,
            source=None if choice.source is None else choice.source.address,
        )
        headers = self._protocol.make_headers(caller, order)
        connection.send_raw(caller.method, caller.target, headers, caller.body)
        request.sent_at = now
        request.relay.has_begun = False
        self._state.placement.record_sent(choice, caller.prompt, request.chosen_at, now)
        self._log(
            "sent",
            request,
            choice.target,
            send=request.progress.sends + 1,
            reason=choice.reason.value,
            load=choice.load,
            own=choice.own,
            mean=choice.mean,
            load_age=None if choice.report_age is None else round(choice.report_age, 3),
            cold=choice.cold,
            source=None if choice.source is None else choice.source.id,
            prompt=None if caller.prompt is None else caller.prompt.affinity_key,
            shared=None if caller.prompt is None else caller.prompt.shared_tokens,
            reused=connection.reused,
            config=request.version,
            time_left=round(request.time_left(now), 3),
            resume_after=request.relay.last_id or None,
        )

    async def _receive_head(
        self, request: OpenRequest, target: Target, connection: Connection
    ) -> TargetAnswer:
        """Wait for the answer to this request; others that come before it belong to nobody."""
        while True:
            response = await self._await_head(request, target, connection)
            answer = self._protocol.read_answer(response)
            if answer.request == request.id or answer.misdirected:
                break
            self._state.metrics.add(codes.WRONG_ID)
            self._log("stray_answer", request, target, carried=answer.request)
            if not answer.request:
                raise HttpFailure(SendStage.RESPONSE, "the answer carries no id")
            await connection.discard_response(STRAY_TIMEOUT)
        if answer.held is not None:
            self._take_word(request, target, answer.held)
        return answer

    def _take_word(self, request: OpenRequest, target: Target, held: int) -> None:
        """Take in what a target says of its load, and count what the estimate lacked."""
        now = self._clock()
        is_told = request.service.engine is not None
        unseen = held - round(self._state.loads.estimate(target.id, is_told, now))
        self._state.metrics.add(codes.LOAD_REPORTS_IN_ANSWERS)
        self._state.metrics.add(codes.LOAD_UNDERESTIMATED, max(0, unseen))
        self._state.loads.record_report(target.id, held, now)

    async def _await_head(
        self, request: OpenRequest, target: Target, connection: Connection
    ) -> Response:
        """Wait for the next head, for as long as the request may be silent at this target.

        What cannot be sent elsewhere is waited for until its own deadline settles it.
        """
        if not _may_move(request):
            return await connection.receive_head(_compute_rest(request, self._clock()))
        timeout_policy = self._make_timeout_policy(request, target)
        began = self._clock()
        while True:
            more = timeout_policy.compute_remaining_s(self._clock() - began)
            try:
                return await connection.receive_head(more)
            except HttpFailure as failure:
                # The system, too, says "time-out" of a connection that it has given up.
                is_silent = failure.reason == REASON_TIMEOUT and not connection.closed
                if (
                    not is_silent
                    or timeout_policy.compute_remaining_s(self._clock() - began) <= 0.0
                ):
                    raise

    def _make_timeout_policy(self, request: OpenRequest, target: Target) -> StreamTimeoutPolicy:
        return StreamTimeoutPolicy(request, target, self._listener, self._latencies, self._clock)

    async def _receive_rest(
        self, request: OpenRequest, target: Target, answer: TargetAnswer, connection: Connection
    ) -> AttemptOutcome:
        if answer.misdirected:
            await _read_all(connection, request)
            return AttemptOutcome.MISDIRECTED
        if answer.not_run:
            await _read_all(connection, request)
            return AttemptOutcome.REJECTED
        if not answer.genuine or answer.status in PROMISES:
            # It ran, or may have: passed on, its status would promise that it did not.
            raise HttpFailure(SendStage.RESPONSE, f"no answer of its own, status {answer.status}")
        if request.route.kind is RequestKind.STREAM and answer.status < 300:
            return await self._relay_stream(request, target, answer, connection)
        if request.progress.started:
            # The caller has the head of a stream, which no other answer can go on.
            reason = f"status {answer.status} in place of the rest of a stream"
            raise HttpFailure(SendStage.RESPONSE, reason)
        body = await _read_all(connection, request)
        if body is None:
            raise HttpFailure(SendStage.RESPONSE, "the answer is too large to hold")
        failed = answer.status >= 500
        if failed and _may_move(request) and self._has_retry_left(request):
            request.kept_answer = KeptAnswer(answer, body)
            return AttemptOutcome.FAILED
        pass_on(request, KeptAnswer(answer, body))
        return AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED

    def _has_retry_left(self, request: OpenRequest) -> bool:
        instances = len(self._state.list_instances())
        share = self._state.find_retries(request.service.name)
        return share.compute_remaining(instances, self._clock()) >= 1.0

    async def _relay_stream(
        self, request: OpenRequest, target: Target, answer: TargetAnswer, connection: Connection
    ) -> AttemptOutcome:
        relay = request.relay
        resumed = request.answer is not None and relay.started
        if not resumed:
            request.answer = answer
        sent_at = request.sent_at

        def note_begun() -> None:
            self._latencies.record_first_event(request.route, self._clock() - sent_at)
            connection.reset_longest_receive_gap()

        relay.begin_run(resumed, note_begun)
        # A stream that cannot be resumed is lost if it is given up, so it is waited for.
        rest = _compute_rest(request, self._clock())
        timeout_policy = self._make_timeout_policy(request, target) if _may_move(request) else rest
        await connection.relay_body(relay, timeout_policy)
        if not relay.is_whole():
            raise HttpFailure(SendStage.RESPONSE, "the stream ended within an event")
        self._latencies.record_longest_pause(request.route, connection.longest_receive_gap_s)
        if not relay.started:
            request.answer = answer
            request.progress.started = True
            request.exchange.start_raw(answer.status, answer.headers)
        request.exchange.finish()
        return AttemptOutcome.ANSWERED

    def _note_failure(
        self, request: OpenRequest, target: Target, failure: HttpFailure
    ) -> AttemptOutcome:
        self._log(
            "attempt_failed",
            request,
            target,
            stage=failure.stage.value,
            reason=failure.reason,
            after=round(self._clock() - request.arrived, 4),
            last_event=request.relay.last_id or None,
        )
        if failure.stage is SendStage.CONNECT:
            return AttemptOutcome.UNREACHED
        if failure.stage is SendStage.SENT and failure.reason != REASON_TIMEOUT:
            self.crash_listener(request, target)
        return AttemptOutcome.BROKEN

    def _was_dead(
        self, request: OpenRequest, target: Target, connection: Connection, failure: HttpFailure
    ) -> bool:
        """Whether a request met a connection that had died while it was idle.

        Each lowers the time for which connections to the target may rest, so that a target that
        breaks off connections of any age is found out by the next new one.
        """
        if connection.idle_time_s < LEAST_REST or failure.stage is not SendStage.SENT:
            return False
        if failure.reason == REASON_TIMEOUT:
            return False
        self._pool.record_dead_idle(connection.address, connection.idle_time_s, self._clock())
        self._state.metrics.add(codes.IDLE_CONNECTIONS_DEAD)
        self._log("idle_connection_dead", request, target, rested=round(connection.idle_time_s, 3))
        return True

    def _settle(
        self, connection: Connection, answer: TargetAnswer | None, end: AttemptOutcome
    ) -> None:
        """Keep a connection whose answer was read whole; close every other, which ends its work."""
        if answer is None or answer.closes or end in UNSETTLED:
            connection.close()
            return
        if answer.idle_limit is not None:
            connection.idle_timeout_s = answer.idle_limit - IDLE_MARGIN
        self._pool.release(connection, self._clock())

    def _note_health(self, target: Target, request: OpenRequest, end: AttemptOutcome) -> None:
        now = self._clock()
        health = self._state.health
        if end is AttemptOutcome.MISDIRECTED:
            health.record_unreachable(target.id, now)
            return
        health.record_response(target.id, end is not AttemptOutcome.ANSWERED, now)
        if end is AttemptOutcome.ANSWERED:
            self._state.crashes.clear(request.digest)


def _may_move(request: OpenRequest) -> bool:
    """Whether a request that may have run here can be sent to one more target."""
    route = request.route
    return route.idempotent and request.progress.targets + 1 < route.max_attempts


def _compute_rest(request: OpenRequest, now: float) -> float:
    """Give a time-out that ends after the request's own deadline, which settles it first."""
    return max(0.0, request.time_left(now)) + 1.0


def pass_on(request: OpenRequest, kept: KeptAnswer) -> None:
    """Give the caller a whole answer of a target."""
    exchange = request.exchange
    request.progress.started = True
    request.answer = kept.head
    length = (b"Content-Length", str(len(kept.body)).encode("ascii"))
    exchange.start_raw(kept.head.status, [*kept.head.headers, length])
    if exchange.method != "HEAD":
        exchange.write(kept.body)
    exchange.finish()


async def _read_all(connection: Connection, request: OpenRequest) -> bytes | None:
    """Read a body; None if it is larger than what is held."""
    parts: list[bytes] = []
    size = 0
    async for part in connection.receive_body(_compute_rest(request, read_clock())):
        size += len(part)
        if size > MAX_HELD_ANSWER:
            return None
        parts.append(part)
    return b"".join(parts)
