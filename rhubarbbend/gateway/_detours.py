"""Hands requests that this instance cannot send to a helper, another instance that can."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core.delivery import AttemptOutcome
from rhubarbbend.core.detours import HelperSelector
from rhubarbbend.gateway._answer_forwarder import AnswerForwarder
from rhubarbbend.gateway._attempts import CONNECT_TIMEOUT_S, NON_IDEMPOTENT_MAX_IDLE_S
from rhubarbbend.gateway._detour_messages import (
    DetourRefusal,
    DetourTerms,
    add_terms,
    read_leaving_target,
    read_refusal,
    remove_own_headers,
)
from rhubarbbend.gateway._interfaces import CallerProtocol, TargetProtocol
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import (
    REASON_TIMEOUT,
    Connection,
    ConnectionPool,
    HttpFailure,
    Response,
    SendStage,
)

# Instances that one request is sent to before it is refused.
MAX_HELPERS_ASKED: Final = 3
# Refusals of a helper that cannot send a request either. With others it has no room now, and may
# have some for the next request.
UNABLE_CODES: Final = frozenset({codes.NO_TARGET.name, codes.NOT_READY.name})
# A helper sends a refusal at once; a sound path may be silent for a second or two.
REFUSAL_PROGRESS_TIMEOUT_S: Final = 2.5
# How often it is checked whether the helper is still heard while its answer is awaited.
HELPER_CHECK_INTERVAL_S: Final = 0.3
# A helper is lost if it is not heard at so many checks in a row. At the first one after a stall of
# this process, messages that the helper has sent may not be read yet.
LOST_AFTER_CHECKS: Final = 2


class DetourResult(msgspec.Struct, frozen=True):
    """What came of a detour.

    `outcome` is that of the target's answer, which the caller got; None if there is none. `code` is
    then the error for the caller, None if no helper was asked or none gave a reason. `may_have_run`
    is whether the helper may have sent the request to a target.
    """

    outcome: AttemptOutcome | None = None
    code: ErrorCode | None = None
    may_have_run: bool = False


DECLINED: Final = DetourResult()


class DetourClient:
    """Sends requests to helpers, one after another until one of them sent it to a target.

    Invariant: a request that a helper may have sent on goes to no other helper.
    """

    def __init__(
        self,
        state: State,
        pool: ConnectionPool,
        callers: CallerProtocol,
        targets: TargetProtocol,
        forwarder: AnswerForwarder,
        clock: Clock,
    ) -> None:
        self._state = state
        self._pool = pool
        self._callers = callers
        self._targets = targets
        self._forwarder = forwarder
        self._clock = clock
        self._selector = HelperSelector(state.settings.instance, state.settings.zone)

    def is_in_use(self, service: str, now: float) -> bool:
        """Return whether requests to a service have been served by helpers lately."""
        return self._selector.is_in_use(service, now)

    def has_helper(self, service: str, now: float) -> bool:
        """Return whether an instance is known that may reach a service which this one does not."""
        unreached_by = self._state.reach.list_unreached_by(service, now)
        return self._selector.has_other(self._state.instance_zones, unreached_by, now)

    async def run(self, request: OpenRequest) -> DetourResult:
        """Have a request served by a helper; forward the answer, or return why there is none."""
        asked: set[str] = set()
        result = DECLINED
        while len(asked) < MAX_HELPERS_ASKED:
            now = self._clock()
            heard = self._state.loads.peer_counts.list_senders(now)
            service = request.service.name
            unreached_by = self._state.reach.list_unreached_by(service, now)
            helper = self._selector.select(
                service, self._state.instance_zones, heard, asked, now, unreached_by
            )
            if helper is None:
                self._log_no_helper(request, heard, now)
                break
            asked.add(helper)
            self._selector.record_sent(helper)
            try:
                result = await self._ask(request, helper)
            finally:
                self._selector.record_ended(helper)
            if result.outcome is not None or result.may_have_run:
                break
        return result

    def _log_no_helper(self, request: OpenRequest, heard: Collection[str], now: float) -> None:
        """Log why a request is handed to no other instance, or to no further one."""
        self._state.metrics.increment_counter(codes.DETOURS_NO_HELPER)
        service = request.service.name
        unreached_by = self._state.reach.list_unreached_by(service, now)
        zones = self._state.instance_zones
        counts = self._selector.count(service, zones, heard, now, unreached_by)
        self._state.event_log.write(
            "no_helper", now, id=request.id, service=service, **msgspec.structs.asdict(counts)
        )

    async def _ask(self, request: OpenRequest, helper: str) -> DetourResult:
        connection = await self._connect(helper)
        if connection is None:
            return DECLINED
        is_reusable = False
        try:
            self._send(request, connection)
            response = await self._receive_head(request, helper, connection)
            refusal = read_refusal(response.headers)
            if refusal is not None:
                is_reusable = True
                await connection.discard_body(REFUSAL_PROGRESS_TIMEOUT_S)
                return self._handle_refusal(request, helper, refusal)
            answer = self._targets.read_response_head(response)
            self._record_leaving(response)
            answer = msgspec.structs.replace(answer, headers=remove_own_headers(answer.headers))
            if answer.request != request.id:
                raise HttpFailure(SendStage.RESPONSE, "the answer belongs to another request")
            backstop = request.compute_backstop_timeout(self._clock())
            outcome = await self._forwarder.forward(
                request, answer, connection, backstop, False, None
            )
            is_reusable = True
            return self._handle_answer(request, helper, outcome)
        except (HttpFailure, msgspec.MsgspecError) as failure:
            return self._handle_failure(request, helper, failure)
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has left; the helper may have sent it on.
            request.progress.may_have_run = True
            raise
        finally:
            if is_reusable:
                self._pool.release(connection, self._clock())
            else:
                connection.close()

    async def _connect(self, helper: str) -> Connection | None:
        row = self._state.instances[helper]
        # A connection that was idle for longer may have died, and it would not be known whether the
        # request was sent on.
        max_idle = NON_IDEMPOTENT_MAX_IDLE_S
        try:
            return await self._pool.acquire(
                (row.host, row.port), self._clock(), False, CONNECT_TIMEOUT_S, max_idle
            )
        except HttpFailure as failure:
            now = self._clock()
            self._selector.record_lost(helper, now)
            self._state.metrics.increment_counter(codes.DETOURS_LOST)
            self._state.event_log.write("helper_lost", now, helper=helper, reason=failure.reason)
            return None

    def _send(self, request: OpenRequest, connection: Connection) -> None:
        now = self._clock()
        caller = request.caller
        headers = self._callers.make_detour_headers(
            caller, request.compute_time_left(now), request.relay.last_id
        )
        terms = DetourTerms(
            self._state.settings.instance,
            request.config_version,
            request.progress.targets,
            request.origin,
        )
        connection.send_raw(
            caller.method, caller.path_and_query, add_terms(headers, terms), caller.body
        )
        request.sent_at = now
        request.first_event_at = None
        request.relay.has_received_event = False
        self._state.metrics.increment_counter(codes.DETOURS_SENT)

    async def _receive_head(
        self, request: OpenRequest, helper: str, connection: Connection
    ) -> Response:
        """Return the head of the helper's response.

        A helper that was heard before and falls silent is given up where the request may run again;
        a command waits, since it may still be answered.
        """
        was_heard = self._is_heard(helper)
        unheard_checks = 0
        while True:
            backstop = request.compute_backstop_timeout(self._clock())
            try:
                return await connection.receive_head(min(HELPER_CHECK_INTERVAL_S, backstop))
            except HttpFailure as failure:
                is_silent = failure.reason == REASON_TIMEOUT and not connection.closed
                unheard_checks = 0 if self._is_heard(helper) else unheard_checks + 1
                is_lost = was_heard and unheard_checks >= LOST_AFTER_CHECKS
                if not is_silent or (is_lost and request.route.idempotent):
                    raise

    def _is_heard(self, helper: str) -> bool:
        return helper in self._state.loads.peer_counts.list_senders(self._clock())

    def _record_leaving(self, response: Response) -> None:
        """Record that a target leaves: this instance passes its answer on to the caller."""
        now = self._clock()
        target = self._state.registry.find(read_leaving_target(response.headers))
        if target is not None and self._state.registry.record_leaving(target):
            self._state.metrics.increment_counter(codes.TARGETS_LEAVING)
            self._state.event_log.write("target_leaving", now, target=target.id, source="helper")

    def _handle_refusal(
        self, request: OpenRequest, helper: str, refusal: DetourRefusal
    ) -> DetourResult:
        request.progress.targets = max(request.progress.targets, refusal.targets)
        self._log(request, helper, f"refused: {refusal.code}")
        if refusal.verdict is Verdict.NOT_RUN:
            self._state.reach.merge_notices(refusal.reach, self._clock())
            if refusal.code in UNABLE_CODES:
                self._selector.record_declined(request.service.name, helper, self._clock())
            else:
                self._selector.record_busy(request.service.name, helper, self._clock())
            self._state.metrics.increment_counter(codes.DETOURS_DECLINED)
        else:
            request.progress.may_have_run = True
            self._state.metrics.increment_counter(codes.DETOURS_FAILED)
        return DetourResult(None, refusal.error, refusal.verdict is not Verdict.NOT_RUN)

    def _handle_answer(
        self, request: OpenRequest, helper: str, outcome: AttemptOutcome
    ) -> DetourResult:
        self._selector.record_answered(request.service.name, helper, self._clock())
        self._state.metrics.increment_counter(codes.DETOURS_ANSWERED)
        self._log(request, helper, outcome.value)
        return DetourResult(outcome)

    def _handle_failure(
        self, request: OpenRequest, helper: str, failure: Exception
    ) -> DetourResult:
        """Record that a request was sent to a helper and no whole answer came back."""
        request.progress.may_have_run = True
        if not request.exchange.buffer.is_behind(self._clock()):
            self._selector.record_lost(helper, self._clock())
        self._state.metrics.increment_counter(codes.DETOURS_FAILED)
        self._log(request, helper, "lost", reason=str(failure))
        return DetourResult(None, codes.TARGET_FAILED, may_have_run=True)

    def _log(self, request: OpenRequest, helper: str, end: str, **fields: Any) -> None:
        now = self._clock()
        taken_s = round(now - request.sent_at, 4)
        self._state.event_log.write(
            "detour_ended", now, id=request.id, helper=helper, end=end, took=taken_s, **fields
        )
