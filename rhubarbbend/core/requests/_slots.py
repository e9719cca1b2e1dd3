"""Slots as their holder sees them: asked for at owners, held, renewed and released."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._suspects import SuspectDuty
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
    REFUSAL_QUEUE,
    REFUSAL_WAIT,
)
from rhubarbbend.core.requests._planner import Planner
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._requests import Phase, Request
from rhubarbbend.core.routing import Reason

MAX_REDIRECTS: Final = 2
# How often, and after how many seconds, targets are planned again while their ownership moves. In
# all 2 s: instances learn who owns a target from heartbeats, which come once a second, and the
# first may be late. With 1 s a chat was refused in a rolling replacement on a crowded machine.
MAX_SETTLES: Final = 8
SETTLE_WAIT: Final = 0.25

_REFUSAL_COUNTERS: Final = {
    REFUSAL_FULL: codes.RETRY_FULL,
    REFUSAL_QUEUE: codes.RETRY_FULL,
    REFUSAL_WAIT: codes.RETRY_FULL,
    REFUSAL_NOT_READY: codes.RETRY_NOT_READY,
}
_REFUSAL_CODES: Final = {
    REFUSAL_FULL: codes.OVERLOADED,
    REFUSAL_QUEUE: codes.QUEUE_FULL,
    REFUSAL_WAIT: codes.WAIT_TOO_LONG,
    REFUSAL_NOT_READY: codes.NO_TARGET,
}
_REASON_COUNTERS: Final = {
    Reason.TICKET: codes.ROUTED_TICKET,
    Reason.HOME: codes.ROUTED_HOME,
    Reason.MOVED: codes.ROUTED_MOVED,
}


class HeldSlots:
    """Releases and renews slots at the present owners of their targets."""

    def __init__(self, context: Context, table: RequestTable) -> None:
        self._context = context
        self._table = table
        # Targets whose slots were given back of late, and when that was first told in a renewal.
        self._released: dict[str, float] = {}

    def release(self, request: Request, completed: bool, total: float = 0.0) -> None:
        """Free a request's slot, or withdraw its question for one, and end its attempt."""
        if not request.attempt:
            return
        asked = self._table.find_attempt(request.attempt) is request
        waiting = request.phase is Phase.SLOT and asked
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
            self.send_release(request, release)
            self._released[request.target] = -1.0
        request.has_slot = False
        self._table.forget_attempt(request)

    def register(self, now: float) -> None:
        """Tell the present owners of targets which slots are held here.

        A new owner learns the running requests this way; a present one frees those whose release
        was lost. For that a target is told of for a while also when no slot of it is held: one
        behind a partition would keep the lost slots until their lease ends.
        """
        held: dict[str, list[HeldSlot]] = {target: [] for target in self._list_released(now)}
        for request in self._table.list_all():
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
            self.send_owner(target, renewal)

    def _list_released(self, now: float) -> list[str]:
        lease = self._context.options.slot_lease
        for target, told in list(self._released.items()):
            if told < 0:
                self._released[target] = now
            elif now - told > lease:
                del self._released[target]
        return list(self._released)

    def send_release(self, request: Request, release: SlotRelease) -> None:
        """Give a slot back to the owner that granted it and to the present one, if another.

        Lists may differ: the one that granted may still count it, and the present one may have
        learned of it from a renewal.
        """
        view = self._context.fleet.targets.get(request.target)
        present = "" if view is None else self._context.fleet.find_owner(view)
        for owner in dict.fromkeys((request.asked_owner, present)):
            self._context.send(owner, release)

    def send_owner(self, target: str, message: Message) -> None:
        """Send a message to the present owner of a target."""
        view = self._context.fleet.targets.get(target)
        if view is not None:
            self._context.send(self._context.fleet.find_owner(view), message)


class SlotListener(Protocol):
    """Told how a search for a slot ended."""

    def slot_granted(self, request: Request, now: float) -> None:
        """The request holds a slot of its target."""
        ...

    def slot_refused(self, request: Request, code: ErrorCode, now: float) -> None:
        """No target has a slot for the request."""
        ...


# Told of an instance that gave no answer in time, and of the present time.
OnSilent = Callable[[str, float], None]


