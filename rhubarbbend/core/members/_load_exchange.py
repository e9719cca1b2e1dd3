"""Exchange of target loads between instances in slot messages and heartbeats.

Slot messages carry loads too, so that the mean load is as recent as the traffic.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import InstanceView, LoadSum, TargetView, ZoneSums
from rhubarbbend.core.messages import ServiceSum, SlotMessage, SlotRelease, TargetLoad
from rhubarbbend.core.owners._owner import OwnershipCoordinator

# Slot messages carry loads of single targets only in a zone with at most this many other instances.
# In a larger zone each instance has a small part of the load, so that the errors of stale figures
# average out.
MAX_PEERS_FOR_LOAD_FIGURES: Final = 16


class LoadExchange:
    """Attaches the newest loads to slot messages and records the loads that peers send."""

    def __init__(self, context: Context, owner: OwnershipCoordinator) -> None:
        self._context = context
        self._owner = owner
        context.attach_loads = self._attach_loads

    def record_target_load(self, load: TargetLoad, now: float) -> None:
        """Record the load of a target from its owner's heartbeat; ignore it for an owned target."""
        view = self._context.fleet.targets.get(load.target)
        if view is None or self._owner.owns(load.target):
            return
        view.boot_id = load.boot_id
        view.load = load.load
        view.limit = load.limit
        view.ready = load.ready
        view.cold = load.cold
        view.models = load.models
        view.updated = now
        self._context.fleet.update_load_sums(view, self._context.configuration)

    def _attach_loads(self, view: InstanceView, message: SlotMessage) -> None:
        """Attach the newest loads of its service to a slot message.

        Loads from heartbeats are some tenths of a second old, sums of other zones some seconds.
        In a small fleet half the requests end within that time, and a mean computed from such old
        loads lets a target exceed its limit by half.
        """
        context = self._context
        target = context.fleet.targets.get(message.target)
        if target is None:
            return
        if isinstance(message, SlotRelease) and message.sent:
            self._record_release(view, target)
        if view.zone != context.identity.zone:
            sums = context.fleet.compute_own_zone_sums(context.configuration).get(
                target.service_name
            )
            if sums is not None:
                entry = ServiceSum(
                    service_name=target.service_name, load=sums.load, targets=sums.targets
                )
                message.sums = [entry]
        elif self._count_zone_peers() <= MAX_PEERS_FOR_LOAD_FIGURES:
            message.figures = self._owner.list_load_figures(target.service_name)

    def _record_release(self, owner: InstanceView, target: TargetView) -> None:
        """Subtract a slot that is being released before its owner reports the new load.

        The next request of the same caller may get a slot before that report arrives, and the
        mean would count both requests.
        """
        fleet = self._context.fleet
        if owner.zone == self._context.identity.zone:
            if not self._owner.owns(target.id) and target.load > 0:
                target.load -= 1
                fleet.update_load_sums(target, self._context.configuration)
            return
        zone = fleet.zone_sums.get(owner.zone)
        entry = None if zone is None else zone.sums.get(target.service_name)
        if entry is not None and entry.load > 0:
            entry.load -= 1

    def record_loads(self, sender: str, message: SlotMessage, now: float) -> None:
        """Record the loads that a slot message carries: of single targets or of a whole zone."""
        fleet = self._context.fleet
        for figure in message.figures:
            target = fleet.targets.get(figure.target)
            if target is not None and target.updated >= 0 and not self._owner.owns(target.id):
                target.load = figure.load
                target.updated = now
                fleet.update_load_sums(target, self._context.configuration)
        view = fleet.instances.get(sender)
        if view is None or view.zone == self._context.identity.zone:
            return
        for entry in message.sums:
            zone = fleet.zone_sums.setdefault(view.zone, ZoneSums(now, {}))
            zone.heard_at = now
            zone.sums[entry.service_name] = LoadSum(entry.load, entry.targets)

    def _count_zone_peers(self) -> int:
        identity = self._context.identity
        instances = self._context.fleet.instances.values()
        return sum(view.zone == identity.zone for view in instances) - 1
