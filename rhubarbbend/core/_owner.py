"""The owner duty: grants the slots of the targets that this instance owns.

One owner counts each target, so that the bound on its load is exact without any agreement while
the instances' lists agree. Where they do not, two instances believe that they own a target; each
sees the other's slots as load of others in the target's report, and the newer one is on probation
until reports show none.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._books import Books, ColdWatch, Slot
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core._queue import Waiter
from rhubarbbend.core._ramp import ColdRamp, Probation
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

# A renewal may have been formed before a grant reached its holder.
RENEWAL_GRACE: Final = 2.0
# A pause this much shorter than the silence that peers allow may have cost the ownership: the
# last heartbeat went out up to an interval before it began.
PAUSE_SHARE: Final = 0.5


class OwnerDuty:
    """Grants, queues and refuses slots. Invariant: only owned targets are in `_owned`."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._owned: dict[str, Books] = {}
        self._incarnations: dict[str, int] = {}
        self._stopped = False

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start, load reports and pauses of the process."""
        return {
            events.Started: self._start,
            events.ReportRead: self._handle_report,
            events.ReportFailed: self._handle_report_failure,
            events.ProcessPaused: self._handle_pause,
            events.PeerLost: self._handle_lost,
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

    def owns(self, target: str) -> bool:
        """Whether this instance takes itself for the owner of a target."""
        return target in self._owned

    def free_holder(self, holder: str, incarnation: int, now: float) -> None:
        """Take back the slots of an instance that is silent, or of its incarnations before one.

        Kept until their lease ends, the slots of a holder that died would lower the capacity of
        its targets for that long. Forgotten at once, they would be granted twice: the holder may
        only be cut off, and its targets go on with what they run. So they stay part of the load
        until a later report tells what is left of them.
        """
        for books in self._owned.values():
            for slot in list(books.slots.values()):
                if slot.holder == holder and slot.incarnation < incarnation:
                    self._doubt(books, slot, now)
            self._after_change(books, now)

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
        books = self._owned[view.id] = Books(view.id, service, now)
        books.boot_id = view.boot_id
        if view.boot_id and not view.cold:
            # The owner before had seen it warm; whether it still is shows its boot id.
            books.ramp.finish()
        self._context.count(codes.TAKEOVERS)
        self._context.log("target_taken_over", target=view.id)
        self._ask_report(view)

    def _give_up(self, target: str, now: float) -> None:
        books = self._owned.pop(target)
        fleet = self._context.fleet
        view = fleet.targets.get(target)
        owner = "" if view is None else fleet.find_owner(view)
        if view is not None and view.zone != self._context.identity.zone:
            # Its own zone counts it again.
            view.updated = -1.0
            view.ready = False
            fleet.note_target(view, self._context.configuration)
        for waiter in books.queue.take_all():
            self._refuse(waiter.sender, waiter.request, REFUSAL_NOT_OWNER, owner=owner)
        if owner and owner != self._context.identity.instance:
            self._context.count(codes.HANDOVERS)
            self._context.log("target_handed_over", target=target, owner=owner)
            self._context.send(owner, self._make_handover(books))

    def _make_handover(self, books: Books) -> Handover:
        by_holder: dict[tuple[str, int], list[HeldSlot]] = {}
        for slot in books.slots.values():
            held = HeldSlot(attempt=slot.attempt, account=slot.account, suspect=slot.suspect)
            by_holder.setdefault((slot.holder, slot.incarnation), []).append(held)
        return Handover(
            target=books.target,
            holders=[
                SlotRenewal(
                    instance=holder, incarnation=incarnation, target=books.target, slots=slots
                )
                for (holder, incarnation), slots in by_holder.items()
            ],
            boot_id=books.boot_id,
            work_done=books.ramp.work,
        )

    def _handle_handover(self, sender: str, message: Handover, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            return
        for holder in message.holders:
            for held in holder.slots:
                self._register(books, held, holder.instance, holder.incarnation, now)
        if message.boot_id == books.boot_id or not books.boot_id:
            books.ramp.restore(message.work_done)
        # The former owner has stopped granting and told its count.
        books.probation.finish()
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _handle_request(self, sender: str, message: SlotRequest, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            self._redirect(sender, message)
            return
        self._note_incarnation(message.instance, message.incarnation, now)
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

    def _check_ready(self, books: Books) -> str:
        view = self._context.fleet.targets.get(books.target)
        if view is None or view.leaving or not books.ready:
            return REFUSAL_NOT_READY
        if not self._context.configuration.is_target_in_service(view.id, view.zone):
            return REFUSAL_NOT_READY
        return ""

    def _enqueue(self, books: Books, sender: str, message: SlotRequest, now: float) -> None:
        """Queue a request, or refuse it at once if its turn cannot come in time."""
        if message.max_wait <= 0:
            self._refuse(sender, message, REFUSAL_FULL)
            return
        expected = self._estimate_wait(books, message)
        if expected > message.max_wait:
            self._refuse(sender, message, REFUSAL_WAIT, retry_after=expected - message.max_wait)
            return
        evicted = books.queue.add(Waiter(message, sender, now, now + message.max_wait))
        if evicted is not None:
            self._refuse(evicted.sender, evicted.request, REFUSAL_QUEUE, retry_after=expected)
        if evicted is None or evicted.request is not message:
            self._context.count(codes.SLOTS_QUEUED)
            deadline = now + message.max_wait
            self._context.set_timer(deadline, lambda at: self._expire_waiters(books, at))

    def _estimate_wait(self, books: Books, message: SlotRequest) -> float:
        """Estimate how long a new waiter would wait, from those ahead and the usual duration.

        Without it a request that cannot be served in time would sit in the queue until its
        deadline, and its caller would learn only then that it has to go elsewhere. Before any
        request has ended nothing is known, and it waits.
        """
        ahead = books.queue.count_ahead(message.account, message.weight)
        return (ahead + 1) * books.duration / max(1, self._compute_limit(books))

    def _has_room(self, books: Books, suspect: bool) -> bool:
        if suspect and books.has_suspect():
            return False
        if not books.probation.may_grant():
            return False
        return books.count_load() < self._compute_limit(books)

    def _compute_limit(self, books: Books) -> int:
        """Give the most load the target may have: the bound, its own limit, the cold ramp."""
        view = self._context.fleet.targets.get(books.target)
        service = self._find_service(view)
        if view is None or service is None:
            return 0
        load, count = self._context.fleet.compute_mean(service, self._context.configuration)
        if not self._context.fleet.is_counted(books.target):
            load += books.count_load()
            count += 1
        return books.compute_limit(service, load, count)

    def _find_service(self, view: TargetView | None) -> Service | None:
        if view is None:
            return None
        return self._context.configuration.services.get(view.service_name)

    def _grant(self, books: Books, sender: str, message: SlotRequest, now: float) -> None:
        slot = Slot(
            message.attempt,
            message.instance,
            message.incarnation,
            message.account,
            now,
            now,
            message.suspect,
        )
        books.add(slot, now)
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

    def _refuse(
        self,
        sender: str,
        message: SlotRequest,
        refusal: str,
        owner: str = "",
        retry_after: float = 0.0,
    ) -> None:
        self._context.count(codes.SLOTS_REFUSED)
        books = self._owned.get(message.target)
        self._context.send(
            sender,
            SlotReply(
                attempt=message.attempt,
                target=message.target,
                refusal=refusal,
                owner=owner,
                retry_after=retry_after,
                load=0 if books is None else books.count_load(),
                limit=0 if books is None else self._compute_limit(books),
            ),
        )

    def _handle_release(self, sender: str, message: SlotRelease, now: float) -> None:
        books = self._owned.get(message.target)
        if books is None:
            return
        books.queue.remove(message.attempt)
        slot = books.release(message, now)
        if slot is None:
            return
        if message.completed:
            self._note_work(books, slot, message, now)
        elif message.failed and books.watch.take_failure() and not books.ramp.cold:
            self._turn_cold(books, "failures", now)
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _note_work(self, books: Books, slot: Slot, message: SlotRelease, now: float) -> None:
        if slot.since >= books.ramp.since:
            # What was granted before the cold start says nothing about what it bears since.
            books.ramp.add_work()
        service = self._find_service(self._context.fleet.targets.get(books.target))
        rate = 0.0 if service is None else service.prefill_rate
        prefill = message.tokens / rate if rate > 0 else 0.0
        slow = books.watch.take_first_byte(message.first_byte, prefill)
        if slow and not books.ramp.cold:
            self._turn_cold(books, "latency", now)

    def _turn_cold(self, books: Books, cause: str, now: float) -> None:
        service = self._find_service(self._context.fleet.targets.get(books.target))
        if service is None:
            return
        books.ramp = ColdRamp(service.cold_slots, service.cold_requests, now)
        books.watch = ColdWatch()
        self._context.count(codes.COLD_STARTS)
        self._context.log("target_cold", target=books.target, cause=cause)

    def _serve_queue(self, books: Books, now: float) -> None:
        self._expire_waiters(books, now)
        if self._check_ready(books):
            return
        while len(books.queue) and self._has_room(books, suspect=False):
            waiter = books.queue.take(skip_suspects=books.has_suspect())
            if waiter is None:
                return
            self._grant(books, waiter.sender, waiter.request, now)

    def _expire_waiters(self, books: Books, now: float) -> None:
        for waiter in books.queue.take_expired(now):
            self._refuse(waiter.sender, waiter.request, REFUSAL_WAIT)

    def _handle_renewal(self, sender: str, message: SlotRenewal, now: float) -> None:
        """Bring the books in line with what a holder says it holds.

        It registers running slots with a new owner, and frees those whose release was lost.
        """
        books = self._owned.get(message.target)
        if books is None:
            return
        self._note_incarnation(message.instance, message.incarnation, now)
        listed = {held.attempt for held in message.slots}
        for held in message.slots:
            self._register(books, held, message.instance, message.incarnation, now)
        for slot in list(books.slots.values()):
            lost = slot.holder == message.instance and slot.attempt not in listed
            if lost and now - slot.since > RENEWAL_GRACE:
                self._doubt(books, slot, now)
        self._after_change(books, now)
        self._serve_queue(books, now)

    def _register(
        self, books: Books, held: HeldSlot, holder: str, incarnation: int, now: float
    ) -> None:
        if books.register(held, holder, incarnation, now):
            self._context.count(codes.SLOTS_REGISTERED)

    def _doubt(self, books: Books, slot: Slot, now: float) -> None:
        books.doubt(slot, now)
        self._context.count(codes.SLOTS_EXPIRED)

    def _note_incarnation(self, instance: str, incarnation: int, now: float) -> None:
        """Take back what an instance held before it started again: it knows nothing of it."""
        known = self._incarnations.get(instance, 0)
        if incarnation <= known:
            return
        self._incarnations[instance] = incarnation
        if known:
            self.free_holder(instance, incarnation, now)

    def _expire_slots(self, now: float) -> None:
        """Take back slots whose holder has not renewed them.

        The holder of a slot can die without giving it back; kept for ever, its slots would lower
        the target's capacity for good.
        """
        for books in self._owned.values():
            stale = [
                slot
                for slot in books.slots.values()
                if now - slot.renewed > self._context.options.slot_lease
            ]
            for slot in stale:
                self._doubt(books, slot, now)
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
            if books.boot_id:
                self._turn_cold(books, "boot", now)
            books.boot_id = event.boot_id
        books.own_limit = event.slots
        books.take_report(event.running, event.age, now)
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
        if event.seconds < PAUSE_SHARE * self._context.options.peer_silence:
            return
        self._context.count(codes.PAUSES)
        self._context.log("process_paused", seconds=f"{event.seconds:.1f}")
        for books in self._owned.values():
            service = self._find_service(self._context.fleet.targets.get(books.target))
            books.taken_at = now
            books.probation = Probation(1 if service is None else service.cold_slots)
            for waiter in books.queue.take_all():
                self._refuse(waiter.sender, waiter.request, REFUSAL_NOT_READY)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        """Drop the waiters of an instance that cannot be reached: it asks elsewhere."""
        for books in self._owned.values():
            books.queue.take_of(event.peer)

    def _after_change(self, books: Books, now: float) -> None:
        books.note_slots(now)
        view = self._context.fleet.targets.get(books.target)
        if view is not None:
            self._update_view(view, books, now)

    def _update_view(self, view: TargetView, books: Books, now: float) -> None:
        view.load = books.count_load()
        view.ready = books.ready
        view.boot_id = books.boot_id
        view.cold = books.ramp.cold
        view.updated = now
        self._context.fleet.note_target(view, self._context.configuration)
        view.limit = self._compute_limit(books)

    def _describe(self, books: Books) -> TargetLoad:
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
