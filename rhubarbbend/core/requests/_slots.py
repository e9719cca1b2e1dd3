"""The holder's side of slots: requesting them from owners, renewing and releasing them.

A slot is the permission to run one request at a target. The instance that owns the target grants it
for the time of a lease.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._pauses import MAX_PAUSE_RETURN_FACTOR
from rhubarbbend.core._suspects import CrashSuspectTracker
from rhubarbbend.core.messages import (
    HeldSlot,
    Message,
    SlotRelease,
    SlotRenewal,
    SlotReply,
    SlotRequest,
)
from rhubarbbend.core.owners._grants import (
    REFUSAL_FULL,
    REFUSAL_NOT_OWNER,
    REFUSAL_NOT_READY,
    REFUSAL_QUEUE_FULL,
    REFUSAL_WAIT_TOO_LONG,
)
from rhubarbbend.core.requests._planner import Planner
from rhubarbbend.core.requests._request import Request, RequestPhase
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._trials import TrialCoordinator
from rhubarbbend.core.routing import Reason

MAX_REDIRECTS: Final = 2
# How often, and at which interval, the targets of a request are planned again while instances
# disagree about who owns them: 2 s in all. Instances learn who owns a target from heartbeats, which
# are sent once a second, and the first may be late. With 1 s in all, a chat was refused during a
# rolling replacement on an overloaded machine.
MAX_OWNERSHIP_REPLANS: Final = 8
OWNERSHIP_REPLAN_DELAY_S: Final = 0.25

_REFUSAL_COUNTERS: Final = {
    REFUSAL_FULL: codes.RETRY_FULL,
    REFUSAL_QUEUE_FULL: codes.RETRY_FULL,
    REFUSAL_WAIT_TOO_LONG: codes.RETRY_FULL,
    REFUSAL_NOT_READY: codes.RETRY_NOT_READY,
}
_REFUSAL_CODES: Final = {
    REFUSAL_FULL: codes.OVERLOADED,
    REFUSAL_QUEUE_FULL: codes.QUEUE_FULL,
    REFUSAL_WAIT_TOO_LONG: codes.WAIT_TOO_LONG,
    REFUSAL_NOT_READY: codes.NO_TARGET,
}
_REASON_COUNTERS: Final = {
    Reason.TICKET: codes.ROUTED_TICKET,
    Reason.HOME: codes.ROUTED_HOME,
    Reason.MOVED: codes.ROUTED_MOVED,
}


class SlotLeases:
    """Releases and renews the slots of this instance at the owners of their targets."""

    def __init__(self, context: Context, table: RequestTable) -> None:
        self._context = context
        self._table = table
        # Targets of recently released slots, and the time of the first renewal sent since the last
        # release; negative if none has been sent.
        self._recently_released: dict[str, float] = {}

    def release(self, request: Request, completed: bool, total: float = 0.0) -> None:
        """Release a request's slot, or withdraw its slot request, and end its attempt."""
        if not request.attempt:
            return
        is_current = self._table.find_by_attempt(request.attempt) is request
        awaiting_slot = request.phase is RequestPhase.SLOT and is_current
        if request.has_slot or awaiting_slot:
            release = SlotRelease(
                attempt=request.attempt,
                target=request.target,
                completed=completed,
                first_byte=request.time_to_first_byte,
                total=total,
                sent=request.phase in (RequestPhase.RUNNING, RequestPhase.PROBING),
                failed=request.phase is RequestPhase.PROBING,
                tokens=request.arrival.tokens,
            )
            self.send_release(request, release)
            self._recently_released[request.target] = -1.0
        request.has_slot = False
        self._context.pauses.record_end(request.target, request.id, was_accepted=False)
        self._table.clear_attempt(request)

    def register(self, now: float) -> None:
        """Send renewals of the slots held here to the current owners of their targets.

        From a renewal a new owner learns the running requests, and an owner that missed a release
        frees the slot. For the latter, a target gets renewals for one lease after a release also
        when no slot of it is held here. Otherwise an owner that was behind a network partition
        would keep the slots until their lease ends.
        """
        slots_by_target: dict[str, list[HeldSlot]] = {
            target: [] for target in self._list_recently_released(now)
        }
        for request in self._table.list_all():
            if request.has_slot:
                slot = HeldSlot(
                    attempt=request.attempt,
                    account=request.account.name,
                    suspect=request.is_suspect,
                )
                slots_by_target.setdefault(request.target, []).append(slot)
        identity = self._context.identity
        for target, slots in slots_by_target.items():
            renewal = SlotRenewal(
                instance=identity.instance,
                incarnation=identity.incarnation,
                target=target,
                slots=slots,
            )
            self.send_to_owner(target, renewal)

    def _list_recently_released(self, now: float) -> list[str]:
        """Return the targets of recent releases, and expire those older than one lease."""
        lease = self._context.options.slot_lease
        for target, first_renewed_at in list(self._recently_released.items()):
            if first_renewed_at < 0:
                self._recently_released[target] = now
            elif now - first_renewed_at > lease:
                del self._recently_released[target]
        return list(self._recently_released)

    def send_release(self, request: Request, release: SlotRelease) -> None:
        """Release a slot at the owner that granted it, and at the current owner if it differs.

        Instances may disagree about who owns the target: the one that granted the slot may still
        count it, and the current owner may have learned of it from a renewal.
        """
        view = self._context.fleet.targets.get(request.target)
        current_owner = "" if view is None else self._context.fleet.find_owner(view)
        for owner in dict.fromkeys((request.asked_instance, current_owner)):
            self._context.send(owner, release)

    def send_to_owner(self, target: str, message: Message) -> None:
        """Send a message to the current owner of a target."""
        view = self._context.fleet.targets.get(target)
        if view is not None:
            self._context.send(self._context.fleet.find_owner(view), message)


