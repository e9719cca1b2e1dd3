"""The entry duty: takes a caller's request from its arrival to its final answer.

A request is admitted, routed, given a slot by the owner of a target, claimed if it is not
idempotent, dispatched, and answered. Each failure on the way is turned into a verdict about the
request's key; what is in doubt is said to be in doubt. A request that is given up is answered at
once.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._suspects import NOTICE_WAIT, SuspectDuty
from rhubarbbend.core.claims._claim_records import CLOCK_SKEW
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.claims._claims import ClaimDuty
from rhubarbbend.core.claims._keys import is_reserved, is_valid_key
from rhubarbbend.core.claims._reserved import ReservedCommands
from rhubarbbend.core.configuration import KIND_ENGINE, Account, Service
from rhubarbbend.core.messages import Message, ReservedReply, ReservedRun, SlotReply
from rhubarbbend.core.requests._answers import Answers
from rhubarbbend.core.requests._attempts import Attempts
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._requests import Phase, Request
from rhubarbbend.core.requests._retries import RetryBudget
from rhubarbbend.core.requests._slots import HeldSlots, OnSilent, SlotSearch

LEAST_TIME_LEFT: Final = 0.0


class EntryDuty:
    """All open requests of this instance. Invariant: each ends in exactly one final answer."""

    def __init__(self, context: Context, claims: ClaimDuty, suspects: SuspectDuty) -> None:
        self._context = context
        self._claims = claims
        self._suspects = suspects
        self._table = RequestTable(context)
        self._slots = HeldSlots(context, self._table)
        self._answers = Answers(context, self._table, self._slots)
        self._search = SlotSearch(context, self._table, self._slots, suspects, self)
        self._budget = RetryBudget(context.options.retry_share, context.options.retry_reserve)
        self._attempts = Attempts(
            context,
            self._table,
            self._slots,
            self._search,
            self._answers,
            claims,
            suspects,
            self._budget,
            self,
        )
        self._reserved = ReservedCommands(
            context, self._table, self._answers, claims, self._admit, self._begin_search
        )
        claims.set_listener(self)
        suspects.set_listener(self._refuse_suspects)

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle callers, attempts and probes."""
        return {
            events.Started: self._start,
            events.RequestArrived: self._handle_arrival,
            events.CallerLeft: self._handle_caller_left,
            events.KeysRequested: self._reserved.handle_keys,
            events.AttemptHead: self._attempts.handle_head,
            events.AttemptDone: self._attempts.handle_done,
            events.AttemptFailed: self._attempts.handle_failure,
            events.ProbeAnswered: self._attempts.handle_probe,
            events.PeerLost: self._handle_lost,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle replies of owners and issuers, and runs asked for by peers."""
        return {
            SlotReply: self._search.handle_reply,
            ReservedRun: self._reserved.handle_run,
            ReservedReply: self._reserved.handle_reply,
        }

    def count_open(self) -> int:
        """Count the requests that have no final answer yet, and commands that still run."""
        return len(self._table)

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        return self._table.find(request)

    def set_silence_listener(self, on_silent: OnSilent) -> None:
        """Set what is told of an owner that gave no answer in time."""
        self._search.on_silent = on_silent

    def register_slots(self, now: float) -> None:
        """Tell the present owners of targets which slots are held here."""
        self._slots.register(now)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.renewal_interval, self.register_slots, now)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        self._reserved.handle_lost(event.peer, now)
        self._search.handle_lost(event.peer, now)

    # Admission.

    def _handle_arrival(self, event: events.RequestArrived, now: float) -> None:
        self._context.count(codes.REQUESTS)
        account = self._context.configuration.accounts.get(event.key_digest)
        if account is None:
            code = codes.UNAUTHORIZED if self._context.config_ready else codes.NOT_READY
            self._answers.reject(event.request, event.on_behalf_of, code, now)
            return
        self._admit(event, account, now)

    def _admit(self, event: events.RequestArrived, account: Account, now: float) -> None:
        service = self._context.configuration.find_service(event.service_name, event.model)
        if service is None:
            code = codes.UNKNOWN_MODEL if event.model else codes.UNKNOWN_SERVICE
            self._answers.reject(event.request, event.on_behalf_of, code, now)
            return
        idempotent = _is_idempotent(service, event)
        code_or_none = _check_request(event, idempotent)
        if idempotent is None or code_or_none is not None:
            code = code_or_none or codes.UNKNOWN_PATH
            self._answers.reject(event.request, event.on_behalf_of, code, now)
            return
        arrived = self._read_arrival(event, now)
        request = Request(event, account, service, idempotent, arrived, now + event.time_left)
        self._open(request, now)

    def _read_arrival(self, event: events.RequestArrived, now: float) -> float:
        """Give the earliest local time at which a request may have come.

        What a peer forwards may have been under way for long. Taken for a new request, it could
        run a key of which a caller has been told "not run" meanwhile.
        """
        if not event.on_behalf_of:
            return now
        return min(now, event.wall - self._context.wall_offset - CLOCK_SKEW)

    def _open(self, request: Request, now: float) -> None:
        allowed = self._table.add(request, now)
        self._context.set_timer(request.deadline, lambda at: self._check_deadline(request, at))
        if not request.idempotent and self._claims.settle_from_memory(request, now):
            return
        refusal = self._check_limits(request, now) if allowed else codes.ACCOUNT_LIMIT
        if refusal is not None:
            # Before the key has been looked up nothing is known of its earlier attempts.
            verdict = Verdict.NOT_RUN if request.idempotent else Verdict.MAY_HAVE_RUN
            self._answers.refuse(request, refusal, verdict, now)
            return
        self._budget.add_request()
        if not request.idempotent and is_reserved(request.arrived.key):
            self._reserved.open(request, now)
            return
        self._begin_search(request, now)

    def _begin_search(self, request: Request, now: float) -> None:
        """Look for a slot, for a request that has crashed a target before a moment later."""
        if self._suspects.count_crashes(request.arrived.body_digest):
            self._search.start_later(request, now + NOTICE_WAIT)
        else:
            self._search.start(request, now)

    def _refuse_suspects(self, digest: str, now: float) -> None:
        """Refuse the requests of a digest that crashes targets, as far as they are not sent yet.

        They came before the word of its last crash, and would wait for the slot with which they
        take down one target more.
        """
        for request in self._table.list_all():
            waits = request.phase is Phase.SLOT and not request.has_slot
            if waits and request.arrived.body_digest == digest:
                self.slot_refused(request, codes.SUSPECT, now)

    def _check_limits(self, request: Request, now: float) -> ErrorCode | None:
        context = self._context
        if self._suspects.is_refused(request.arrived.body_digest):
            return codes.SUSPECT
        if request.time_left(now) <= LEAST_TIME_LEFT:
            return codes.DEADLINE
        needs_table = not request.idempotent and not is_reserved(request.arrived.key)
        recent = now - context.platform_failed < context.options.config_interval
        if needs_table and context.platform_down and recent:
            return codes.PLATFORM_DOWN
        return None

    # Slots: the SlotListener interface.

    def slot_granted(self, request: Request, now: float) -> None:
        """Dispatch a request, or claim its key first."""
        if request.idempotent or request.claimed:
            self._attempts.dispatch(request, now)
        else:
            request.phase = Phase.CLAIM
            self._claims.claim(request, now)

    def slot_refused(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot."""
        if request.idempotent:
            self._answers.refuse(request, code, request.judge(), now)
        elif request.claimed:
            # The claim is held and nothing was sent under it.
            self._claims.abandon(request, now)
            self._answers.refuse(request, code, Verdict.NOT_RUN, now)
        else:
            request.phase = Phase.CLAIM
            self._table.set_attempt(request, self._table.make_attempt())
            self._claims.refuse(request, code, now)

    # Claims: the ClaimListener interface.

    def claim_won(self, request: str, generation: int, now: float) -> None:
        """Dispatch a request whose claim has been seen in the table."""
        found = self._table.find(request)
        if found is None:
            return
        found.claimed = True
        found.generation = generation
        if self._suspects.is_refused(found.arrived.body_digest):
            # The word of its last crash came while the claim was being written.
            self.slot_refused(found, codes.SUSPECT, now)
        else:
            self._attempts.dispatch(found, now)

    def claim_retake(self, request: str, version: int, generation: int, now: float) -> None:
        """Route a request again, to claim a key whose earlier attempt never ran."""
        found = self._table.find(request)
        if found is not None:
            self._slots.release(found, completed=False)
            found.retake_version = version
            found.generation = generation
            self._search.start(found, now)

    def claim_waits(self, request: str, now: float) -> None:
        """Free the slot of a request that waits for another attempt's outcome."""
        found = self._table.find(request)
        if found is not None:
            self._slots.release(found, completed=False)
            found.phase = Phase.SETTLING

    def claim_replayed(self, request: str, outcome: Outcome, now: float) -> None:
        """Answer with a kept outcome."""
        found = self._table.find(request)
        if found is None:
            return
        if not outcome.kept:
            self._answers.refuse(found, codes.OUTCOME_NOT_KEPT, Verdict.RAN, now)
            return
        self._context.count(codes.REPLAYS)
        self._answers.reply(found, outcome, True, now)

    def claim_refused(self, request: str, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Refuse with what the claim duty found out about the key."""
        found = self._table.find(request)
        if found is not None:
            self._answers.refuse(found, code, verdict, now)

    # Ends.

    def refuse_final(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request some attempt of which may have run."""
        if not request.idempotent and not request.sent:
            self.slot_refused(request, code, now)
            return
        if request.claimed:
            self._claims.finish_unknown(request, now)
        self._answers.refuse(request, code, request.judge(), now)

    def _check_deadline(self, request: Request, now: float) -> None:
        if self._table.find(request.id) is not request:
            return
        if request.phase is Phase.RUNNING and request.started:
            # An answer that has begun is finished; only silence ends it.
            return
        if request.phase is Phase.SETTLING:
            self._answers.refuse(request, codes.IN_PROGRESS, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is Phase.FORWARDED:
            self._answers.refuse(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is Phase.CLAIM:
            self._claims.abandon(request, now)
            self._answers.refuse(request, codes.DEADLINE, Verdict.MAY_HAVE_RUN, now)
        elif _runs_command(request):
            # Left alone, its outcome is kept for the caller's next try.
            self._answers.send_refusal(request, codes.DEADLINE, Verdict.MAY_HAVE_RUN, now)
            self._table.detach(request)
        elif request.sent:
            self._attempts.cancel(request)
            self.refuse_final(request, codes.DEADLINE, now)
        else:
            self.slot_refused(request, codes.DEADLINE, now)

    def _handle_caller_left(self, event: events.CallerLeft, now: float) -> None:
        """Stop work that nobody waits for; a command that was sent is left to finish.

        Cancelling a command in flight would leave it half done and its outcome unknown; left
        alone, its outcome is kept for the caller's next try.
        """
        request = self._table.find(event.request)
        if request is None:
            return
        self._context.count(codes.CALLER_GONE)
        if _runs_command(request):
            self._table.detach(request)
            return
        if not request.idempotent:
            self._claims.abandon(request, now)
        elif request.sent:
            self._attempts.cancel(request)
        self._slots.release(request, completed=False)
        self._table.remove(request)


def _is_idempotent(service: Service, event: events.RequestArrived) -> bool | None:
    """Whether a request may be repeated; None if the service has no such operation."""
    if service.kind == KIND_ENGINE:
        return True
    operation = service.find_operation(event.method, event.path)
    return None if operation is None else operation.idempotent


def _check_request(event: events.RequestArrived, idempotent: bool | None) -> ErrorCode | None:
    if idempotent is None:
        return codes.UNKNOWN_PATH
    if not idempotent and not event.key:
        return codes.KEY_REQUIRED
    if event.key and not is_valid_key(event.key):
        return codes.KEY_INVALID
    return None


def _runs_command(request: Request) -> bool:
    """Whether a command is at its target, or was and it is being found out what became of it."""
    at_target = request.phase in (Phase.RUNNING, Phase.PROBING)
    return at_target and not request.idempotent and request.sent
