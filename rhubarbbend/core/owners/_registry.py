"""Registry of all owned targets, which keeps the fleet's views and load sums up to date."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.core._context import Context
from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import TargetLoad
from rhubarbbend.core.owners._owned_target import ColdDetector, OwnedTarget, Slot
from rhubarbbend.core.owners._slow_start import SlowStart


class OwnedTargetRegistry:
    """Owned targets by id. Invariant: the fleet's view of each matches its state here."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.owned_targets: dict[str, OwnedTarget] = {}

    def find(self, target: str) -> OwnedTarget | None:
        """Return the state of a target, or None if this instance does not own it."""
        return self.owned_targets.get(target)

    def find_service(self, owned_target: OwnedTarget) -> Service | None:
        """Return the declaration of the target's service, or None if it is not known."""
        view = self._context.fleet.targets.get(owned_target.target)
        if view is None:
            return None
        return self._context.configuration.services.get(view.service_name)

    def compute_limit(self, owned_target: OwnedTarget) -> int:
        """Return the maximum load in requests that a target may have.

        It is the smallest of the service's load bound, the target's reported limit and the limit of
        its slow start.
        """
        service = self.find_service(owned_target)
        if service is None:
            return 0
        total_load, target_count = self._context.fleet.compute_total_load(
            service, self._context.configuration
        )
        if not self._context.fleet.is_in_load_sums(owned_target.target):
            total_load += owned_target.count_load()
            target_count += 1
        return owned_target.compute_limit(service, total_load, target_count)

    def update_view(self, owned_target: OwnedTarget, now: float) -> None:
        """Update the fleet's view of a target; called after each change of the target's state."""
        owned_target.record_slot_count(now)
        view = self._context.fleet.targets.get(owned_target.target)
        if view is None:
            return
        view.load = owned_target.count_load()
        view.ready = owned_target.ready
        view.boot_id = owned_target.boot_id
        view.cold = owned_target.slow_start.is_cold
        view.updated = now
        self._context.fleet.update_load_sums(view, self._context.configuration)
        view.limit = self.compute_limit(owned_target)

    def make_target_load(self, owned_target: OwnedTarget) -> TargetLoad:
        """Return the load message of a target for the other instances of the zone."""
        view = self._context.fleet.targets.get(owned_target.target)
        return TargetLoad(
            target=owned_target.target,
            boot_id=owned_target.boot_id,
            load=owned_target.count_load(),
            limit=self.compute_limit(owned_target),
            ready=owned_target.ready,
            cold=owned_target.slow_start.is_cold,
            service_name="" if view is None else view.service_name,
            models=[] if view is None else view.models,
        )

    def mark_in_doubt(self, owned_target: OwnedTarget, slot: Slot, now: float) -> None:
        """Release a slot that its holder no longer confirms; keep its attempt in doubt."""
        owned_target.mark_in_doubt(slot, now)
        self._context.count(codes.SLOTS_EXPIRED)
        self._context.log(
            "slot_in_doubt", target=owned_target.target, attempt=slot.attempt, holder=slot.holder
        )

    def mark_cold(self, owned_target: OwnedTarget, cause: str, now: float) -> None:
        """Mark a target as cold: restart its slow start."""
        service = self.find_service(owned_target)
        if service is None:
            return
        owned_target.slow_start = SlowStart(service.cold_slots, service.cold_requests, now)
        owned_target.cold_detector = ColdDetector()
        self._context.count(codes.COLD_STARTS)
        self._context.log("target_cold", target=owned_target.target, cause=cause)

    def expire_holder_slots(self, holder: str, incarnation: int, now: float) -> None:
        """Mark the slots of a holder's incarnations before `incarnation` as in doubt.

        This is called for an instance that is silent or has restarted. If the slots of a dead
        holder were kept until their lease ends, they would lower the capacity of its targets for
        that long. If they were dropped at once, they would be granted a second time, because the
        holder may only be cut off and its targets still run its requests. They therefore stay part
        of the load until a later report shows which of them are still running.
        """
        for owned_target in self.owned_targets.values():
            held = [
                slot
                for slot in owned_target.slots.values()
                if slot.holder == holder and slot.incarnation < incarnation
            ]
            for slot in held:
                self.mark_in_doubt(owned_target, slot, now)
            if held:
                self.update_view(owned_target, now)
