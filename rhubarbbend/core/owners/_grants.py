"""Handling of slot requests, releases and renewals for owned targets."""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.messages import (
    HeldSlot,
    Message,
    SlotRelease,
    SlotRenewal,
    SlotReply,
    SlotRequest,
)
from rhubarbbend.core.owners._owned_target import OwnedTarget, Slot
from rhubarbbend.core.owners._queue import Waiter
from rhubarbbend.core.owners._registry import OwnedTargetRegistry

REFUSAL_FULL: Final = "full"
REFUSAL_QUEUE_FULL: Final = "queue_full"
REFUSAL_WAIT_TOO_LONG: Final = "wait_too_long"
REFUSAL_NOT_READY: Final = "not_ready"
REFUSAL_NOT_OWNER: Final = "not_owner"

# A renewal may have been formed before a grant reached its holder, so a slot younger
# than this is kept although a renewal does not list it.
RENEWAL_GRACE_S: Final = 2.0
# A target whose first report has not arrived this long after the takeover is not ready.
FIRST_REPORT_TIMEOUT_S: Final = 1.0


class SlotGranter:
    """Answers slot messages. Invariant: each request gets one reply, a grant or a refusal."""

    def __init__(self, context: Context, registry: OwnedTargetRegistry) -> None:
        self._context = context
        self._registry = registry
        self._incarnations: dict[str, int] = {}

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers of the messages that slot holders send."""
        return {
            SlotRequest: self._handle_request,
            SlotRelease: self._handle_release,
            SlotRenewal: self._handle_renewal,
        }

    def refuse_waiters(self, owned_target: OwnedTarget, refusal: str, owner: str = "") -> None:
        """Refuse every queued request of a target."""
        for waiter in owned_target.queue.remove_all():
            self._refuse(waiter.sender, waiter.request, refusal, owner=owner)

    def serve_queue(self, owned_target: OwnedTarget, now: float) -> None:
        """Grant slots to queued requests in fair order while the target has capacity."""
        self._expire_waiters(owned_target, now)
        if self._check_ready(owned_target):
            return
        while len(owned_target.queue) and self._has_capacity(owned_target, suspect=False):
            waiter = owned_target.queue.pop_next(skip_suspects=owned_target.has_suspect())
            if waiter is None:
                return
            self._grant(owned_target, waiter.sender, waiter.request, now)

    def update_service_state(self, owned_target: OwnedTarget, now: float) -> None:
        """Handle a target that has gone out of service or has returned.

        If the target is out of service, queued requests are refused, because they would wait for a
        slot that it no longer gives. A target that returns was idle for a while and may have been
        restarted or have lost its cache unnoticed. It goes through slow start again, which raises
        its limit only by completed requests.
        """
        view = self._context.fleet.targets.get(owned_target.target)
        is_out = view is None or not self._context.accepts_new_work(view)
        is_unreported = owned_target.last_report_at < 0 and not self._is_awaiting_first_report(
            owned_target, now
        )
        if is_out or is_unreported:
            self.refuse_waiters(owned_target, REFUSAL_NOT_READY)
        elif owned_target.out_of_service:
            self._registry.mark_cold(owned_target, "returned", now)
            self._registry.update_view(owned_target, now)
        owned_target.out_of_service = is_out

    def register_slot(
        self, owned_target: OwnedTarget, held: HeldSlot, holder: str, incarnation: int, now: float
    ) -> None:
        """Register a slot that its holder or the former owner reports as held."""
        if owned_target.register_slot(held, holder, incarnation, now):
            self._context.count(codes.SLOTS_REGISTERED)

    def expire_slots(self, now: float) -> None:
        """Mark slots as in doubt that their holder has not renewed within the lease.

        A holder can die without releasing its slots. Slots kept for ever would lower the target's
        capacity permanently.
        """
        for owned_target in self._registry.owned_targets.values():
            stale = [
                slot
                for slot in owned_target.slots.values()
                if now - slot.renewed_at > self._context.options.slot_lease
            ]
            for slot in stale:
                self._registry.mark_in_doubt(owned_target, slot, now)
            if stale:
                self._registry.update_view(owned_target, now)

    def _handle_request(self, sender: str, message: SlotRequest, now: float) -> None:
        owned_target = self._registry.find(message.target)
        if owned_target is None:
            self._redirect(sender, message)
            return
        if sender not in self._context.fleet.instances:
            # The sender is not yet in this instance's list, so no reply can reach it and a granted
            # slot would be lost.
            self._context.count(codes.SLOTS_REFUSED)
            return
        self._update_incarnation(message.instance, message.incarnation, now)
        self.update_service_state(owned_target, now)
        self._expire_waiters(owned_target, now)
        refusal = self._check_ready(owned_target) or self._check_model(owned_target, message.model)
        if refusal and self._is_awaiting_first_report(owned_target, now):
            self._enqueue(owned_target, sender, message, now)
        elif refusal:
            self._refuse(sender, message, refusal)
        elif len(owned_target.queue) == 0 and self._has_capacity(owned_target, message.suspect):
            self._grant(owned_target, sender, message, now)
        else:
            self._enqueue(owned_target, sender, message, now)

    def _redirect(self, sender: str, message: SlotRequest) -> None:
        view = self._context.fleet.targets.get(message.target)
        owner = "" if view is None else self._context.fleet.find_owner(view)
        if owner == self._context.identity.instance:
            owner = ""
        refusal = REFUSAL_NOT_OWNER if owner else REFUSAL_NOT_READY
        self._refuse(sender, message, refusal, owner=owner)

    def _is_awaiting_first_report(self, owned_target: OwnedTarget, now: float) -> bool:
        """Return whether the target was taken over recently and its first report is still pending.

        If requests were refused during this time, they would fail at each change of owner although
        the target is healthy.
        """
        view = self._context.fleet.targets.get(owned_target.target)
        if view is None or not self._context.accepts_new_work(view):
            return False
        return (
            owned_target.last_report_at < 0
            and now - owned_target.taken_over_at < FIRST_REPORT_TIMEOUT_S
        )

    def _check_ready(self, owned_target: OwnedTarget) -> str:
        view = self._context.fleet.targets.get(owned_target.target)
        if view is None or not owned_target.ready or not self._context.accepts_new_work(view):
            return REFUSAL_NOT_READY
        return ""

    def _check_model(self, owned_target: OwnedTarget, model: str) -> str:
        """Return a refusal if the target has not loaded the requested model or adapter.

        Only instances of the target's own zone know what it has loaded. An instance of another zone
        asks without this knowledge; if it were granted the slot, its request would fail at the
        target.
        """
        view = self._context.fleet.targets.get(owned_target.target)
        loaded = [] if view is None else view.models
        return REFUSAL_NOT_READY if model and loaded and model not in loaded else ""

    def _enqueue(
        self, owned_target: OwnedTarget, sender: str, message: SlotRequest, now: float
    ) -> None:
        """Queue a request, or refuse it at once if it is not expected to get a slot in time."""
        if message.max_wait <= 0:
            self._refuse(sender, message, REFUSAL_FULL)
            return
        expected_wait = self._estimate_wait(owned_target, message, now)
        if expected_wait > message.max_wait:
            self._refuse(
                sender, message, REFUSAL_WAIT_TOO_LONG, retry_after=expected_wait - message.max_wait
            )
            return
        evicted = owned_target.queue.add(Waiter(message, sender, now, now + message.max_wait))
        if evicted is not None:
            self._refuse(
                evicted.sender, evicted.request, REFUSAL_QUEUE_FULL, retry_after=expected_wait
            )
        if evicted is None or evicted.request is not message:
            self._context.count(codes.SLOTS_QUEUED)
            deadline = now + message.max_wait
            self._context.set_timer(deadline, lambda at: self._expire_waiters(owned_target, at))

    def _estimate_wait(self, owned_target: OwnedTarget, message: SlotRequest, now: float) -> float:
        """Estimate the wait of a new request in seconds from the queue and the mean duration.

        Without the estimate a request that cannot be served in time would stay queued until its
        deadline, and only then would its caller learn that it has to use another target. Until a
        first request has completed there is no estimate, and requests are queued.

        The first in the queue waits for the longest-running request. The next turn of a chat can
        arrive before the slot of the previous turn is released. If that slot were assumed to be
        needed for a whole mean duration, the chat would be sent away from the engine that holds its
        context.
        """
        ahead = owned_target.queue.count_ahead(message.account, message.weight)
        slot_interval = owned_target.mean_duration / max(
            1, self._registry.compute_limit(owned_target)
        )
        return (
            min(slot_interval, owned_target.estimate_first_completion(now)) + ahead * slot_interval
        )

    def _has_capacity(self, owned_target: OwnedTarget, suspect: bool) -> bool:
        if suspect and owned_target.has_suspect():
            return False
        if not owned_target.probation.can_grant():
            return False
        return owned_target.count_load() < self._registry.compute_limit(owned_target)

    def _grant(
        self, owned_target: OwnedTarget, sender: str, message: SlotRequest, now: float
    ) -> None:
        slot = Slot(
            message.attempt,
            message.instance,
            message.incarnation,
            message.account,
            now,
            now,
            message.suspect,
        )
        owned_target.add_slot(slot, now)
        self._registry.update_view(owned_target, now)
        self._context.count(codes.SLOTS_GRANTED)
        self._log_slot_event("slot_granted", owned_target, message.attempt, holder=message.instance)
        self._context.send(
            sender,
            SlotReply(
                attempt=message.attempt,
                target=message.target,
                boot_id=owned_target.boot_id,
                load=owned_target.count_load(),
                limit=self._registry.compute_limit(owned_target),
            ),
        )

    def _log_slot_event(
        self, event: str, owned_target: OwnedTarget, attempt: str, **details: str
    ) -> None:
        """Log a decision on a slot together with the owner's state of the target at that time."""
        self._context.log(
            event,
            target=owned_target.target,
            attempt=attempt,
            slots=str(len(owned_target.slots)),
            in_doubt=str(len(owned_target.in_doubt)),
            foreign=str(owned_target.foreign_load),
            limit=str(self._registry.compute_limit(owned_target)),
            **details,
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
        owned_target = self._registry.find(message.target)
        self._context.send(
            sender,
            SlotReply(
                attempt=message.attempt,
                target=message.target,
                refusal=refusal,
                owner=owner,
                retry_after=retry_after,
                load=0 if owned_target is None else owned_target.count_load(),
                limit=0 if owned_target is None else self._registry.compute_limit(owned_target),
            ),
        )

    def _handle_release(self, sender: str, message: SlotRelease, now: float) -> None:
        owned_target = self._registry.find(message.target)
        if owned_target is None:
            return
        owned_target.queue.remove(message.attempt)
        slot = owned_target.release_slot(message, now)
        if slot is None:
            return
        outcome = "completed" if message.completed else "failed" if message.failed else "left"
        self._log_slot_event(
            "slot_ended", owned_target, slot.attempt, holder=slot.holder, how=outcome
        )
        if message.completed:
            self._record_completion(owned_target, slot, message, now)
        elif (
            message.failed
            and owned_target.cold_detector.record_failure()
            and owned_target.slow_start.has_grown
        ):
            self._registry.mark_cold(owned_target, "failures", now)
        self._registry.update_view(owned_target, now)
        self.serve_queue(owned_target, now)

    def _record_completion(
        self, owned_target: OwnedTarget, slot: Slot, message: SlotRelease, now: float
    ) -> None:
        if slot.granted_at >= owned_target.slow_start.started_at:
            # Requests granted before the cold start do not show how much the target can serve now.
            owned_target.slow_start.record_completion()
        service = self._registry.find_service(owned_target)
        rate = 0.0 if service is None else service.prefill_rate
        prefill_time = message.tokens / rate if rate > 0 else 0.0
        slow = owned_target.cold_detector.record_first_byte(message.first_byte, prefill_time)
        if slow and owned_target.slow_start.has_grown:
            self._registry.mark_cold(owned_target, "latency", now)

    def _expire_waiters(self, owned_target: OwnedTarget, now: float) -> None:
        for waiter in owned_target.queue.remove_expired(now):
            self._refuse(waiter.sender, waiter.request, REFUSAL_WAIT_TOO_LONG)

    def _handle_renewal(self, sender: str, message: SlotRenewal, now: float) -> None:
        """Reconcile the slots of a target with those that a holder reports as held.

        This registers running slots with a new owner, and marks slots as in doubt whose release
        message was lost.
        """
        owned_target = self._registry.find(message.target)
        if owned_target is None:
            return
        self._update_incarnation(message.instance, message.incarnation, now)
        held_attempts = {held.attempt for held in message.slots}
        for held in message.slots:
            self.register_slot(owned_target, held, message.instance, message.incarnation, now)
        for slot in list(owned_target.slots.values()):
            is_lost = slot.holder == message.instance and slot.attempt not in held_attempts
            if is_lost and now - slot.granted_at > RENEWAL_GRACE_S:
                self._registry.mark_in_doubt(owned_target, slot, now)
        self._registry.update_view(owned_target, now)
        self.serve_queue(owned_target, now)

    def _update_incarnation(self, instance: str, incarnation: int, now: float) -> None:
        """Record an instance's incarnation; mark slots of earlier ones as in doubt.

        An instance that has restarted knows nothing of the slots that it held before.
        """
        known_incarnation = self._incarnations.get(instance, 0)
        if incarnation <= known_incarnation:
            return
        self._incarnations[instance] = incarnation
        if known_incarnation:
            self._registry.expire_holder_slots(instance, incarnation, now)
