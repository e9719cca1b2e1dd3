"""The owner duty: grants the slots of the targets that this instance owns.

One owner counts each target, so that the bound on its load is exact without any agreement while
the instances' lists agree. Where they do not, two owners grant for a while; each sees the other's
slots as foreign load in the target's report and so stays within the bound as soon as a report has
come, and until one has come it grants no more than to a cold target.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._queue import FairQueue, Waiter
from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import (
    Handover,
    HeldSlot,
    Message,
    SlotRelease,
    SlotRenewal,
    SlotReply,
    SlotRequest,
    TargetLoad,
)

REFUSAL_FULL: Final = "full"
REFUSAL_QUEUE: Final = "queue_full"
REFUSAL_WAIT: Final = "wait_too_long"
REFUSAL_NOT_READY: Final = "not_ready"
REFUSAL_NOT_OWNER: Final = "not_owner"

STATE_LOADING: Final = "loading"
STATE_LEAVING: Final = "leaving"

# A cold target's limit doubles with each round of finished work, up to the normal limit.
RAMP_ROUNDS: Final = 6
# First bytes this many times slower than usual, in a row, say that a target has turned cold.
SLOW_FACTOR: Final = 4.0
SLOW_MARGIN: Final = 0.25
SLOW_IN_A_ROW: Final = 3
AVERAGE_WEIGHT: Final = 0.1
# A renewal may have been formed before a grant reached its holder.
RENEWAL_GRACE: Final = 2.0
REPORT_SLACK: Final = 0.3


@attrs.define(slots=True)
class Slot:
    """A granted slot; `renewed` is when its holder last confirmed it."""

    attempt: str
    holder: str
    account: str
    since: float
    renewed: float
    suspect: bool


class ColdRamp:
    """The limit of a target in a cold start, raised by work done and by nothing else.

    Time alone does not warm a target: one that got no work is as cold as it was. Invariant:
    `allowed` never exceeds `cold_slots` doubled once for each finished round.
    """

    def __init__(self, cold_slots: int) -> None:
        self._cold_slots = max(1, cold_slots)
        self._rounds = 0
        self._done_in_round = 0

    @property
    def cold(self) -> bool:
        """Whether the ramp still limits the target."""
        return self._rounds < RAMP_ROUNDS

    @property
    def allowed(self) -> int:
        """How many slots the target may have out."""
        return self._cold_slots << self._rounds

    def add_work(self) -> None:
        """Count a request that ran to its end."""
        self._done_in_round += 1
        if self._done_in_round >= self.allowed:
            self._rounds += 1
            self._done_in_round = 0

    def finish(self) -> None:
        """Take the target as warm, on the word of the owner before."""
        self._rounds = RAMP_ROUNDS


class OwnedTarget:
    """The books of one target. Invariant: `slots` holds every grant not yet released."""

    def __init__(self, target: str, service: Service, now: float) -> None:
        self.target = target
        self.taken_at = now
        self.slots: dict[str, Slot] = {}
        self.queue = FairQueue(service.max_queue)
        self.ramp = ColdRamp(service.cold_slots)
        self.boot_id = ""
        self.ready = False
        self.confirmed = False
        self.report_at = -1.0
        self.report_failures = 0
        self.foreign = 0
        self.own_limit = 0
        self.mean_total = 0.0
        self.usual_first_byte = 0.0
        self.slow_in_a_row = 0
        self._samples: deque[tuple[float, int]] = deque(maxlen=64)

    def count_load(self) -> int:
        """Load in requests: own slots and what the report shows beyond them."""
        return len(self.slots) + self.foreign

    def has_suspect(self) -> bool:
        """Whether a request that was at a crash runs on the target."""
        return any(slot.suspect for slot in self.slots.values())

    def note_slots(self, now: float) -> None:
        """Remember how many slots were out, to compare a late report with its own time."""
        self._samples.append((now, len(self.slots)))

    def take_report(self, running: int, age: float, now: float) -> None:
        """Work out what runs on the target that is not counted here.

        A report lags. Compared with the slots of the present, it would show foreign load after
        each burst of releases; it is compared with the most slots out about its own time.
        """
        since = now - age - REPORT_SLACK
        counts = [count for at, count in self._samples if at >= since]
        before = [count for at, count in self._samples if at < since]
        if before:
            counts.append(before[-1])
        self.foreign = max(0, running - max([*counts, len(self.slots)]))
        self.report_at = now
        self.report_failures = 0


class OwnerDuty:
    """Grants, queues and refuses slots. Invariant: only owned targets are in `_owned`."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._owned: dict[str, OwnedTarget] = {}
        self._stopped = False

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start, load reports and pauses of the process."""
        return {
            events.Started: self._start,
            events.ReportRead: self._handle_report,
            events.ReportFailed: self._handle_report_failure,
            events.ProcessPaused: self._handle_pause,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle slot traffic and the hand-over by a former owner."""
        return {
            SlotRequest: self._handle_request,
            SlotRelease: self._handle_release,
            SlotRenewal: self._handle_renewal,
            Handover: self._handle_handover,
        }

    def list_loads(self) -> list[TargetLoad]:
        """List the load of each owned target for the heartbeat."""
        return [self._describe(books) for books in self._owned.values()]

    def list_owned(self) -> list[str]:
        """List the owned targets."""
        return list(self._owned)

    def refresh_ownership(self, now: float) -> None:
        """Take over targets that have become this instance's, give up those that have not."""
        context = self._context
        own = context.identity.instance
        for view in list(context.fleet.targets.values()):
            mine = not self._stopped and context.fleet.find_owner(view) == own
            if mine and view.id not in self._owned:
                self._take_over(view, now)
            elif not mine and view.id in self._owned:
                self._give_up(view.id, now)
        for target in [name for name in self._owned if name not in context.fleet.targets]:
            self._give_up(target, now)

    def hand_over_all(self, now: float) -> None:
        """Give every owned target to its next owner; part of a planned stop."""
        self._stopped = True
        self.refresh_ownership(now)

    def _start(self, event: events.Started, now: float) -> None:
        options = self._context.options
        self._context.repeat(options.report_interval, self._ask_reports, now)
        self._context.repeat(options.slot_lease / 4, self._expire_slots, now)

    def _take_over(self, view: TargetView, now: float) -> None:
        service = self._context.configuration.services.get(view.service_name)
        if service is None:
            return
        books = self._owned[view.id] = OwnedTarget(view.id, service, now)
        books.boot_id = view.boot_id
        if view.boot_id and not view.cold:
            # The owner before had seen it warm; whether it still is shows its boot id.
            books.ramp.finish()
        self._context.count(codes.TAKEOVERS)
        self._context.log("target_taken_over", target=view.id)
        self._ask_report(view)

    def _give_up(self, target: str, now: float) -> None:
        books = self._owned.pop(target)
        view = self._context.fleet.targets.get(target)
        owner = "" if view is None else self._context.fleet.find_owner(view)
        for waiter in books.queue.take_all():
            self._refuse(waiter.sender, waiter.request, REFUSAL_NOT_OWNER, owner=owner)
        if owner and owner != self._context.identity.instance:
            self._context.count(codes.HANDOVERS)
            self._context.log("target_handed_over", target=target, owner=owner)
            self._context.send(owner, self._make_handover(books))

    def _make_handover(self, books: OwnedTarget) -> Handover:
        by_holder: dict[str, list[HeldSlot]] = {}
        for slot in books.slots.values():
            held = HeldSlot(attempt=slot.attempt, account=slot.account, suspect=slot.suspect)
            by_holder.setdefault(slot.holder, []).append(held)
        return Handover(
            target=books.target,
            holders=[
                SlotRenewal(instance=holder, target=books.target, slots=slots)
                for holder, slots in by_holder.items()
            ],
            boot_id=books.boot_id,
            work_done=0 if books.ramp.cold else 1,
        )

    def _handle_handover(self, sender: str, message: Handover, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            return
        for holder in message.holders:
            for held in holder.slots:
                self._register(books, held, holder.instance, now)
        if message.work_done and message.boot_id in (books.boot_id, ""):
            books.ramp.finish()
        # The former owner has stopped granting and told its count: it is as good as a report.
        books.confirmed = True
        books.note_slots(now)
        self._serve_queue(books, now)

    def _handle_request(self, sender: str, message: SlotRequest, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            self._redirect(sender, message)
            return
        self._expire_waiters(books, now)
        refusal = self._check_ready(books)
        if refusal:
            self._refuse(sender, message, refusal)
        elif len(books.queue) == 0 and self._has_room(books, message.suspect):
            self._grant(books, sender, message, now)
        else:
            self._enqueue(books, sender, message, now)

    def _redirect(self, sender: str, message: SlotRequest) -> None:
        view = self._context.fleet.targets.get(message.target)
        owner = "" if view is None else self._context.fleet.find_owner(view)
        if owner == self._context.identity.instance:
            owner = ""
        refusal = REFUSAL_NOT_OWNER if owner else REFUSAL_NOT_READY
        self._refuse(sender, message, refusal, owner=owner)

    def _check_ready(self, books: OwnedTarget) -> str:
        view = self._context.fleet.targets.get(books.target)
        if view is None or view.leaving or not books.ready:
            return REFUSAL_NOT_READY
        if not self._context.configuration.is_target_in_service(view.id, view.zone):
            return REFUSAL_NOT_READY
        return ""

    def _enqueue(self, books: OwnedTarget, sender: str, message: SlotRequest, now: float) -> None:
        if message.max_wait <= 0:
            self._refuse(sender, message, REFUSAL_FULL)
            return
        waiter = Waiter(message, sender, now, now + message.max_wait)
        if not books.queue.add(waiter):
            self._refuse(sender, message, REFUSAL_QUEUE)
            return
        self._context.count(codes.SLOTS_QUEUED)
        self._context.set_timer(waiter.deadline, lambda at: self._expire_waiters(books, at))

    def _has_room(self, books: OwnedTarget, suspect: bool) -> bool:
        if suspect and books.has_suspect():
            return False
        return books.count_load() < self._compute_limit(books)

    def _compute_limit(self, books: OwnedTarget) -> int:
        """Give the most load the target may have: the bound, its own limit, the cold ramp."""
        view = self._context.fleet.targets.get(books.target)
        service = self._find_service(view)
        if view is None or service is None:
            return 0
        load, count = self._context.fleet.compute_mean(service, self._context.configuration)
        # The view of an owned target is as old as the last heartbeat; its books are not.
        load += books.count_load() - view.load if view.ready else books.count_load()
        count += 0 if view.ready else 1
        mean = (load + 1) / max(1, count)
        limit = max(service.floor, math.ceil(service.bound * mean))
        if books.own_limit:
            limit = min(limit, books.own_limit)
        if not books.confirmed:
            limit = min(limit, service.cold_slots)
        if books.ramp.cold:
            limit = min(limit, books.ramp.allowed)
        return limit

    def _find_service(self, view: TargetView | None) -> Service | None:
        if view is None:
            return None
        return self._context.configuration.services.get(view.service_name)

    def _grant(self, books: OwnedTarget, sender: str, message: SlotRequest, now: float) -> None:
        books.slots[message.attempt] = Slot(
            message.attempt, message.instance, message.account, now, now, message.suspect
        )
        self._after_change(books, now)
        self._context.count(codes.SLOTS_GRANTED)
        self._context.send(
            sender,
            SlotReply(
                attempt=message.attempt,
                target=message.target,
                boot_id=books.boot_id,
                load=books.count_load(),
                limit=self._compute_limit(books),
            ),
        )

    def _refuse(self, sender: str, message: SlotRequest, refusal: str, owner: str = "") -> None:
        self._context.count(codes.SLOTS_REFUSED)
        books = self._owned.get(message.target)
        self._context.send(
            sender,
            SlotReply(
                attempt=message.attempt,
                target=message.target,
                refusal=refusal,
                owner=owner,
                load=0 if books is None else books.count_load(),
                limit=0 if books is None else self._compute_limit(books),
            ),
        )

    def _handle_release(self, sender: str, message: SlotRelease, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            return
        books.queue.remove(message.attempt)
        slot = books.slots.pop(message.attempt, None)
        if slot is None:
            return
        if message.completed:
            books.ramp.add_work()
            self._watch_latency(books, message.first_byte, now)
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _watch_latency(self, books: OwnedTarget, first_byte: float, now: float) -> None:
        """Notice a target that has turned cold under the same boot id by its first bytes."""
        if books.ramp.cold:
            return
        usual = books.usual_first_byte
        if usual and first_byte > SLOW_FACTOR * usual + SLOW_MARGIN:
            books.slow_in_a_row += 1
            if books.slow_in_a_row >= SLOW_IN_A_ROW:
                self._turn_cold(books, "latency")
            return
        books.slow_in_a_row = 0
        if not usual:
            books.usual_first_byte = first_byte
        books.usual_first_byte += AVERAGE_WEIGHT * (first_byte - usual if usual else 0.0)

    def _turn_cold(self, books: OwnedTarget, cause: str) -> None:
        view = self._context.fleet.targets.get(books.target)
        service = self._find_service(view)
        books.ramp = ColdRamp(1 if service is None else service.cold_slots)
        books.slow_in_a_row = 0
        books.usual_first_byte = 0.0
        self._context.count(codes.COLD_STARTS)
        self._context.log("target_cold", target=books.target, cause=cause)

    def _serve_queue(self, books: OwnedTarget, now: float) -> None:
        self._expire_waiters(books, now)
        if self._check_ready(books):
            return
        while len(books.queue) and self._has_room(books, suspect=False):
            waiter = books.queue.take(skip_suspects=books.has_suspect())
            if waiter is None:
                return
            self._grant(books, waiter.sender, waiter.request, now)

    def _expire_waiters(self, books: OwnedTarget, now: float) -> None:
        for waiter in books.queue.take_expired(now):
            self._refuse(waiter.sender, waiter.request, REFUSAL_WAIT)

    def _handle_renewal(self, sender: str, message: SlotRenewal, now: float) -> None:
        """Bring the books in line with what a holder says it holds.

        It registers running slots with a new owner, and frees those whose release was lost.
        """
        books = self._owned.get(message.target)
        if books is None:
            return
        listed = {held.attempt for held in message.slots}
        for held in message.slots:
            self._register(books, held, message.instance, now)
        for slot in list(books.slots.values()):
            lost = slot.holder == message.instance and slot.attempt not in listed
            if lost and now - slot.since > RENEWAL_GRACE:
                del books.slots[slot.attempt]
                self._context.count(codes.SLOTS_EXPIRED)
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _register(self, books: OwnedTarget, held: HeldSlot, holder: str, now: float) -> None:
        slot = books.slots.get(held.attempt)
        if slot is None:
            books.slots[held.attempt] = Slot(
                held.attempt, holder, held.account, now, now, held.suspect
            )
            # What a report showed as foreign is now counted by name.
            books.foreign = max(0, books.foreign - 1)
            self._context.count(codes.SLOTS_REGISTERED)
        else:
            slot.renewed = now

    def _expire_slots(self, now: float) -> None:
        """Free slots whose holder has gone silent, once the target's report agrees.

        The holder of a slot can die without releasing it; kept for ever, its slots would lower
        the target's capacity for good. Freed on silence alone, a holder that is merely cut off
        from this owner would let the target go over its bound.
        """
        for books in self._owned.values():
            stale = [
                slot
                for slot in books.slots.values()
                if now - slot.renewed > self._context.options.slot_lease
            ]
            for slot in stale:
                del books.slots[slot.attempt]
                # Until the next report says otherwise the target is taken to run it still.
                books.foreign += 1
                self._context.count(codes.SLOTS_EXPIRED)
            if stale:
                self._after_change(books, now)

    def _ask_reports(self, now: float) -> None:
        for target in self._owned:
            view = self._context.fleet.targets.get(target)
            if view is not None:
                self._ask_report(view)

    def _ask_report(self, view: TargetView) -> None:
        self._context.emit(actions.ReadReport(view.id, view.service_name, view.host, view.port))

    def _handle_report(self, event: events.ReportRead, now: float) -> None:
        books = self._owned.get(event.target)
        view = self._context.fleet.targets.get(event.target)
        if books is None or view is None:
            return
        if event.boot_id != books.boot_id:
            if books.boot_id or not books.confirmed:
                self._turn_cold(books, "boot")
            books.boot_id = event.boot_id
        books.own_limit = event.slots
        books.take_report(event.running, event.age, now)
        if now - event.age >= books.taken_at:
            books.confirmed = True
        was_ready = books.ready
        books.ready = event.state not in (STATE_LOADING, STATE_LEAVING)
        view.models = event.models
        if books.ready != was_ready:
            self._context.log("target_ready", target=books.target, ready=str(books.ready))
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _handle_report_failure(self, event: events.ReportFailed, now: float) -> None:
        books = self._owned.get(event.target)
        if books is None:
            return
        self._context.count(codes.REPORTS_FAILED)
        books.report_failures += 1
        silent = now - max(books.report_at, books.taken_at)
        if books.ready and silent > self._context.options.report_max_age:
            books.ready = False
            self._context.log("target_ready", target=books.target, ready="False")
            self._after_change(books, now)
            for waiter in books.queue.take_all():
                self._refuse(waiter.sender, waiter.request, REFUSAL_NOT_READY)

    def _handle_pause(self, event: events.ProcessPaused, now: float) -> None:
        """Take every owned target over afresh after a pause of this process.

        While it was paused its peers may have taken its targets; granting from books of before
        would add a second set of slots to theirs. Until holders and reports have spoken again,
        each target is granted no more than a cold one.
        """
        if event.seconds < self._context.options.peer_silence:
            return
        self._context.count(codes.PAUSES)
        self._context.log("process_paused", seconds=f"{event.seconds:.1f}")
        for books in self._owned.values():
            books.taken_at = now
            books.confirmed = False
            for waiter in books.queue.take_all():
                self._refuse(waiter.sender, waiter.request, REFUSAL_NOT_READY)

    def _after_change(self, books: OwnedTarget, now: float) -> None:
        books.note_slots(now)
        view = self._context.fleet.targets.get(books.target)
        if view is not None:
            self._update_view(view, books, now)

    def _update_view(self, view: TargetView, books: OwnedTarget, now: float) -> None:
        view.load = books.count_load()
        view.ready = books.ready
        view.boot_id = books.boot_id
        view.cold = books.ramp.cold
        view.updated = now
        view.limit = self._compute_limit(books)

    def _describe(self, books: OwnedTarget) -> TargetLoad:
        view = self._context.fleet.targets.get(books.target)
        return TargetLoad(
            target=books.target,
            boot_id=books.boot_id,
            load=books.count_load(),
            limit=self._compute_limit(books),
            ready=books.ready,
            cold=books.ramp.cold,
            service_name="" if view is None else view.service_name,
            models=[] if view is None else view.models,
        )
