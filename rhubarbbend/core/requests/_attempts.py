"""Attempts: a request's runs at targets, and what is done when one of them fails.

An engine keeps an attempt's answer under the attempt's id. Asking for it again over a new
connection starts no second run, which is what every repeat of an engine's attempt rests on.
"""

from __future__ import annotations

from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._suspects import Crash, SuspectDuty
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.claims._claims import ClaimDuty
from rhubarbbend.core.configuration import KIND_ENGINE
from rhubarbbend.core.requests._answers import Answers
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._requests import Phase, Request
from rhubarbbend.core.requests._retries import RetryBudget
from rhubarbbend.core.requests._slots import HeldSlots, SlotSearch

STAGE_CONNECT: Final = "connect"
# The target answered that it does not take the request now.
STAGE_REFUSED: Final = "refused"
# The engine has no run under the attempt's id.
STAGE_NOT_FOUND: Final = "not_found"
LEAST_HEAD_TIMEOUT: Final = 0.1


class AttemptListener(Protocol):
    """Told when no attempt is left for a request."""

    def refuse_final(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request some attempt of which may have run."""
        ...


class Attempts:
    """Invariant: a command's attempt is dispatched once and never asked for again."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        slots: HeldSlots,
        search: SlotSearch,
        answers: Answers,
        claims: ClaimDuty,
        suspects: SuspectDuty,
        budget: RetryBudget,
        listener: AttemptListener,
    ) -> None:
        self._context = context
        self._table = table
        self._slots = slots
        self._search = search
        self._answers = answers
        self._claims = claims
        self._suspects = suspects
        self._budget = budget
        self._listener = listener

    def dispatch(self, request: Request, now: float) -> None:
        """Send a request to the target whose slot it holds."""
        view = self._find_view(request)
        if view is None or not self._context.takes_work(view):
            # Since the slot was granted, while a claim was written perhaps, the target has left
            # or was taken out of service; a slow table would bring it new work long after.
            self._slots.release(request, completed=False)
            self._search.start(request, now)
            return
        request.phase = Phase.RUNNING
        request.attempts += 1
        request.sent = True
        request.dispatched_at = now
        request.silent_checks = 0
        # A command must not be lost on an idle connection that has gone silent.
        self._emit_dispatch(request, view, fresh=not request.idempotent, now=now)

    def handle_head(self, event: events.AttemptHead, now: float) -> None:
        """Note that the answer has begun."""
        request = self._table.find_attempt(event.attempt)
        if request is not None:
            # A command's answer is held until it is whole, so nothing has reached the caller yet.
            request.started = request.idempotent
            request.first_byte = now - request.dispatched_at

    def handle_done(self, event: events.AttemptDone, now: float) -> None:
        """Take a whole answer."""
        request = self._table.find_attempt(event.attempt)
        if request is None:
            return
        self._suspects.clear(request.arrived.body_digest)
        self._context.count(codes.ANSWERS)
        if request.idempotent:
            self._slots.release(request, completed=True, total=event.total)
            self._table.remove(request)
            return
        outcome = Outcome(event.status, event.content_type, event.body, event.kept)
        self._claims.finish(request, outcome, now)
        self._slots.release(request, completed=True, total=event.total)
        self._answers.reply(request, outcome, False, now)

    def handle_failure(self, event: events.AttemptFailed, now: float) -> None:
        """Decide what a failed attempt leads to."""
        request = self._table.find_attempt(event.attempt)
        if request is None:
            return
        request.relayed = event.relayed
        if event.reason == codes.WRONG_ID:
            self._context.count(codes.WRONG_ID)
        if event.stage == STAGE_CONNECT:
            # No byte went out, so this attempt provably did not run.
            request.sent = request.attempts > 1 and request.idempotent
            self._retry_elsewhere(request, codes.RETRY_CONNECT, now)
        elif event.stage == STAGE_REFUSED and request.idempotent:
            self._retry_elsewhere(request, codes.RETRY_FAILED, now)
        elif event.stage == STAGE_NOT_FOUND and not request.started:
            # The engine never got the request: what carried it had gone silent.
            self._repeat(request, now)
        elif event.reused and not request.started and request.idempotent:
            # The idle connection may have been lost by something in between; a new one tells.
            self._context.count(codes.RETRY_SILENT)
            self._ask_again(request, now)
        else:
            self._probe(request, now)

    def handle_probe(self, event: events.ProbeAnswered, now: float) -> None:
        """Decide with what the target said over a new connection."""
        request = self._table.find_attempt(event.attempt)
        if request is None or request.phase is not Phase.PROBING:
            return
        lost = event.boot_id != request.boot_id
        if lost:
            self._note_lost(request, event, now)
        if request.started or (not lost and self._can_resume(request)):
            self._resume(request, lost, now)
        elif request.idempotent:
            counter = codes.RETRY_CRASH if lost else codes.RETRY_FAILED
            self._retry_elsewhere(request, counter, now)
        else:
            self._fail(request, now)

    def cancel(self, request: Request) -> None:
        """Stop an attempt that nobody waits for; a command is never stopped."""
        view = self._find_view(request)
        if view is not None and request.idempotent:
            self._context.emit(actions.CancelAttempt(request.attempt, view.host, view.port))

    def _find_view(self, request: Request) -> TargetView | None:
        return self._context.fleet.targets.get(request.target)

    def _emit_dispatch(self, request: Request, view: TargetView, fresh: bool, now: float) -> None:
        head_timeout = request.service.head_timeout
        if request.idempotent:
            # A command's outcome is worth waiting for also when its caller's deadline has passed.
            head_timeout = min(head_timeout, max(LEAST_HEAD_TIMEOUT, request.time_left(now)))
            self._watch_silence(request, now)
        self._context.emit(
            actions.Dispatch(
                request.id,
                request.attempt,
                request.target,
                view.host,
                view.port,
                fresh=fresh,
                ticket=self._search.planner.make_ticket(request, now),
                fence=request.generation,
                keep=not request.idempotent,
                head_timeout=head_timeout,
                progress_timeout=request.service.progress_timeout,
            )
        )

    def _emit_resume(self, request: Request, view: TargetView, now: float) -> None:
        left = max(LEAST_HEAD_TIMEOUT, request.time_left(now))
        waiting = min(request.service.head_timeout, left)
        self._context.emit(
            actions.Resume(
                request.id,
                request.attempt,
                view.host,
                view.port,
                request.service.progress_timeout,
                head_timeout=request.service.progress_timeout if request.started else waiting,
                ticket=self._search.planner.make_ticket(request, now),
            )
        )

    def _watch_silence(self, request: Request, now: float) -> None:
        """Look again later, each time after twice as long, whether the answer has begun."""
        attempt = request.attempt
        wait = self._context.options.silence_limit * 2**request.silent_checks
        self._context.set_timer(now + wait, lambda at: self._check_silence(request, attempt, at))

    def _check_silence(self, request: Request, attempt: str, now: float) -> None:
        """Ask for a run that has given no byte over a new connection, beside the old one.

        A connection that has gone silent for good looks like a slow target. Waiting for the head
        time-out costs the caller its deadline; calling the target dead would move a chat whose
        prompt is merely long. The new connection brings the same run's answer in either case.
        """
        if self._table.find_attempt(attempt) is not request:
            return
        if request.phase is not Phase.RUNNING or request.started:
            return
        limit = self._context.options.max_silent_checks
        if not self._can_resume(request):
            # Asked again, a lookup runs twice: once is enough, and only within the budget.
            limit = 1 if self._budget.take() else 0
        if request.silent_checks >= limit:
            return
        request.silent_checks += 1
        self._context.count(codes.RETRY_SILENT)
        self._ask_again(request, now)

    def _ask_again(self, request: Request, now: float) -> None:
        view = self._find_view(request)
        if view is None:
            self._fail(request, now)
        elif self._can_resume(request):
            self._emit_resume(request, view, now)
            self._watch_silence(request, now)
        else:
            self._emit_dispatch(request, view, fresh=True, now=now)

    def _repeat(self, request: Request, now: float) -> None:
        view = self._find_view(request)
        request.resumes += 1
        spent = request.resumes > self._context.options.max_resumes
        if view is None or spent or not self._context.takes_work(view):
            self._retry_elsewhere(request, codes.RETRY_FAILED, now)
            return
        self._emit_dispatch(request, view, fresh=True, now=now)

    def _can_resume(self, request: Request) -> bool:
        return request.idempotent and request.service.kind == KIND_ENGINE

    def _probe(self, request: Request, now: float) -> None:
        """Ask the target over a new connection before it is called dead.

        A connection can go silent or be cut while the target is well; blaming the target would
        move its chats and count a crash against the request.
        """
        view = self._find_view(request)
        if view is None:
            self._fail(request, now)
            return
        request.phase = Phase.PROBING
        request.failed_at = now
        self._context.emit(actions.Probe(view.id, request.attempt, view.host, view.port))
        silent = events.ProbeAnswered(view.id, request.attempt, "", silent=True)
        timeout = now + self._context.options.probe_timeout
        self._context.set_timer(timeout, lambda at: self.handle_probe(silent, at))

    def _note_lost(self, request: Request, event: events.ProbeAnswered, now: float) -> None:
        """Count a crash, unless the target is silent: a partition is no fault of a request."""
        if not event.silent and request.boot_id:
            crash = Crash(request.boot_id, request.dispatched_at, request.failed_at)
            self._suspects.record_crash(request.arrived.body_digest, crash, now)
        view = self._find_view(request)
        if view is not None and not event.boot_id:
            view.down_until = now + self._context.options.down_hold

    def _resume(self, request: Request, lost: bool, now: float) -> None:
        """Continue a cut answer at its offset on the same engine, or end it visibly."""
        view = self._find_view(request)
        request.resumes += 1
        spent = request.resumes > self._context.options.max_resumes
        if lost or spent or view is None or not self._can_resume(request):
            self._fail(request, now)
            return
        request.phase = Phase.RUNNING
        self._context.count(codes.RESUMES)
        self._emit_resume(request, view, now)

    def _retry_elsewhere(self, request: Request, counter: str, now: float) -> None:
        self._slots.release(request, completed=False)
        request.excluded.add(request.target)
        if request.detached:
            # Nobody waits; what was never sent is given up, so that a later try may run.
            self._listener.refuse_final(request, codes.DEADLINE, now)
        elif self._suspects.is_refused(request.arrived.body_digest):
            self._listener.refuse_final(request, codes.SUSPECT, now)
        elif request.attempts >= self._context.options.max_attempts:
            self._fail(request, now)
        elif not self._budget.take():
            self._listener.refuse_final(request, codes.RETRY_BUDGET, now)
        else:
            self._context.count(counter)
            self._search.start(request, now)

    def _fail(self, request: Request, now: float) -> None:
        """End a request whose attempt failed and is not repeated."""
        if request.started:
            self.cancel(request)
            self._answers.cut(request, codes.TARGET_FAILED)
            return
        code = codes.TARGET_FAILED if request.idempotent else codes.OUTCOME_UNKNOWN
        self._listener.refuse_final(request, code, now)
