"""Attempts: the runs of a request at targets, and how their failures are handled.

An engine keeps the response of an attempt under the attempt's id. Asking for it again over a new
connection starts no second run, so an engine's attempt can be resumed or fetched again safely.
"""

from __future__ import annotations

from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._suspects import CrashSuspectTracker, ObservedCrash
from rhubarbbend.core.claims._claim_coordinator import ClaimCoordinator
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.configuration import KIND_ENGINE
from rhubarbbend.core.crashes import Content
from rhubarbbend.core.requests._request import Request, RequestPhase
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._responses import ResponseSender
from rhubarbbend.core.requests._retries import RetryBudget
from rhubarbbend.core.requests._slots import SlotLeases, SlotSearch
from rhubarbbend.core.requests._trials import TrialCoordinator

STAGE_CONNECT: Final = "connect"
# The target replied that it does not accept the request now.
STAGE_REFUSED: Final = "refused"
# The engine knows no run with the attempt's id.
STAGE_NOT_FOUND: Final = "not_found"
MIN_HEAD_TIMEOUT_S: Final = 0.1


class AttemptListener(Protocol):
    """Receives the requests for which no further attempt is made."""

    def refuse_after_attempts(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request of which an attempt may have run."""
        ...


class Attempts:
    """Dispatches attempts and resumes, retries or ends them when they fail.

    Invariant: an attempt of a command (an operation that is not idempotent) is dispatched once and
    its response is never requested again.
    """

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        leases: SlotLeases,
        search: SlotSearch,
        responses: ResponseSender,
        claims: ClaimCoordinator,
        suspects: CrashSuspectTracker,
        trials: TrialCoordinator,
        budget: RetryBudget,
        listener: AttemptListener,
    ) -> None:
        self._context = context
        self._table = table
        self._leases = leases
        self._search = search
        self._responses = responses
        self._claims = claims
        self._suspects = suspects
        self._trials = trials
        self._budget = budget
        self._listener = listener

    def dispatch(self, request: Request, now: float) -> None:
        """Send a request to the target whose slot it holds."""
        view = self._find_target(request)
        if view is None or not self._may_send(view, now):
            # The target has left, was taken out of service or asked for a pause after the slot was
            # granted, for example while a claim was being written. A slow claim table could delay
            # the dispatch until long after that, and the target must get no new work then.
            self._leases.release(request, completed=False)
            self._search.start(request, now)
            return
        self._context.pauses.record_chosen(view.id, request.id)
        request.phase = RequestPhase.RUNNING
        request.attempt_count += 1
        request.sent = True
        request.dispatched_at = now
        request.silence_check_count = 0
        # A command must not be lost on a dead idle connection, so it gets a new one.
        self._emit_dispatch(request, view, fresh=not request.idempotent, now=now)

    def handle_head(self, event: events.AttemptHead, now: float) -> None:
        """Record that the response has begun."""
        request = self._table.find_by_attempt(event.attempt)
        if request is not None:
            # The response of a command is buffered until it is complete, so the caller has got none
            # of it yet.
            request.response_started = request.idempotent
            request.time_to_first_byte = now - request.dispatched_at
            self._context.pauses.record_end(request.target, request.id, event.status < 500)

    def handle_done(self, event: events.AttemptDone, now: float) -> None:
        """Finish a request whose response is complete."""
        request = self._table.find_by_attempt(event.attempt)
        if request is None:
            return
        began_at = request.dispatched_at + request.time_to_first_byte
        self._suspects.record_completion(request.content, began_at, now)
        self._context.count(codes.ANSWERS)
        if request.idempotent:
            self._leases.release(request, completed=True, total=event.total)
            self._table.remove(request)
            return
        outcome = Outcome(event.status, event.content_type, event.body, event.kept)
        self._claims.record_outcome(request, outcome, now)
        self._leases.release(request, completed=True, total=event.total)
        self._responses.reply(request, outcome, False, now)

    def handle_pause(self, event: events.TargetPaused, now: float) -> None:
        """Record that a target wants no requests for a time."""
        context = self._context
        context.count(codes.TARGET_PAUSES)
        context.pauses.record_pause(event.target, event.duration_s, context.random, now)

    def handle_leaving(self, event: events.TargetLeaving, now: float) -> None:
        """Record that a target leaves; this holds until it starts again."""
        request = self._table.find_by_attempt(event.attempt)
        if request is None or not request.boot_id:
            return
        if request.boot_id not in self._context.leaving_boots:
            self._context.leaving_boots.add(request.boot_id)
            self._context.count(codes.TARGETS_LEAVING)
            self._context.log("target_leaving", target=request.target, boot=request.boot_id)

    def handle_failure(self, event: events.AttemptFailed, now: float) -> None:
        """Retry, resume, probe or end a request whose attempt failed."""
        request = self._table.find_by_attempt(event.attempt)
        if request is None:
            return
        request.relayed_bytes = event.relayed
        if event.reason == codes.WRONG_ID:
            self._context.count(codes.WRONG_ID)
        if event.stage == STAGE_CONNECT:
            # No byte was sent, so this attempt did not run.
            request.sent = request.attempt_count > 1 and request.idempotent
            self._retry_elsewhere(request, codes.RETRY_CONNECT, now)
        elif event.stage == STAGE_REFUSED and request.idempotent:
            self._retry_elsewhere(request, codes.RETRY_FAILED, now)
        elif event.stage == STAGE_NOT_FOUND and not request.response_started:
            # The engine never received the request: the connection that carried it was dead.
            self._redispatch(request, now)
        elif event.reused and not request.response_started and request.idempotent:
            # A device on the path may have dropped the idle connection; a new one shows whether the
            # target is alive.
            self._context.count(codes.RETRY_SILENT)
            self._refetch_response(request, now)
        else:
            self._probe(request, now)

    def handle_report(self, event: events.ReportRead, now: float) -> None:
        """Use a target again that had given no sign, since it has now answered this instance."""
        view = self._context.fleet.targets.get(event.target)
        if view is not None and view.down_until > now:
            view.down_until = now
            self._context.log("target_heard_again", target=view.id)

    def handle_probe(self, event: events.ProbeAnswered, now: float) -> None:
        """Resume, retry or end a request after the probe of its target."""
        request = self._table.find_by_attempt(event.attempt)
        if request is None or request.phase is not RequestPhase.PROBING:
            return
        target_lost = event.boot_id != request.boot_id
        if target_lost:
            self._record_target_loss(request, event, now)
        if request.response_started or (not target_lost and self._can_resume(request)):
            self._resume(request, target_lost, now)
        elif request.idempotent:
            counter = codes.RETRY_CRASH if target_lost else codes.RETRY_FAILED
            self._retry_elsewhere(request, counter, now)
        else:
            self._fail_request(request, now)

    def cancel(self, request: Request) -> None:
        """Cancel an attempt whose response nobody waits for; a command is never cancelled."""
        view = self._find_target(request)
        if view is not None and request.idempotent:
            self._context.emit(actions.CancelAttempt(request.attempt, view.host, view.port))

    def _may_send(self, view: TargetView, now: float) -> bool:
        is_accepting = self._context.accepts_new_work(view)
        return is_accepting and self._context.pauses.may_send(view.id, now)

    def _find_target(self, request: Request) -> TargetView | None:
        return self._context.fleet.targets.get(request.target)

    def _emit_dispatch(self, request: Request, view: TargetView, fresh: bool, now: float) -> None:
        head_timeout = request.service.head_timeout
        if request.idempotent:
            # A command is given the full head time-out, because its outcome is kept and is useful
            # also after the caller's deadline.
            head_timeout = min(head_timeout, max(MIN_HEAD_TIMEOUT_S, request.time_left(now)))
            self._schedule_silence_check(request, now)
        self._context.emit(
            actions.Dispatch(
                request.id,
                request.attempt,
                request.target,
                view.host,
                view.port,
                fresh=fresh,
                ticket=self._search.planner.make_ticket(request, now),
                fence=request.claim_generation,
                keep=not request.idempotent,
                head_timeout=head_timeout,
                progress_timeout=request.service.progress_timeout,
            )
        )

    def _emit_resume(self, request: Request, view: TargetView, now: float) -> None:
        remaining = max(MIN_HEAD_TIMEOUT_S, request.time_left(now))
        head_timeout = min(request.service.head_timeout, remaining)
        self._context.emit(
            actions.Resume(
                request.id,
                request.attempt,
                view.host,
                view.port,
                request.service.progress_timeout,
                head_timeout=(
                    request.service.progress_timeout if request.response_started else head_timeout
                ),
                ticket=self._search.planner.make_ticket(request, now),
            )
        )

    def _schedule_silence_check(self, request: Request, now: float) -> None:
        """Schedule a check that the response has begun; each delay is twice the last one."""
        attempt = request.attempt
        wait = self._context.options.silence_limit * 2**request.silence_check_count
        self._context.set_timer(now + wait, lambda at: self._check_silence(request, attempt, at))

    def _check_silence(self, request: Request, attempt: str, now: float) -> None:
        """Request a run that has sent no byte over a second connection, beside the first.

        A dead connection cannot be told from a slow target. Waiting for the head time-out would
        miss the caller's deadline, and treating the target as dead would move a chat that merely
        has a long prompt. The new connection returns the response of the same run in either case.
        """
        if self._table.find_by_attempt(attempt) is not request:
            return
        if request.phase is not RequestPhase.RUNNING or request.response_started:
            return
        if self._context.pauses.compute_remaining(request.target, now) > 0.0:
            return
        limit = self._context.options.max_silent_checks
        if not self._can_resume(request):
            # A plain service runs a request twice that is sent again, so it is sent again at most
            # once, and only if the retry budget allows it.
            limit = 1 if self._budget.try_acquire() else 0
        if request.silence_check_count >= limit:
            return
        request.silence_check_count += 1
        self._context.count(codes.RETRY_SILENT)
        self._refetch_response(request, now)

    def _refetch_response(self, request: Request, now: float) -> None:
        view = self._find_target(request)
        if view is None:
            self._fail_request(request, now)
        elif self._can_resume(request):
            self._emit_resume(request, view, now)
            self._schedule_silence_check(request, now)
        else:
            self._emit_dispatch(request, view, fresh=True, now=now)

    def _redispatch(self, request: Request, now: float) -> None:
        view = self._find_target(request)
        request.resume_count += 1
        exhausted = request.resume_count > self._context.options.max_resumes
        is_paused = self._context.pauses.compute_remaining(request.target, now) > 0.0
        if view is None or exhausted or is_paused or not self._context.accepts_new_work(view):
            self._retry_elsewhere(request, codes.RETRY_FAILED, now)
            return
        self._emit_dispatch(request, view, fresh=True, now=now)

    def _can_resume(self, request: Request) -> bool:
        return request.idempotent and request.service.kind == KIND_ENGINE

    def _probe(self, request: Request, now: float) -> None:
        """Probe the target over a new connection before treating it as dead.

        A connection can go silent or break while its target is healthy. Treating the target as
        dead would then move its chats and count a crash against the request.
        """
        view = self._find_target(request)
        if view is None:
            self._fail_request(request, now)
            return
        request.phase = RequestPhase.PROBING
        request.failed_at = now
        self._context.emit(actions.Probe(view.id, request.attempt, view.host, view.port))
        no_answer = events.ProbeAnswered(view.id, request.attempt, "", silent=True)
        timeout_at = now + self._context.options.probe_timeout
        self._context.set_timer(timeout_at, lambda at: self.handle_probe(no_answer, at))

    def _record_target_loss(
        self, request: Request, event: events.ProbeAnswered, now: float
    ) -> None:
        """Count a crash against the request and avoid the target for a while if it did not reply.

        No crash is counted if the target gave no sign at all: a network partition is not caused
        by a request.
        """
        if not event.silent and request.boot_id:
            crash = ObservedCrash(request.boot_id, request.dispatched_at, request.failed_at)
            content = request.content
            if request.has_gone_on:
                content = Content(content.digest, account=content.account)
            self._suspects.record_crash(content, crash, now)
        view = self._find_target(request)
        if view is not None and not event.boot_id:
            view.down_until = now + self._context.options.down_hold
            self._context.log("target_held_down", target=view.id, attempt=event.attempt)

    def _resume(self, request: Request, target_lost: bool, now: float) -> None:
        """Resume an interrupted response at its offset on the same engine.

        If that is not possible, the request ends with an error that the caller sees.
        """
        view = self._find_target(request)
        request.resume_count += 1
        exhausted = request.resume_count > self._context.options.max_resumes
        if target_lost or exhausted or view is None or not self._can_resume(request):
            self._fail_request(request, now)
            return
        request.phase = RequestPhase.RUNNING
        self._context.count(codes.RESUMES)
        self._emit_resume(request, view, now)

    def _retry_elsewhere(self, request: Request, counter: str, now: float) -> None:
        self._leases.release(request, completed=False)
        self._trials.end(request)
        request.excluded_targets.add(request.target)
        if request.detached:
            # The caller no longer waits. A command that was never sent is abandoned, so that a
            # later request with the same key may run.
            self._listener.refuse_after_attempts(request, codes.DEADLINE, now)
        elif self._suspects.has_reached_limit(request.content, now):
            self._listener.refuse_after_attempts(request, codes.SUSPECT, now)
        elif request.attempt_count >= self._context.options.max_attempts:
            self._fail_request(request, now)
        elif not self._budget.try_acquire():
            self._listener.refuse_after_attempts(request, codes.RETRY_BUDGET, now)
        else:
            self._context.count(counter)
            self._search.start(request, now)

    def _fail_request(self, request: Request, now: float) -> None:
        """End a request whose attempt failed and is not retried."""
        if request.response_started:
            self.cancel(request)
            self._responses.abort(request, codes.TARGET_FAILED)
            return
        code = codes.TARGET_FAILED if request.idempotent else codes.OUTCOME_UNKNOWN
        self._listener.refuse_after_attempts(request, code, now)
