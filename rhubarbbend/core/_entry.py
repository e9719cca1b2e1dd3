"""The entry duty: takes a caller's request from its arrival to its final answer.

A request is admitted, routed, given a slot by the owner of a target, claimed if it is not
idempotent, dispatched, and answered. Each failure on the way is turned into a verdict about the
request's key; what is in doubt is said to be in doubt. A request that is given up is answered at
once.
"""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import actions, events
from rhubarbbend.core._claims import CLOCK_SKEW, ClaimDuty, Outcome
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._keys import ReservedKey, is_reserved, is_valid_key
from rhubarbbend.core._owner import (
    REFUSAL_FULL,
    REFUSAL_NOT_OWNER,
    REFUSAL_NOT_READY,
    REFUSAL_QUEUE,
    REFUSAL_WAIT,
)
from rhubarbbend.core._requests import Phase, Request
from rhubarbbend.core._retries import RetryBudget
from rhubarbbend.core._suspects import SuspectDuty
from rhubarbbend.core._tickets import Place, Ticket, decode_ticket, encode_ticket
from rhubarbbend.core.configuration import Account, Service
from rhubarbbend.core.limits import LIMITS
from rhubarbbend.core.messages import (
    HeldSlot,
    Message,
    ReservedReply,
    ReservedRun,
    SlotRelease,
    SlotRenewal,
    SlotReply,
    SlotRequest,
)
from rhubarbbend.core.routing import POLICIES, Candidate, Choice, Reason, RoutedRequest
from rhubarbbend.core.routing import RoutingPolicy as Policy

STAGE_CONNECT = "connect"
# The target answered that it does not take the request now.
STAGE_REFUSED = "refused"
MAX_REDIRECTS = 2
MAX_KEYS_AT_ONCE = 100
LEAST_TIME_LEFT = 0.0
KIND_ENGINE = "engine"

_REFUSAL_COUNTERS = {
    REFUSAL_FULL: codes.RETRY_FULL,
    REFUSAL_QUEUE: codes.RETRY_FULL,
    REFUSAL_WAIT: codes.RETRY_FULL,
    REFUSAL_NOT_READY: codes.RETRY_NOT_READY,
}
_REFUSAL_CODES = {
    REFUSAL_FULL: codes.OVERLOADED,
    REFUSAL_QUEUE: codes.QUEUE_FULL,
    REFUSAL_WAIT: codes.WAIT_TOO_LONG,
    REFUSAL_NOT_READY: codes.NO_TARGET,
}
_REASON_COUNTERS = {
    Reason.TICKET: codes.ROUTED_TICKET,
    Reason.HOME: codes.ROUTED_HOME,
    Reason.MOVED: codes.ROUTED_MOVED,
}