class SlotSearch:
    """Asks the owners of a request's planned targets, one after another."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        held: HeldSlots,
        suspects: SuspectDuty,
        listener: SlotListener,
    ) -> None:
        self._context = context
        self._table = table
        self._held = held
        self._suspects = suspects
        self._listener = listener
        self.planner = Planner(context)
        # Set by the member duty.
        self.on_silent: OnSilent = lambda instance, now: None

    def start(self, request: Request, now: float) -> None:
        """Plan the targets to ask and ask the first."""
        request.phase = Phase.SLOT
        request.position = -1
        request.plan_outdated = False
        request.redirects = 0
        digest = request.arrived.body_digest
        request.wants_suspect_slot = self._suspects.count_crashes(digest) > 0
        request.plan = self.planner.plan(request, now)
        if not request.plan:
            self._listener.slot_refused(request, codes.NO_TARGET, now)
            return
        self.ask_next(request, now)

    def ask_next(self, request: Request, now: float) -> None:
        """Ask the owner of the next choice; give up when none is left."""
        self._table.forget_attempt(request)
        while request.position + 1 < len(request.plan):
            request.position += 1
            view = self._context.fleet.targets.get(request.choice.target)
            last = request.position + 1 == len(request.plan)
            if request.position >= self._context.options.max_moves and not last:
                continue
            if request.choice.target in request.excluded:
                continue
            if view is not None and request.time_left(now) > 0:
                self._ask_owner(request, view, self._context.fleet.find_owner(view), now)
                return
        if request.plan_outdated and request.time_left(now) > 0:
            # The choice that was to be waited for is out of service, or its target is not ready
            # any more; others may well have room, and were only asked without waiting.
            self.start(request, now)
            return
        if request.unsettled and request.settles < MAX_SETTLES:
            self._settle(request, now)
            return
        code = _REFUSAL_CODES.get(request.last_refusal, codes.OVERLOADED)
        self._listener.slot_refused(request, code, now)

    def _settle(self, request: Request, now: float) -> None:
        """Plan again in a moment, because instances disagree about who owns a target.

        An instance has just come or gone, and one that knows it sends the request to one that does
        not yet. Their views agree within a heartbeat; a refusal in between would be one that
        another instance would not have made.
        """
        request.unsettled = False
        request.settles += 1
        request.asked_owner = ""
        self.start_later(request, now + SETTLE_WAIT)

    def start_later(self, request: Request, at: float) -> None:
        """Start the search at a time, if the request still looks for a slot and asks nobody."""
        self._context.set_timer(at, lambda now: self._start_if_idle(request, now))

    def _start_if_idle(self, request: Request, now: float) -> None:
        idle = request.phase is Phase.SLOT and not request.has_slot and not request.asked_owner
        if idle and self._table.find(request.id) is request:
            self.start(request, now)

    def handle_reply(self, sender: str, message: SlotReply, now: float) -> None:
        """Take an owner's answer."""
        request = self._table.find_attempt(message.attempt)
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
        self._listener.slot_granted(request, now)

    def handle_lost(self, peer: str, now: float) -> None:
        """Ask elsewhere what was asked of a peer that cannot be reached."""
        for request in self._table.list_all():
            waiting = request.phase is Phase.SLOT and not request.has_slot
            if waiting and request.asked_owner == peer:
                self._context.count(codes.RETRY_OWNER)
                request.unsettled = True
                self.ask_next(request, now)

    def _ask_owner(self, request: Request, view: TargetView, owner: str, now: float) -> None:
        identity = self._context.identity
        attempt = self._table.make_attempt()
        self._table.set_attempt(request, attempt)
        request.target = view.id
        request.asked_owner = owner
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
            model=request.arrived.model,
        )
        self._context.send(owner, message)
        if owner != identity.instance:
            timeout = now + wait + self._context.options.slot_timeout
            self._context.set_timer(timeout, lambda at: self._check_owner(request, attempt, at))

    def _check_owner(self, request: Request, attempt: str, now: float) -> None:
        """Ask elsewhere when an owner has not answered in time.

        A frozen owner, or a silent connection to it, would otherwise hold the request until its
        deadline. A grant that comes after all is handed back. That the link to the owner is dead
        shows only after 2 s; until then each further request would wait as this one did, so the
        owner's targets are passed over from now on.
        """
        found = self._table.find_attempt(attempt)
        if found is not request or request.phase is not Phase.SLOT:
            return
        self._context.count(codes.RETRY_OWNER)
        release = SlotRelease(attempt=attempt, target=request.target)
        self._held.send_release(request, release)
        self.on_silent(request.asked_owner, now)
        request.unsettled = True
        self.ask_next(request, now)

    def _handle_refusal(self, request: Request, message: SlotReply, now: float) -> None:
        view = self._context.fleet.targets.get(message.target)
        redirected = message.refusal == REFUSAL_NOT_OWNER
        if redirected and view is not None and request.redirects < MAX_REDIRECTS:
            request.redirects += 1
            self._context.count(codes.RETRY_REDIRECT)
            self._ask_owner(request, view, message.owner, now)
            return
        if redirected:
            request.unsettled = True
        else:
            request.last_refusal = message.refusal
            if message.refusal == REFUSAL_NOT_READY and message.target not in request.excluded:
                # Each new plan leaves out one target more, so there is an end of them.
                request.excluded.add(message.target)
                request.plan_outdated = True
            request.owner_retry_after = message.retry_after
            self._context.count(_REFUSAL_COUNTERS.get(message.refusal, codes.RETRY_FULL))
        self.ask_next(request, now)
