"""The owner duty: which targets this instance owns, their hand-over and their reports.

One owner counts each target, so that the bound on its load is exact without any agreement while
the instances' lists agree. Where they do not, two instances believe that they own a target; each
sees the other's slots as load of others in the target's report, and the newer one is on probation
until reports show none.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core.messages import (
    Handover,
    HeldSlot,
    LoadFigure,
    Message,
    SlotRenewal,
    TargetLoad,
)
from rhubarbbend.core.owners._books import Books
from rhubarbbend.core.owners._grants import REFUSAL_NOT_OWNER, REFUSAL_NOT_READY, Granter
from rhubarbbend.core.owners._ledger import Ledger
from rhubarbbend.core.owners._ramp import Probation

STATE_LOADING: Final = "loading"
STATE_LEAVING: Final = "leaving"

# A pause this much shorter than the silence that peers allow may have cost the ownership: the
# last heartbeat went out up to an interval before it began.
PAUSE_SHARE: Final = 0.5


class OwnerDuty:
    """Owns targets. Invariant: the ledger has books for the owned targets and no others."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._ledger = Ledger(context)
        self._granter = Granter(context, self._ledger)

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
            **self._granter.list_messages(),
            Handover: self._handle_handover,
        }

    def list_loads(self) -> list[TargetLoad]:
        """List the load of each owned target for the heartbeat."""
        return [self._ledger.describe(books) for books in self._ledger.books.values()]

    def list_figures(self, service_name: str) -> list[LoadFigure]:
        """List the loads of the owned targets of a service."""
        targets = self._context.fleet.targets
        return [
            LoadFigure(target=books.target, load=books.count_load())
            for books in self._ledger.books.values()
            if books.target in targets and targets[books.target].service_name == service_name
        ]

    def list_owned(self) -> list[str]:
        """List the owned targets."""
        return list(self._ledger.books)

    def owns(self, target: str) -> bool:
        """Whether this instance takes itself for the owner of a target."""
        return target in self._ledger.books

    def free_holder(self, holder: str, incarnation: int, now: float) -> None:
        """Take back the slots of an instance's incarnations before the one given."""
        self._ledger.free_holder(holder, incarnation, now)

    def refresh_ownership(self, now: float) -> None:
        """Take over targets that have become this instance's, give up those that have not."""
        context = self._context
        for view in list(context.fleet.targets.values()):
            mine = self._may_own(view, now)
            if mine and view.id not in self._ledger.books:
                self._take_over(view, now)
            elif not mine and view.id in self._ledger.books:
                self._give_up(view.id, now)
        for target in [name for name in self._ledger.books if name not in context.fleet.targets]:
            self._give_up(target, now)

    def _may_own(self, view: TargetView, now: float) -> bool:
        """Whether a target is this instance's to grant.

        To an instance that is cut off, all others look gone, and it comes to own their zones'
        targets. Operators may have taken such a zone out since, which it cannot know: its targets
        got work for as long as the cut lasted. Its own zone's targets it serves on; those of other
        zones only while the table service answers.
        """
        if self._context.fleet.find_owner(view) != self._context.identity.instance:
            return False
        is_own_zone = view.zone == self._context.identity.zone
        return is_own_zone or not self._context.is_out_of_touch(now)

    def hand_over_all(self, now: float) -> None:
        """Give every owned target to its next owner; part of a planned stop."""
        self.refresh_ownership(now)

    def _start(self, event: events.Started, now: float) -> None:
        options = self._context.options
        self._context.repeat(options.report_interval, self._ask_reports, now)
        self._context.repeat(options.slot_lease / 4, self._granter.expire_slots, now)

    def _take_over(self, view: TargetView, now: float) -> None:
        service = self._context.configuration.services.get(view.service_name)
        if service is None:
            return
        books = self._ledger.books[view.id] = Books(view.id, service, now)
        books.boot_id = view.boot_id
        # Until the first report the former owner's word holds. Told unready meanwhile, every
        # instance of the zone would pass a target over that is well.
        books.ready = view.ready
        if view.boot_id and not view.cold:
            # The owner before had seen it warm; whether it still is shows its boot id.
            books.ramp.finish()
        self._context.count(codes.TAKEOVERS)
        self._context.log("target_taken_over", target=view.id)
        self._ask_report(view)

    def _give_up(self, target: str, now: float) -> None:
        books = self._ledger.books.pop(target)
        fleet = self._context.fleet
        view = fleet.targets.get(target)
        owner = "" if view is None else fleet.find_owner(view)
        if view is not None and view.zone != self._context.identity.zone:
            # Its own zone counts it again.
            view.updated = -1.0
            view.ready = False
            fleet.note_target(view, self._context.configuration)
        self._granter.refuse_all(books, REFUSAL_NOT_OWNER, owner)
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
        books = self._ledger.find(message.target)
        if books is None:
            return
        for holder in message.holders:
            for held in holder.slots:
                self._granter.register(books, held, holder.instance, holder.incarnation, now)
        if message.boot_id == books.boot_id or not books.boot_id:
            books.ramp.restore(message.work_done)
        # The former owner has stopped granting and told its count.
        books.probation.finish()
        self._ledger.update(books, now)
        self._granter.serve_queue(books, now)

    def _ask_reports(self, now: float) -> None:
        for target, books in self._ledger.books.items():
            self._granter.note_service(books, now)
            view = self._context.fleet.targets.get(target)
            if view is not None:
                self._ask_report(view)

    def _ask_report(self, view: TargetView) -> None:
        self._context.emit(actions.ReadReport(view.id, view.service_name, view.host, view.port))

    def _handle_report(self, event: events.ReportRead, now: float) -> None:
        books = self._ledger.find(event.target)
        view = self._context.fleet.targets.get(event.target)
        if books is None or view is None:
            return
        if event.boot_id != books.boot_id:
            if books.boot_id:
                self._ledger.turn_cold(books, "boot", now)
            else:
                books.ramp.show_bearing(event.running)
            books.boot_id = event.boot_id
        books.own_limit = event.slots
        books.take_report(event.running, event.age, now)
        was_ready = books.ready
        books.ready = event.state not in (STATE_LOADING, STATE_LEAVING)
        view.models = event.models
        if books.ready != was_ready:
            self._context.log("target_ready", target=books.target, ready=str(books.ready))
        self._ledger.update(books, now)
        self._granter.serve_queue(books, now)

    def _handle_report_failure(self, event: events.ReportFailed, now: float) -> None:
        books = self._ledger.find(event.target)
        if books is None:
            return
        self._context.count(codes.REPORTS_FAILED)
        silent = now - max(books.report_at, books.taken_at)
        if books.ready and silent > self._context.options.report_max_age:
            books.ready = False
            self._context.log("target_ready", target=books.target, ready="False")
            self._ledger.update(books, now)
            self._granter.refuse_all(books, REFUSAL_NOT_READY)

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
        for books in self._ledger.books.values():
            service = self._ledger.find_service(books)
            books.taken_at = now
            books.probation = Probation(1 if service is None else service.cold_slots)
            self._granter.refuse_all(books, REFUSAL_NOT_READY)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        """Drop the waiters of an instance that cannot be reached: it asks elsewhere."""
        for books in self._ledger.books.values():
            books.queue.take_of(event.peer)