class EntryDuty:
    """All open requests of this instance. Invariant: each ends in exactly one final answer."""

    def __init__(self, context: Context, claims: ClaimDuty, suspects: SuspectDuty) -> None:
        self._context = context
        self._claims = claims
        self._suspects = suspects
        self._requests: dict[str, Request] = {}
        self._by_attempt: dict[str, Request] = {}
        self._limits = [LIMITS.find(name)() for name in LIMITS.list_names()]
        self._budget = RetryBudget(context.options.retry_share, context.options.retry_reserve)
        self._policies: dict[str, Policy] = {}
        self._next_attempt = 0
        claims.set_listener(self)

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle callers, attempts and probes."""
        return {
            events.Started: self._start,
            events.RequestArrived: self._handle_arrival,
            events.CallerLeft: self._handle_caller_left,
            events.KeysRequested: self._handle_keys,
            events.AttemptHead: self._handle_head,
            events.AttemptDone: self._handle_done,
            events.AttemptFailed: self._handle_failure,
            events.ProbeAnswered: self._handle_probe,
            events.PeerLost: self._handle_lost,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle replies of owners and issuers, and runs asked for by peers."""
        return {
            SlotReply: self._handle_slot,
            ReservedRun: self._handle_reserved_run,
            ReservedReply: self._handle_reserved_reply,
        }

    def count_open(self) -> int:
        """Count the requests that have no final answer yet."""
        return len(self._requests)

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        return self._requests.get(request)

    def register_slots(self, now: float) -> None:
        """Tell the present owners of targets which slots are held here.

        A new owner learns the running requests this way; a present one frees those whose release
        was lost.
        """
        held: dict[str, list[HeldSlot]] = {}
        for request in self._requests.values():
            if request.has_slot:
                slot = HeldSlot(
                    attempt=request.attempt,
                    account=request.account.name,
                    suspect=request.wants_suspect_slot,
                )
                held.setdefault(request.target, []).append(slot)
        identity = self._context.identity
        for target, slots in held.items():
            renewal = SlotRenewal(
                instance=identity.instance,
                incarnation=identity.incarnation,
                target=target,
                slots=slots,
            )
            self._send_owner(target, renewal)

    def _start(self, event: events.Started, now: float) -> None:
        self._context.repeat(self._context.options.renewal_interval, self.register_slots, now)

    # Admission.

    def _handle_arrival(self, event: events.RequestArrived, now: float) -> None:
        self._context.count(codes.REQUESTS)
        account = self._context.configuration.accounts.get(event.key_digest)
        if account is None:
            code = codes.UNAUTHORIZED if self._context.config_ready else codes.NOT_READY
            self._reject(event.request, code)
            return
        self._admit(event, account, now)

    def _admit(self, event: events.RequestArrived, account: Account, now: float) -> None:
        service = self._context.configuration.find_service(event.service_name, event.model)
        if service is None:
            code = codes.UNKNOWN_MODEL if event.model else codes.UNKNOWN_SERVICE
            self._reject(event.request, code)
            return
        idempotent = True
        if service.kind != KIND_ENGINE:
            operation = service.find_operation(event.method, event.path)
            if operation is None:
                self._reject(event.request, codes.UNKNOWN_PATH)
                return
            idempotent = operation.idempotent
        if not idempotent and not event.key:
            self._reject(event.request, codes.KEY_REQUIRED)
            return
        if event.key and not is_valid_key(event.key):
            self._reject(event.request, codes.KEY_INVALID)
            return
        request = Request(event, account, service, idempotent, now, now + event.time_left)
        self._open(request, now)

    def _open(self, request: Request, now: float) -> None:
        self._requests[request.id] = request
        allowed = [limit.open(request.account, now) for limit in self._limits]
        self._context.set_timer(request.deadline, lambda at: self._check_deadline(request, at))
        if not request.idempotent and self._claims.settle_from_memory(request, now):
            return
        refusal = self._check_limits(request, now) if all(allowed) else codes.ACCOUNT_LIMIT
        if refusal is not None:
            self._refuse_early(request, refusal, now)
            return
        self._budget.add_request()
        if not request.idempotent and is_reserved(request.arrived.key):
            self._open_reserved(request, now)
            return
        self._route(request, now)

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

    def _reject(self, request: str, code: ErrorCode) -> None:
        """Refuse what never became a request of an account: nothing can have run under it."""
        verdict = Verdict.NOT_RUN.value
        self._context.count(f"refused.{code.name}")
        self._context.emit(actions.Refuse(request, code.name, verdict, verdict, code.retry_after))

    def _refuse_early(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse before the key has been looked up: of its earlier attempts nothing is known."""
        verdict = Verdict.NOT_RUN if request.idempotent else Verdict.MAY_HAVE_RUN
        self._refuse(request, code, verdict, now)

    # Reserved keys.

    def _handle_keys(self, event: events.KeysRequested, now: float) -> None:
        account = self._context.configuration.accounts.get(event.key_digest)
        if account is None:
            self._reject(event.request, codes.UNAUTHORIZED)
        elif self._context.stopping:
            self._reject(event.request, codes.STOPPING)
        elif not 1 <= event.count <= MAX_KEYS_AT_ONCE:
            self._reject(event.request, codes.BAD_REQUEST)
        else:
            keys = self._claims.issue_keys(account.name, event.count, now)
            self._context.emit(actions.GiveKeys(event.request, keys))

    def _open_reserved(self, request: Request, now: float) -> None:
        key = self._claims.read_reserved(request)
        if key is None:
            self._refuse(request, codes.KEY_INVALID, Verdict.NOT_RUN, now)
        elif key.expires < self._context.read_wall(now):
            # Its record may be gone already, so whether it has run is not known any more.
            self._refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
        elif self._claims.is_own(key):
            self._route(request, now)
        elif request.arrived.on_behalf_of:
            self._refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
        else:
            self._forward(request, key, now)

    def _forward(self, request: Request, key: ReservedKey, now: float) -> None:
        view = self._context.fleet.instances.get(key.issuer)
        if view is None or view.incarnation not in (0, key.incarnation):
            self._refuse(request, codes.ISSUER_GONE, Verdict.MAY_HAVE_RUN, now)
            return
        request.phase = Phase.FORWARDED
        request.asked_owner = key.issuer
        request.sent = True
        arrived = request.arrived
        message = ReservedRun(
            request=request.id,
            instance=self._context.identity.instance,
            key=arrived.key,
            account=request.account.name,
            service_name=request.service.name,
            method=arrived.method,
            path=arrived.path,
            digest=arrived.body_digest,
            time_left=request.time_left(now),
        )
        self._context.emit(actions.SendReserved(key.issuer, view.host, view.peer_port, message))

    def _handle_reserved_run(self, sender: str, message: ReservedRun, now: float) -> None:
        accounts = self._context.configuration.accounts.values()
        account = next((a for a in accounts if a.name == message.account), None)
        event = events.RequestArrived(
            request=f"{sender}/{message.request}",
            key_digest="" if account is None else account.key_digest,
            service_name=message.service_name,
            model="",
            method=message.method,
            path=message.path.partition("?")[0],
            body_digest=message.digest,
            time_left=message.time_left,
            key=message.key,
            on_behalf_of=sender,
        )
        if account is None:
            reply = ReservedReply(
                request=message.request, error=codes.UNAUTHORIZED.name, verdict="not_run"
            )
            self._context.send(sender, reply)
            return
        self._admit(event, account, now)

    def _handle_reserved_reply(self, sender: str, message: ReservedReply, now: float) -> None:
        request = self._requests.get(message.request)
        if request is None or request.phase is not Phase.FORWARDED:
            return
        if request.asked_owner != sender:
            return
        if message.error:
            verdict = _read_verdict(message.verdict)
            self._refuse(request, codes.find_error(message.error), verdict, now)
            return
        outcome = Outcome(message.status, message.content_type, message.body, True)
        self._reply(request, outcome, message.replayed, now)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        for request in list(self._requests.values()):
            if request.asked_owner != event.peer:
                continue
            if request.phase is Phase.FORWARDED:
                self._refuse(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)
            elif request.phase is Phase.SLOT and not request.has_slot:
                self._context.count(codes.RETRY_OWNER)
                self._ask_next(request, now)

    # Routing.

    def _route(self, request: Request, now: float) -> None:
        """Plan the targets to ask and ask the first."""
        candidates = self._list_candidates(request, now)
        request.phase = Phase.SLOT
        request.position = -1
        request.redirects = 0
        request.wants_suspect_slot = self._suspects.count_crashes(request.arrived.body_digest) > 0
        if not candidates:
            self._give_up(request, codes.NO_TARGET, now)
            return
        policy = self._find_policy(request.service)
        request.plan = policy.plan(self._describe(request, now), candidates, self._context.random)
        self._ask_next(request, now)

    def _list_candidates(self, request: Request, now: float) -> list[Candidate]:
        context = self._context
        own_zone = context.identity.zone
        model = request.arrived.model
        found: list[Candidate] = []
        for view in context.fleet.list_targets(request.service.name):
            known = view.zone == own_zone and view.updated >= 0
            if view.leaving or view.id in request.excluded or view.down_until > now:
                continue
            if not context.configuration.is_target_in_service(view.id, view.zone):
                continue
            if known and (not view.ready or not _has_model(view, model)):
                continue
            if not context.fleet.is_reachable(context.fleet.find_owner(view)):
                # Asking an owner behind a partition costs a time-out for each request.
                continue
            found.append(
                Candidate(
                    view.id,
                    view.zone,
                    view.boot_id,
                    view.load,
                    view.limit,
                    known,
                    view.cold,
                    view.zone == own_zone,
                )
            )
        return found

    def _describe(self, request: Request, now: float) -> RoutedRequest:
        arrived = request.arrived
        ticket = self._read_ticket(request)
        return RoutedRequest(
            chat=arrived.chat or request.id,
            tokens=arrived.tokens,
            ticket=ticket,
            time_left=request.time_left(now),
            max_wait=request.service.max_wait,
            prefill_rate=request.service.prefill_rate,
            wall=self._context.read_wall(now),
        )

    def _read_ticket(self, request: Request) -> Ticket | None:
        arrived = request.arrived
        if not arrived.ticket:
            return None
        secret = self._context.identity.secret
        ticket = decode_ticket(secret, request.account.name, arrived.chat, arrived.ticket)
        found: Ticket | None = ticket.value_or(None)
        if found is None:
            self._context.count(codes.TICKETS_BAD)
        return found

    def _find_policy(self, service: Service) -> Policy:
        policy = self._policies.get(service.policy)
        if policy is None:
            policy = self._policies[service.policy] = POLICIES.find(service.policy)()
        return policy

    def _ask_next(self, request: Request, now: float) -> None:
        """Ask the owner of the next choice; give up when none is left."""
        self._forget_attempt(request)
        while request.position + 1 < len(request.plan):
            request.position += 1
            view = self._context.fleet.targets.get(request.choice.target)
            last = request.position + 1 == len(request.plan)
            if request.position >= self._context.options.max_moves and not last:
                continue
            if view is not None and request.time_left(now) > 0:
                self._ask_owner(request, view, self._context.fleet.find_owner(view), now)
                return
        code = _REFUSAL_CODES.get(request.last_refusal, codes.OVERLOADED)
        self._give_up(request, code, now)

    def _ask_owner(self, request: Request, view: TargetView, owner: str, now: float) -> None:
        identity = self._context.identity
        self._next_attempt += 1
        attempt = f"{identity.instance}-{identity.incarnation:x}-{self._next_attempt:x}"
        self._forget_attempt(request)
        request.attempt = attempt
        request.target = view.id
        request.asked_owner = owner
        self._by_attempt[attempt] = request
        wait = min(request.choice.max_wait, max(0.0, request.time_left(now)))
        message = SlotRequest(
            attempt=attempt,
            instance=identity.instance,
            incarnation=identity.incarnation,
            target=view.id,
            account=request.account.name,
            max_wait=wait,
            suspect=request.wants_suspect_slot,
            service_name=request.service.name,
            weight=request.account.weight,
        )
        self._context.send(owner, message)
        if owner != identity.instance:
            timeout = now + wait + self._context.options.slot_timeout
            self._context.set_timer(timeout, lambda at: self._check_owner(request, attempt, at))

    def _check_owner(self, request: Request, attempt: str, now: float) -> None:
        """Ask elsewhere when an owner has not answered in time.

        A frozen owner, or a silent connection to it, would otherwise hold the request until its
        deadline. A grant that comes after all is handed back.
        """
        if self._by_attempt.get(attempt) is not request or request.phase is not Phase.SLOT:
            return
        self._context.count(codes.RETRY_OWNER)
        self._send_release(request, SlotRelease(attempt=attempt, target=request.target))
        self._ask_next(request, now)

    def _handle_slot(self, sender: str, message: SlotReply, now: float) -> None:
        request = self._by_attempt.get(message.attempt)
        waiting = request is not None and request.phase is Phase.SLOT and not request.has_slot
        if request is None or not waiting:
            if not message.refusal and request is None:
                self._context.count(codes.SLOTS_LATE)
                release = SlotRelease(attempt=message.attempt, target=message.target)
                self._context.send(sender, release)
            return
        if message.refusal:
            self._handle_refusal(request, message, now)
            return
        request.has_slot = True
        request.boot_id = message.boot_id
        self._context.count(_REASON_COUNTERS[request.choice.reason])
        if request.idempotent or request.claimed:
            self._dispatch(request, now)
        else:
            request.phase = Phase.CLAIM
            self._claims.claim(request, now)

    def _handle_refusal(self, request: Request, message: SlotReply, now: float) -> None:
        view = self._context.fleet.targets.get(message.target)
        redirected = message.refusal == REFUSAL_NOT_OWNER
        if redirected and view is not None and request.redirects < MAX_REDIRECTS:
            request.redirects += 1
            self._context.count(codes.RETRY_REDIRECT)
            self._ask_owner(request, view, message.owner, now)
            return
        if not redirected:
            request.last_refusal = message.refusal
            request.owner_retry_after = message.retry_after
            self._context.count(_REFUSAL_COUNTERS.get(message.refusal, codes.RETRY_FULL))
        self._ask_next(request, now)

    # Claims: the ClaimListener interface.

    def claim_won(self, request: str, generation: int, now: float) -> None:
        """Dispatch a request whose claim has been seen in the table."""
        found = self._requests.get(request)
        if found is None or found.phase is not Phase.CLAIM or not found.has_slot:
            return
        found.claimed = True
        found.generation = generation
        self._dispatch(found, now)

    def claim_retake(self, request: str, version: int, generation: int, now: float) -> None:
        """Route a request again, to claim a key whose earlier attempt never ran."""
        found = self._requests.get(request)
        if found is not None:
            self._release_slot(found, completed=False)
            found.retake_version = version
            found.generation = generation
            self._route(found, now)

    def claim_waits(self, request: str, now: float) -> None:
        """Free the slot of a request that waits for another attempt's outcome."""
        found = self._requests.get(request)
        if found is not None:
            self._release_slot(found, completed=False)
            found.phase = Phase.SETTLING

    def claim_replayed(self, request: str, outcome: Outcome, now: float) -> None:
        """Answer with a kept outcome."""
        found = self._requests.get(request)
        if found is None:
            return
        if not outcome.kept:
            self._refuse(found, codes.OUTCOME_NOT_KEPT, Verdict.RAN, now)
            return
        self._context.count(codes.REPLAYS)
        self._reply(found, outcome, True, now)

    def claim_refused(self, request: str, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Refuse with what the claim duty found out about the key."""
        found = self._requests.get(request)
        if found is not None:
            self._refuse(found, code, verdict, now)

    # Attempts.

    def _dispatch(self, request: Request, now: float) -> None:
        view = self._context.fleet.targets.get(request.target)
        if view is None:
            self._release_slot(request, completed=False)
            self._ask_next(request, now)
            return
        request.phase = Phase.RUNNING
        request.attempts += 1
        request.sent = True
        request.dispatched_at = now
        self._context.emit(
            actions.Dispatch(
                request.id,
                request.attempt,
                request.target,
                view.host,
                view.port,
                # A command must not be lost on an idle connection that has gone silent.
                fresh=not request.idempotent,
                ticket=self._make_ticket(request, now),
                fence=request.generation,
                keep=not request.idempotent,
                head_timeout=min(request.service.head_timeout, request.time_left(now)),
                progress_timeout=request.service.progress_timeout,
            )
        )

    def _make_ticket(self, request: Request, now: float) -> str:
        """Make the ticket that leads the chat's next request back to this target."""
        arrived = request.arrived
        if not arrived.chat or request.service.kind != KIND_ENGINE:
            return ""
        wall = self._context.read_wall(now)
        place = Place(request.target, request.boot_id, wall, arrived.tokens)
        former = self._read_ticket(request)
        others = [] if former is None else [p for p in former.places if p.target != place.target]
        longest = max(others, key=lambda p: p.tokens, default=None)
        places = (place,) if longest is None else (place, longest)
        secret = self._context.identity.secret
        return encode_ticket(secret, request.account.name, arrived.chat, Ticket(places))

    def _handle_head(self, event: events.AttemptHead, now: float) -> None:
        request = self._by_attempt.get(event.attempt)
        if request is not None:
            # A command's answer is held until it is whole, so nothing has reached the caller yet.
            request.started = request.idempotent
            request.first_byte = event.after

    def _handle_done(self, event: events.AttemptDone, now: float) -> None:
        request = self._by_attempt.get(event.attempt)
        if request is None:
            return
        self._suspects.clear(request.arrived.body_digest)
        self._context.count(codes.ANSWERS)
        outcome = Outcome(event.status, event.content_type, event.body, event.kept)
        if not request.idempotent:
            self._claims.finish(request, outcome, now)
        self._release_slot(request, completed=True, total=event.total)
        if request.idempotent:
            self._close(request)
        else:
            # A command's answer is given only once its outcome is kept.
            self._reply(request, outcome, False, now)

    def _handle_failure(self, event: events.AttemptFailed, now: float) -> None:
        request = self._by_attempt.get(event.attempt)
        if request is None:
            return
        request.relayed = event.relayed
        if event.stage == STAGE_CONNECT:
            # No byte went out, so this attempt provably did not run.
            request.sent = request.attempts > 1 and request.idempotent
            self._retry_elsewhere(request, codes.RETRY_CONNECT, now)
        elif event.stage == STAGE_REFUSED and request.idempotent:
            self._retry_elsewhere(request, codes.RETRY_FAILED, now)
        elif event.reused and not request.started:
            # The idle connection may have been lost by something in between; a new one tells.
            self._context.count(codes.RETRY_SILENT)
            self._redispatch(request, now)
        else:
            self._probe(request, now)

    def _redispatch(self, request: Request, now: float) -> None:
        view = self._context.fleet.targets.get(request.target)
        if view is None or not request.idempotent:
            self._fail(request, now)
            return
        self._context.emit(
            actions.Dispatch(
                request.id,
                request.attempt,
                request.target,
                view.host,
                view.port,
                fresh=True,
                ticket=self._make_ticket(request, now),
                head_timeout=min(request.service.head_timeout, max(0.1, request.time_left(now))),
                progress_timeout=request.service.progress_timeout,
            )
        )

    def _probe(self, request: Request, now: float) -> None:
        """Ask the target over a new connection before it is called dead.

        A connection can go silent or be cut while the target is well; blaming the target would
        move its chats and count a crash against the request.
        """
        view = self._context.fleet.targets.get(request.target)
        if view is None:
            self._fail(request, now)
            return
        request.phase = Phase.PROBING
        self._context.emit(actions.Probe(view.id, request.attempt, view.host, view.port))
        attempt = request.attempt
        timeout = now + self._context.options.probe_timeout
        self._context.set_timer(
            timeout,
            lambda at: self._handle_probe(events.ProbeAnswered(view.id, attempt, ""), at),
        )

    def _handle_probe(self, event: events.ProbeAnswered, now: float) -> None:
        request = self._by_attempt.get(event.attempt)
        if request is None or request.phase is not Phase.PROBING:
            return
        crashed = event.boot_id != request.boot_id
        if crashed:
            digest = request.arrived.body_digest
            self._suspects.record_crash(digest, request.boot_id, now)
            view = self._context.fleet.targets.get(request.target)
            if view is not None and not event.boot_id:
                view.down_until = now + self._context.options.down_hold
        if request.started:
            self._resume(request, crashed, now)
        elif request.idempotent:
            counter = codes.RETRY_CRASH if crashed else codes.RETRY_FAILED
            self._retry_elsewhere(request, counter, now)
        else:
            self._fail(request, now)

    def _resume(self, request: Request, crashed: bool, now: float) -> None:
        """Continue a cut stream at its offset on the same engine, or end it visibly."""
        view = self._context.fleet.targets.get(request.target)
        can_resume = request.idempotent and request.service.kind == KIND_ENGINE
        allowed = request.resumes < self._context.options.max_resumes
        if crashed or not can_resume or not allowed or view is None:
            self._fail(request, now)
            return
        request.resumes += 1
        request.phase = Phase.RUNNING
        self._context.count(codes.RESUMES)
        self._context.emit(
            actions.Resume(
                request.id,
                request.attempt,
                view.host,
                view.port,
                request.service.progress_timeout,
            )
        )

    def _retry_elsewhere(self, request: Request, counter: str, now: float) -> None:
        self._release_slot(request, completed=False)
        request.excluded.add(request.target)
        if self._suspects.is_refused(request.arrived.body_digest):
            self._refuse_final(request, codes.SUSPECT, now)
        elif request.attempts >= self._context.options.max_attempts:
            self._fail(request, now)
        elif not self._budget.take():
            self._refuse_final(request, codes.RETRY_BUDGET, now)
        else:
            self._context.count(counter)
            self._route(request, now)

    def _fail(self, request: Request, now: float) -> None:
        """End a request whose attempt failed and is not repeated."""
        if request.started:
            self._finish_unknown(request, now)
            self._context.count(codes.ANSWERS_CUT)
            self._context.emit(actions.CutAnswer(request.id, codes.TARGET_FAILED.name))
            self._release_slot(request, completed=False)
            self._close(request)
            return
        code = codes.TARGET_FAILED if request.idempotent else codes.OUTCOME_UNKNOWN
        self._refuse_final(request, code, now)

    def _finish_unknown(self, request: Request, now: float) -> None:
        if not request.idempotent and request.claimed:
            self._claims.finish_unknown(request, now)

    # Ends.

    def _check_deadline(self, request: Request, now: float) -> None:
        if self._requests.get(request.id) is not request:
            return
        if request.phase is Phase.RUNNING and request.started:
            # An answer that has begun is finished; only silence ends it.
            return
        if request.phase is Phase.SETTLING:
            self._refuse(request, codes.IN_PROGRESS, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is Phase.FORWARDED:
            self._refuse(request, codes.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, now)
        elif request.phase is Phase.CLAIM:
            self._claims.abandon(request, now)
            self._refuse(request, codes.DEADLINE, Verdict.MAY_HAVE_RUN, now)
        elif request.sent:
            self._cancel(request)
            self._refuse_final(request, codes.DEADLINE, now)
        else:
            self._give_up(request, codes.DEADLINE, now)

    def _handle_caller_left(self, event: events.CallerLeft, now: float) -> None:
        """Stop work that nobody waits for; a command that was sent is left to finish.

        Cancelling a command in flight would leave it half done and its outcome unknown; left
        alone, its outcome is kept for the caller's next try.
        """
        request = self._requests.get(event.request)
        if request is None:
            return
        self._context.count(codes.CALLER_GONE)
        if not request.idempotent and request.sent:
            return
        if not request.idempotent:
            self._claims.abandon(request, now)
        if request.sent:
            self._cancel(request)
        self._release_slot(request, completed=False)
        self._close(request)

    def _cancel(self, request: Request) -> None:
        view = self._context.fleet.targets.get(request.target)
        if view is not None and request.idempotent:
            self._context.emit(actions.CancelAttempt(request.attempt, view.host, view.port))

    def _give_up(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request that got no slot."""
        if request.idempotent:
            self._refuse(request, code, request.judge(), now)
        elif request.claimed:
            # The claim is held and nothing was sent under it.
            self._claims.abandon(request, now)
            self._refuse(request, code, Verdict.NOT_RUN, now)
        else:
            self._forget_attempt(request)
            request.phase = Phase.CLAIM
            self._next_attempt += 1
            identity = self._context.identity
            attempt = f"{identity.instance}-{identity.incarnation:x}-{self._next_attempt:x}"
            request.attempt = attempt
            self._claims.refuse(request, code, now)

    def _refuse_final(self, request: Request, code: ErrorCode, now: float) -> None:
        """Refuse a request some attempt of which may have run."""
        if not request.idempotent and not request.sent:
            self._give_up(request, code, now)
            return
        self._finish_unknown(request, now)
        self._refuse(request, code, request.judge(), now)

    def _refuse(self, request: Request, code: ErrorCode, verdict: Verdict, now: float) -> None:
        self._context.count(f"refused.{code.name}")
        self._release_slot(request, completed=False)
        retry_after = code.retry_after
        if code in _REFUSAL_CODES.values():
            retry_after = max(retry_after, request.owner_retry_after)
        if not request.idempotent and verdict is Verdict.NOT_RUN and retry_after:
            # A refusal holds for its key this long, see ClaimDuty._settle_refused.
            hold = self._context.options.claim_timeout + CLOCK_SKEW
            retry_after = max(retry_after, hold)
        peer = request.arrived.on_behalf_of
        if peer:
            reply = ReservedReply(
                request=request.id.partition("/")[2], error=code.name, verdict=verdict.value
            )
            self._context.send(peer, reply)
        else:
            self._context.emit(
                actions.Refuse(
                    request.id, code.name, verdict.value, request.judge().value, retry_after
                )
            )
        self._close(request)

    def _reply(self, request: Request, outcome: Outcome, replayed: bool, now: float) -> None:
        self._release_slot(request, completed=False)
        peer = request.arrived.on_behalf_of
        if peer:
            reply = ReservedReply(
                request=request.id.partition("/")[2],
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
                replayed=replayed,
                verdict=Verdict.RAN.value,
            )
            self._context.send(peer, reply)
        else:
            self._context.emit(
                actions.Reply(
                    request.id, outcome.status, outcome.content_type, outcome.body, replayed
                )
            )
        self._close(request)

    def _release_slot(self, request: Request, completed: bool, total: float = 0.0) -> None:
        if not request.attempt:
            return
        waiting = request.phase is Phase.SLOT and request.attempt in self._by_attempt
        if request.has_slot or waiting:
            release = SlotRelease(
                attempt=request.attempt,
                target=request.target,
                completed=completed,
                first_byte=request.first_byte,
                total=total,
                sent=request.phase in (Phase.RUNNING, Phase.PROBING),
                failed=request.phase is Phase.PROBING,
                tokens=request.arrived.tokens,
            )
            self._send_release(request, release)
        request.has_slot = False
        self._forget_attempt(request)

    def _send_release(self, request: Request, release: SlotRelease) -> None:
        """Give a slot back to the owner that granted it and to the present one, if another.

        Lists may differ: the one that granted may still count it, and the present one may have
        learned of it from a renewal.
        """
        view = self._context.fleet.targets.get(request.target)
        present = "" if view is None else self._context.fleet.find_owner(view)
        for owner in dict.fromkeys((request.asked_owner, present)):
            self._context.send(owner, release)

    def _send_owner(self, target: str, message: Message) -> None:
        view = self._context.fleet.targets.get(target)
        if view is not None:
            self._context.send(self._context.fleet.find_owner(view), message)

    def _forget_attempt(self, request: Request) -> None:
        self._by_attempt.pop(request.attempt, None)

    def _close(self, request: Request) -> None:
        self._forget_attempt(request)
        if self._requests.pop(request.id, None) is not None:
            for limit in self._limits:
                limit.close(request.account)


def _has_model(view: TargetView, model: str) -> bool:
    return not model or not view.models or model in view.models


def _read_verdict(text: str) -> Verdict:
    try:
        return Verdict(text)
    except ValueError:
        return Verdict.MAY_HAVE_RUN


__all__ = ["Choice", "EntryDuty"]
