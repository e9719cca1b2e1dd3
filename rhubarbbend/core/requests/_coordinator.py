"""The handling of a caller's request by the entry instance, the one that received it.

A request is admitted, routed, granted a slot by the owner of a target, claimed if it is not
idempotent, dispatched, and answered. Each failure on the way becomes a verdict about the request's
idempotency key: it did not run, it ran, or it may have run. A request that is abandoned is
answered at once.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._suspects import CRASH_NOTICE_DELAY_S, CrashSuspectTracker
from rhubarbbend.core.claims._claim_coordinator import ClaimCoordinator
from rhubarbbend.core.claims._claim_records import MAX_CLOCK_SKEW_S
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.claims._keys import has_reserved_prefix, is_valid_key
from rhubarbbend.core.claims._reserved_commands import ReservedCommands
from rhubarbbend.core.configuration import KIND_ENGINE, Account, Service
from rhubarbbend.core.messages import Message, ReservedReply, ReservedRun, SlotReply
from rhubarbbend.core.requests._attempts import Attempts
from rhubarbbend.core.requests._request import Request, RequestPhase
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._responses import ResponseSender
from rhubarbbend.core.requests._retries import RetryBudget
from rhubarbbend.core.requests._slots import OwnerTimeoutCallback, SlotLeases, SlotSearch
from rhubarbbend.core.requests._trials import TrialCoordinator

MIN_TIME_LEFT_S: Final = 0.0


class RequestCoordinator:
    """Coordinates the open requests of this instance.

    Invariant: each request ends with exactly one final response, or none if its caller has left.
    """

    def __init__(
        self, context: Context, claims: ClaimCoordinator, suspects: CrashSuspectTracker
    ) -> None:
        self._context = context
        self._claims = claims
        self._suspects = suspects
        self._table = RequestTable(context)
        self._leases = SlotLeases(context, self._table)
        self._responses = ResponseSender(context, self._table, self._leases)
        self._trials = TrialCoordinator(context, self._table, suspects)
        self._trials.refuse = self._refuse_suspect
        self._search = SlotSearch(context, self._table, self._leases, suspects, self._trials, self)
        self._budget = RetryBudget(context.options.retry_share, context.options.retry_reserve)
        self._attempts = Attempts(
            context,
            self._table,
            self._leases,
            self._search,
            self._responses,
            claims,
            suspects,
            self._trials,
            self._budget,
            self,
        )
        self._reserved = ReservedCommands(
            context, self._table, self._responses, claims, self._admit, self._begin_search
        )
        claims.set_listener(self)
        suspects.set_limit_listener(self._refuse_suspect_requests)

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handlers of events about callers, attempts, probes and lost peers."""
        return {
            events.Started: self._start,
            events.RequestArrived: self._handle_arrival,
            events.CallerLeft: self._handle_caller_left,
            events.KeysRequested: self._reserved.handle_keys_requested,
            events.AttemptHead: self._attempts.handle_head,
            events.AttemptDone: self._attempts.handle_done,
            events.AttemptFailed: self._attempts.handle_failure,
            events.TargetPaused: self._attempts.handle_pause,
            events.TargetLeaving: self._attempts.handle_leaving,
            events.ProbeAnswered: self._attempts.handle_probe,
            events.ReportRead: self._attempts.handle_report,
            events.PeerLost: self._handle_peer_lost,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers of messages from peers.

        These are the replies of slot owners and of issuers of reserved keys, and the commands that
        peers forward.
        """
        return {
            SlotReply: self._search.handle_reply,
            ReservedRun: self._reserved.handle_reserved_run,
            ReservedReply: self._reserved.handle_reserved_reply,
            **self._trials.get_message_handlers(),
        }

    def count_open_requests(self) -> int:
        """Return the number of requests without a final response and of commands still running."""
        return len(self._table)

    def find_request(self, request_id: str) -> Request | None:
        """Return the open request with this id, if there is one."""
        return self._table.find(request_id)

    def set_owner_timeout_callback(self, callback: OwnerTimeoutCallback) -> None:
        """Set the callback that is called when the owner of a slot did not reply in time."""
        self._search.on_owner_timeout = callback

    def renew_slots(self, now: float) -> None:
        """Send renewals of the slots that this instance holds to the current owners."""
        self._leases.register(now)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.renewal_interval, self.renew_slots, now)

    def _handle_peer_lost(self, event: events.PeerLost, now: float) -> None:
        self._reserved.handle_peer_lost(event.peer, now)
        self._search.handle_peer_lost(event.peer, now)

    # Admission.

    def _handle_arrival(self, event: events.RequestArrived, now: float) -> None:
        self._context.count(codes.REQUESTS)
        account = self._context.configuration.accounts.get(event.key_digest)
        if account is None:
            code = codes.UNAUTHORIZED if self._context.config_ready else codes.NOT_READY
            self._responses.reject(event.request, event.on_behalf_of, code, now)
            return
        self._admit(event, account, now)

    def _admit(self, event: events.RequestArrived, account: Account, now: float) -> None:
        service = self._context.configuration.find_service(event.service_name, event.model)
        if service is None:
            code = codes.UNKNOWN_MODEL if event.model else codes.UNKNOWN_SERVICE
            self._responses.reject(event.request, event.on_behalf_of, code, now)
            return
        idempotent = _is_idempotent(service, event)
        request_error = _check_request(event, idempotent)
        if idempotent is None or request_error is not None:
            code = request_error or codes.UNKNOWN_PATH
            self._responses.reject(event.request, event.on_behalf_of, code, now)
            return
        arrived = self._estimate_arrival_time(event, now)
        request = Request(event, account, service, idempotent, arrived, now + event.time_left)
        self._open(request, now)

    def _estimate_arrival_time(self, event: events.RequestArrived, now: float) -> float:
        """Return the earliest local time at which a request may have arrived.

        A request that a peer forwards may have been in transit for long. If it counted as new, it
        could run a key for which a caller has been told "not run" in the meantime.
        """
        if not event.on_behalf_of:
            return now
        return min(now, event.wall - self._context.unix_time_offset_s - MAX_CLOCK_SKEW_S)

    def _open(self, request: Request, now: float) -> None:
        allowed = self._table.add(request, now)
        self._context.set_timer(request.deadline, lambda at: self._check_deadline(request, at))
        if not request.idempotent and self._claims.resolve_from_record(request, now):
            return
        refusal = self._check_admission(request, now) if allowed else codes.ACCOUNT_LIMIT
        if refusal is not None:
            # The key has not been looked up yet, so an earlier attempt may have run.
            verdict = Verdict.NOT_RUN if request.idempotent else Verdict.MAY_HAVE_RUN
            self._responses.refuse(request, refusal, verdict, now)
            return
        self._budget.record_request()
        if not request.idempotent and has_reserved_prefix(request.arrival.key):
            self._reserved.run_or_forward(request, now)
            return
        self._begin_search(request, now)

    def _begin_search(self, request: Request, now: float) -> None:
        """Start the search for a slot.

        The search is delayed by CRASH_NOTICE_DELAY_S for a request that was running when a target
        crashed, so that notices of further crashes arrive first.
        """
        if self._suspects.get_crash_count(request.arrival.body_digest, now):
            self._search.schedule_start(request, now + CRASH_NOTICE_DELAY_S)
        else:
            self._search.start(request, now)

    def _refuse_suspect_requests(self, now: float) -> None:
        """Refuse the requests that await a slot and crash targets.

        They arrived before the notice of the digest's last crash. With a slot they would crash one
        more target.
        """
        for request in self._table.list_all():
            if request.awaits_slot and self._suspects.has_reached_limit(request.content, now):
                self._refuse_suspect(request, now)

    def _refuse_suspect(self, request: Request, now: float) -> None:
        self.handle_slot_refused(request, codes.SUSPECT, now)

    def _check_admission(self, request: Request, now: float) -> ErrorCode | None:
        context = self._context
        if self._suspects.has_reached_limit(request.content, now):
            return codes.SUSPECT
        if request.time_left(now) <= MIN_TIME_LEFT_S:
            return codes.DEADLINE
        if context.stop is not None and not context.stop.leaves_time(now, request.deadline):
            return codes.STOPPING
        needs_claim_table = not request.idempotent and not has_reserved_prefix(request.arrival.key)
        failed_recently = now - context.last_platform_failure < context.options.config_interval
        if needs_claim_table and context.is_table_service_down and failed_recently:
            return codes.PLATFORM_DOWN
        return None

    # The SlotListener interface: results of the search for a slot.

    def handle_slot_granted(self, request: Request, now: float) -> None:
        """Dispatch a request that got a slot, or claim its key first.

        After a stall of the process, its deadline may have passed; the timer that ends it follows.
        """
        if request.time_left(now) <= 0.0:
            self._leases.release(request, completed=False)
        elif request.idempotent or request.claimed:
            self._attempts.dispatch(request, now)
        else:
            request.phase = RequestPhase.CLAIM
            self._claims.claim(request, now)

    def handle_slot_refused(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot."""
        if request.idempotent:
            self._responses.refuse(request, code, request.compute_verdict(), now)
        elif request.claimed:
            # This instance holds the claim and has sent nothing under it.
            self._claims.abandon_attempt(request, now)
            self._responses.refuse(request, code, Verdict.NOT_RUN, now)
        else:
            request.phase = RequestPhase.CLAIM
            self._table.set_current_attempt(request, self._table.make_attempt_id())
            self._claims.refuse(request, code, now)

    # The ClaimListener interface: results of claims.

    def handle_claim_won(self, request_id: str, generation: int, now: float) -> None:
        """Dispatch a request whose claim is confirmed in the claim table.

        One whose deadline has passed is ended by its timer.
        """
        found = self._table.find(request_id)
        if found is None:
            return
        found.claimed = True
        found.claim_generation = generation
        if self._suspects.has_reached_limit(found.content, now):
            # The notice of its last crash arrived while the claim was being written.
            self.handle_slot_refused(found, codes.SUSPECT, now)
        elif found.time_left(now) > 0.0:
            self._attempts.dispatch(found, now)

    def handle_claim_retry_needed(
        self, request_id: str, version: int, generation: int, now: float
    ) -> None:
        """Route a request again, to claim a key whose earlier attempt did not run."""
        found = self._table.find(request_id)
        if found is not None:
            self._leases.release(found, completed=False)
            found.expected_row_version = version
            found.claim_generation = generation
            self._search.start(found, now)

    def handle_claim_pending(self, request_id: str, now: float) -> None:
        """Release the slot of a request that waits for the outcome of another attempt."""
        found = self._table.find(request_id)
        if found is not None:
            self._leases.release(found, completed=False)
            found.phase = RequestPhase.SETTLING

    def handle_claim_replayed(self, request_id: str, outcome: Outcome, now: float) -> None:
        """Send the outcome that was kept for the request's key."""
        found = self._table.find(request_id)
        if found is None:
            return
        if not outcome.kept:
            self._responses.refuse(found, codes.OUTCOME_NOT_KEPT, Verdict.RAN, now)
            return
        self._context.count(codes.REPLAYS)
        self._responses.reply(found, outcome, True, now)

    def handle_claim_refused(
        self, request_id: str, code: ErrorCode, verdict: Verdict, now: float
    ) -> None:
        """Refuse a request with the code and verdict that `ClaimCoordinator` found for its key."""
        found = self._table.find(request_id)
        if found is not None:
            self._responses.refuse(found, code, verdict, now)

    # Ends of requests.

    def refuse_after_attempts(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request of which an attempt may have run."""
        if not request.idempotent and not request.sent:
            self.handle_slot_refused(request, code, now)
            return
        if request.claimed:
            self._claims.record_unknown_outcome(request, now)
        self._responses.refuse(request, code, request.compute_verdict(), now)

    def _check_deadline(self, request: Request, now: float) -> None:
        if self._table.find(request.id) is not request:
            return
        if request.phase is RequestPhase.RUNNING and request.response_started:
            # A response that has begun may exceed the deadline; only a lack of progress ends it.
            return
        if request.phase is RequestPhase.SETTLING:
            self._responses.refuse(request, codes.IN_PROGRESS, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is RequestPhase.FORWARDED:
            self._responses.refuse(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is RequestPhase.CLAIM:
            self._claims.abandon_attempt(request, now)
            self._responses.refuse(request, codes.DEADLINE, Verdict.MAY_HAVE_RUN, now)
        elif _is_command_in_flight(request):
            # The command runs on, and its outcome is kept for the caller's next request.
            self._responses.send_refusal(request, codes.DEADLINE, Verdict.MAY_HAVE_RUN, now)
            self._table.detach(request)
        elif request.sent:
            self._attempts.cancel(request)
            self.refuse_after_attempts(request, codes.DEADLINE, now)
        else:
            self.handle_slot_refused(request, codes.DEADLINE, now)

    def _handle_caller_left(self, event: events.CallerLeft, now: float) -> None:
        """Cancel a request whose caller has left, unless it is a command in flight.

        Cancelling a command in flight would leave it half done and its outcome unknown. It runs to
        its end instead, and its outcome is kept for the caller's next request.
        """
        request = self._table.find(event.request)
        if request is None:
            return
        self._context.count(codes.CALLER_GONE)
        if _is_command_in_flight(request):
            self._table.detach(request)
            return
        if not request.idempotent:
            self._claims.abandon_attempt(request, now)
        elif request.sent:
            self._attempts.cancel(request)
        self._leases.release(request, completed=False)
        self._table.remove(request)


def _is_idempotent(service: Service, event: events.RequestArrived) -> bool | None:
    """Return whether a request is idempotent; None if the service has no such operation."""
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


def _is_command_in_flight(request: Request) -> bool:
    """Return whether a command was sent to its target and its result is not known yet."""
    at_target = request.phase in (RequestPhase.RUNNING, RequestPhase.PROBING)
    return at_target and not request.idempotent and request.sent
