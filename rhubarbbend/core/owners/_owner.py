"""The owner component: which targets this instance owns, their handover and their load reports.

Each target's load is counted by one owner, so that the bound on it is exact without a consensus
protocol while the instances' lists agree. When the lists differ, two instances may believe that
they own the same target. Each then sees the other's slots as foreign load in the target's reports,
and the newer owner is on probation until the reports show no foreign load.
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
from rhubarbbend.core.owners._grants import REFUSAL_NOT_OWNER, REFUSAL_NOT_READY, SlotGranter
from rhubarbbend.core.owners._owned_target import OwnedTarget
from rhubarbbend.core.owners._registry import OwnedTargetRegistry
from rhubarbbend.core.owners._slow_start import Probation

STATE_LOADING: Final = "loading"
STATE_LEAVING: Final = "leaving"

# A pause of the process counts as a possible loss of ownership when it lasts this fraction of the
# silence that peers allow. It is below 1 because the last heartbeat may have been sent up to a full
# interval before the pause began.
PAUSE_FRACTION: Final = 0.5


class OwnershipCoordinator:
    """Owns targets. Invariant: the registry holds exactly the owned targets."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._registry = OwnedTargetRegistry(context)
        self._granter = SlotGranter(context, self._registry)
        # Targets whose report is being read once more before they count as not ready.
        self._confirming: set[str] = set()

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handlers of start, load reports, process pauses and lost peers."""
        return {
            events.Started: self._handle_start,
            events.ReportRead: self._handle_report,
            events.ReportFailed: self._handle_report_failure,
            events.ProcessPaused: self._handle_pause,
            events.PeerLost: self._handle_peer_lost,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers of slot messages and of the handover by a former owner."""
        return {
            **self._granter.get_message_handlers(),
            Handover: self._handle_handover,
        }

    def list_loads(self) -> list[TargetLoad]:
        """Return the load of each owned target for the heartbeat."""
        return [
            self._registry.make_target_load(owned_target)
            for owned_target in self._registry.owned_targets.values()
        ]

    def list_load_figures(self, service_name: str) -> list[LoadFigure]:
        """Return the load figures of the owned targets of a service."""
        targets = self._context.fleet.targets
        return [
            LoadFigure(target=owned_target.target, load=owned_target.count_load())
            for owned_target in self._registry.owned_targets.values()
            if owned_target.target in targets
            and targets[owned_target.target].service_name == service_name
        ]

    def list_owned(self) -> list[str]:
        """Return the ids of the owned targets."""
        return list(self._registry.owned_targets)

    def owns(self, target: str) -> bool:
        """Return whether this instance regards itself as the owner of a target."""
        return target in self._registry.owned_targets

    def expire_holder_slots(self, holder: str, incarnation: int, now: float) -> None:
        """Mark the slots of an instance's incarnations before the given one as in doubt."""
        self._registry.expire_holder_slots(holder, incarnation, now)

    def refresh_ownership(self, now: float) -> None:
        """Take over targets that this instance now owns; release those that it no longer owns."""
        context = self._context
        for view in list(context.fleet.targets.values()):
            is_owner = self._can_own(view, now)
            if is_owner and view.id not in self._registry.owned_targets:
                self._take_over(view, now)
            elif not is_owner and view.id in self._registry.owned_targets:
                self._release_ownership(view.id, now)
        for target in [
            name for name in self._registry.owned_targets if name not in context.fleet.targets
        ]:
            self._release_ownership(target, now)

    def _can_own(self, view: TargetView, now: float) -> bool:
        """Return whether this instance may own a target and grant its slots.

        To an instance that is cut off, all others look dead, so it becomes the owner of targets of
        their zones too. Operators may have taken such a zone out of service since, which it cannot
        know, and the zone's targets would receive work for as long as the partition lasts. It
        therefore keeps the targets of its own zone, and those of other zones only while the table
        service answers.
        """
        if self._context.fleet.find_owner(view) != self._context.identity.instance:
            return False
        is_own_zone = view.zone == self._context.identity.zone
        return is_own_zone or not self._context.may_have_missed_changes(now)

    def hand_over_all(self, now: float) -> None:
        """Hand every owned target over to its next owner; part of a planned stop."""
        self.refresh_ownership(now)

    def _handle_start(self, event: events.Started, now: float) -> None:
        options = self._context.options
        self._context.repeat(options.report_interval, self._request_reports, now)
        self._context.repeat(options.slot_lease / 4, self._granter.expire_slots, now)

    def _take_over(self, view: TargetView, now: float) -> None:
        service = self._context.configuration.services.get(view.service_name)
        if service is None:
            return
        owned_target = self._registry.owned_targets[view.id] = OwnedTarget(view.id, service, now)
        owned_target.boot_id = view.boot_id
        # The former owner's readiness holds until the first report. If the target were announced as
        # not ready meanwhile, every instance of the zone would skip a healthy target.
        owned_target.ready = view.ready
        if view.boot_id and not view.cold:
            # The former owner had seen the target warm; a changed boot id will show if it no longer
            # is.
            owned_target.slow_start.mark_warm()
        self._context.count(codes.TAKEOVERS)
        self._context.log("target_taken_over", target=view.id)
        self._request_report(view)

    def _release_ownership(self, target: str, now: float) -> None:
        owned_target = self._registry.owned_targets.pop(target)
        fleet = self._context.fleet
        view = fleet.targets.get(target)
        owner = "" if view is None else fleet.find_owner(view)
        if view is not None and view.zone != self._context.identity.zone:
            # From now on the load sum of the target's own zone covers it.
            view.updated = -1.0
            view.ready = False
            fleet.update_load_sums(view, self._context.configuration)
        self._granter.refuse_waiters(owned_target, REFUSAL_NOT_OWNER, owner)
        if owner and owner != self._context.identity.instance:
            self._context.count(codes.HANDOVERS)
            self._context.log("target_handed_over", target=target, owner=owner)
            self._context.send(owner, self._make_handover(owned_target))

    def _make_handover(self, owned_target: OwnedTarget) -> Handover:
        by_holder: dict[tuple[str, int], list[HeldSlot]] = {}
        for slot in owned_target.slots.values():
            held = HeldSlot(attempt=slot.attempt, account=slot.account, suspect=slot.suspect)
            by_holder.setdefault((slot.holder, slot.incarnation), []).append(held)
        return Handover(
            target=owned_target.target,
            holders=[
                SlotRenewal(
                    instance=holder,
                    incarnation=incarnation,
                    target=owned_target.target,
                    slots=slots,
                )
                for (holder, incarnation), slots in by_holder.items()
            ],
            boot_id=owned_target.boot_id,
            work_done=owned_target.slow_start.completed_requests,
        )

    def _handle_handover(self, sender: str, message: Handover, now: float) -> None:
        owned_target = self._registry.find(message.target)
        if owned_target is None:
            return
        for holder in message.holders:
            for held in holder.slots:
                self._granter.register_slot(
                    owned_target, held, holder.instance, holder.incarnation, now
                )
        if message.boot_id == owned_target.boot_id or not owned_target.boot_id:
            owned_target.slow_start.restore(message.work_done)
        # The former owner has stopped granting and has reported its slots.
        owned_target.probation.finish()
        self._registry.update_view(owned_target, now)
        self._granter.serve_queue(owned_target, now)

    def _request_reports(self, now: float) -> None:
        for target, owned_target in self._registry.owned_targets.items():
            self._granter.update_service_state(owned_target, now)
            view = self._context.fleet.targets.get(target)
            if view is not None:
                self._request_report(view)

    def _request_report(self, view: TargetView) -> None:
        self._context.emit(actions.ReadReport(view.id, view.service_name, view.host, view.port))

    def _handle_report(self, event: events.ReportRead, now: float) -> None:
        owned_target = self._registry.find(event.target)
        view = self._context.fleet.targets.get(event.target)
        if owned_target is None or view is None:
            return
        if event.boot_id != owned_target.boot_id:
            if owned_target.boot_id:
                self._registry.mark_cold(owned_target, "boot", now)
            else:
                owned_target.slow_start.raise_limit_to(event.running)
            owned_target.boot_id = event.boot_id
        owned_target.reported_limit = event.slots
        owned_target.record_report(event.running, event.age, now)
        was_ready = owned_target.ready
        owned_target.ready = event.state not in (STATE_LOADING, STATE_LEAVING)
        view.models = event.models
        if owned_target.ready != was_ready:
            self._context.log(
                "target_ready", target=owned_target.target, ready=str(owned_target.ready)
            )
        self._registry.update_view(owned_target, now)
        self._granter.serve_queue(owned_target, now)

    def _handle_report_failure(self, event: events.ReportFailed, now: float) -> None:
        owned_target = self._registry.find(event.target)
        if owned_target is None:
            return
        self._context.count(codes.REPORTS_FAILED)
        silent_for = now - max(owned_target.last_report_at, owned_target.taken_over_at)
        if not owned_target.ready or silent_for <= self._context.options.report_max_age:
            return
        if event.silent:
            self._confirm_silence(owned_target, now)
        else:
            self._mark_not_ready(owned_target, now)

    def _confirm_silence(self, owned_target: OwnedTarget, now: float) -> None:
        """Read the report once more before a target counts as not ready.

        A read that timed out tells of the time when it began. The target may be reachable again
        since, and until the next read all requests for it would be refused.
        """
        target = owned_target.target
        view = self._context.fleet.targets.get(target)
        if view is None or target in self._confirming:
            return
        self._confirming.add(target)
        self._request_report(view)
        timeout_at = now + self._context.options.report_interval
        self._context.set_timer(timeout_at, lambda at: self._end_confirmation(target, now, at))

    def _end_confirmation(self, target: str, asked_at: float, now: float) -> None:
        self._confirming.discard(target)
        owned_target = self._registry.find(target)
        if owned_target is None or not owned_target.ready:
            return
        if max(owned_target.last_report_at, owned_target.taken_over_at) < asked_at:
            self._mark_not_ready(owned_target, now)

    def _mark_not_ready(self, owned_target: OwnedTarget, now: float) -> None:
        owned_target.ready = False
        self._context.log("target_ready", target=owned_target.target, ready="False")
        self._registry.update_view(owned_target, now)
        self._granter.refuse_waiters(owned_target, REFUSAL_NOT_READY)

    def _handle_pause(self, event: events.ProcessPaused, now: float) -> None:
        """Treat every owned target as newly taken over after a pause of this process.

        During the pause its peers may have taken over its targets; granting from the state before
        the pause would add a second set of slots to theirs. Until holders and reports have been
        heard again, each target is granted no more slots than a cold one.
        """
        if event.seconds < PAUSE_FRACTION * self._context.options.peer_silence:
            return
        self._context.count(codes.PAUSES)
        self._context.log("process_paused", seconds=f"{event.seconds:.1f}")
        for owned_target in self._registry.owned_targets.values():
            service = self._registry.find_service(owned_target)
            owned_target.taken_over_at = now
            owned_target.probation = Probation(1 if service is None else service.cold_slots)
            self._granter.refuse_waiters(owned_target, REFUSAL_NOT_READY)

    def _handle_peer_lost(self, event: events.PeerLost, now: float) -> None:
        """Drop the queued requests of an unreachable instance; it asks elsewhere."""
        for owned_target in self._registry.owned_targets.values():
            owned_target.queue.remove_sender(event.peer)