class SlotListener(Protocol):
    """Receives the results of searches for slots."""

    def handle_slot_granted(self, request: Request, now: float) -> None:
        """Handle that the request holds a slot of its target."""
        ...

    def handle_slot_refused(self, request: Request, code: ErrorCode, now: float) -> None:
        """Handle that no target has a slot for the request."""
        ...


# Called with the instance that did not reply in time, and the current time.
OwnerTimeoutCallback = Callable[[str, float], None]


class SlotSearch:
    """Requests a slot from the owners of a request's planned targets, one after another."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        leases: SlotLeases,
        suspects: CrashSuspectTracker,
        trials: TrialCoordinator,
        listener: SlotListener,
    ) -> None:
        self._context = context
        self._table = table
        self._leases = leases
        self._suspects = suspects
        self._trials = trials
        self._listener = listener
        trials.start_search = self.start
        trials.schedule_search = self.schedule_start
        self.planner = Planner(context)
        # Set by the members component, `rhubarbbend.core.members`.
        self.on_owner_timeout: OwnerTimeoutCallback = lambda instance, now: None

    def start(self, request: Request, now: float) -> None:
        """Plan the targets to ask, and ask for a slot of the first one."""
        request.phase = RequestPhase.SLOT
        request.plan_index = -1
        request.plan_outdated = False
        request.redirect_count = 0
        if not self._trials.begin(request, now):
            return
        request.is_suspect = self._suspects.is_suspect(request.content, now)
        request.plan = self.planner.plan(request, now)
        if not request.plan:
            self._refuse_without_plan(request, now)
            return
        self.try_next_target(request, now)

    def _refuse_without_plan(self, request: Request, now: float) -> None:
        self.planner.count_unfit(request, now)
        pause_left = self.planner.compute_pause_left(request, now)
        if pause_left is None:
            self._listener.handle_slot_refused(request, codes.NO_TARGET, now)
            return
        spread = self._context.random.uniform(1.0, MAX_PAUSE_RETURN_FACTOR)
        request.owner_retry_after = pause_left * spread
        self._listener.handle_slot_refused(request, codes.TARGETS_PAUSED, now)

    def try_next_target(self, request: Request, now: float) -> None:
        """Ask the owner of the next planned target for a slot.

        If none is left, plan again where that may help, else report the refusal.
        """
        self._table.clear_attempt(request)
        while request.plan_index + 1 < len(request.plan):
            request.plan_index += 1
            view = self._context.fleet.targets.get(request.choice.target)
            is_last = request.plan_index + 1 == len(request.plan)
            if request.plan_index >= self._context.options.max_moves and not is_last:
                continue
            if request.choice.target in request.excluded_targets:
                continue
            if view is not None and request.time_left(now) > 0:
                self._send_slot_request(request, view, self._context.fleet.find_owner(view), now)
                return
        if request.plan_outdated and request.time_left(now) > 0:
            # The target at which the request was to wait is out of service or not ready any more.
            # Others may have free slots, but were only asked for one without waiting.
            self.start(request, now)
            return
        if request.ownership_disputed and request.ownership_replan_count < MAX_OWNERSHIP_REPLANS:
            self._schedule_replan(request, now)
            return
        code = _REFUSAL_CODES.get(request.last_refusal, codes.OVERLOADED)
        self._listener.handle_slot_refused(request, code, now)

    def _schedule_replan(self, request: Request, now: float) -> None:
        """Plan again after a delay, because instances disagree about who owns a target.

        An instance has just joined or left. One that knows of this sends the request to one that
        does not know yet. Their views agree within one heartbeat; until then, a refusal would
        depend on which instance received the request.
        """
        request.ownership_disputed = False
        request.ownership_replan_count += 1
        request.asked_instance = ""
        self.schedule_start(request, now + OWNERSHIP_REPLAN_DELAY_S)

    def schedule_start(self, request: Request, at: float) -> None:
        """Start the search at a time, if the request then awaits a slot and asks no owner."""
        self._context.set_timer(at, lambda now: self._start_if_idle(request, now))

    def _start_if_idle(self, request: Request, now: float) -> None:
        idle = (
            request.phase is RequestPhase.SLOT
            and not request.has_slot
            and not request.asked_instance
        )
        if idle and self._table.find(request.id) is request:
            self.start(request, now)

    def handle_reply(self, sender: str, message: SlotReply, now: float) -> None:
        """Handle an owner's reply to a slot request.

        A slot that is granted too late, to an attempt that has ended, is released at once.
        """
        request = self._table.find_by_attempt(message.attempt)
        awaiting_slot = (
            request is not None and request.phase is RequestPhase.SLOT and not request.has_slot
        )
        if request is None or not awaiting_slot:
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
        self._listener.handle_slot_granted(request, now)

    def handle_peer_lost(self, peer: str, now: float) -> None:
        """Ask other owners for the slots that were requested from a peer that was lost."""
        for request in self._table.list_all():
            awaiting_slot = request.phase is RequestPhase.SLOT and not request.has_slot
            if awaiting_slot and request.asked_instance == peer:
                self._context.count(codes.RETRY_OWNER)
                request.ownership_disputed = True
                self.try_next_target(request, now)

    def _send_slot_request(
        self, request: Request, view: TargetView, owner: str, now: float
    ) -> None:
        identity = self._context.identity
        attempt = self._table.make_attempt_id()
        self._table.set_current_attempt(request, attempt)
        request.target = view.id
        request.asked_instance = owner
        max_wait = min(request.choice.max_wait, max(0.0, request.time_left(now)))
        message = SlotRequest(
            attempt=attempt,
            instance=identity.instance,
            incarnation=identity.incarnation,
            target=view.id,
            account=request.account.name,
            max_wait=max_wait,
            suspect=request.is_suspect,
            service_name=request.service.name,
            weight=request.account.weight,
            model=request.arrival.model,
        )
        self._context.send(owner, message)
        if owner != identity.instance:
            timeout_at = now + max_wait + self._context.options.slot_timeout
            self._context.set_timer(
                timeout_at, lambda at: self._handle_owner_timeout(request, attempt, at)
            )

    def _handle_owner_timeout(self, request: Request, attempt: str, now: float) -> None:
        """Ask another owner if this one has not replied in time.

        A frozen owner, or a dead connection to it, would otherwise hold the request until its
        deadline. A grant that arrives later is released. A dead connection to the owner is detected
        only after 2 s, and until then each further request would wait like this one. The time-out
        callback is therefore called, so that the owner's targets are skipped from now on.
        """
        found = self._table.find_by_attempt(attempt)
        if found is not request or request.phase is not RequestPhase.SLOT:
            return
        self._context.count(codes.RETRY_OWNER)
        release = SlotRelease(attempt=attempt, target=request.target)
        self._leases.send_release(request, release)
        self.on_owner_timeout(request.asked_instance, now)
        request.ownership_disputed = True
        self.try_next_target(request, now)

    def _handle_refusal(self, request: Request, message: SlotReply, now: float) -> None:
        view = self._context.fleet.targets.get(message.target)
        is_redirect = message.refusal == REFUSAL_NOT_OWNER
        if is_redirect and view is not None and request.redirect_count < MAX_REDIRECTS:
            request.redirect_count += 1
            self._context.count(codes.RETRY_REDIRECT)
            self._send_slot_request(request, view, message.owner, now)
            return
        if is_redirect:
            request.ownership_disputed = True
        else:
            request.last_refusal = message.refusal
            if (
                message.refusal == REFUSAL_NOT_READY
                and message.target not in request.excluded_targets
            ):
                # Each new plan excludes one more target, so planning again comes to an end.
                request.excluded_targets.add(message.target)
                request.plan_outdated = True
            request.owner_retry_after = message.retry_after
            self._context.count(_REFUSAL_COUNTERS.get(message.refusal, codes.RETRY_FULL))
        self.try_next_target(request, now)
