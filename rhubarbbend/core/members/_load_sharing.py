"""Loads that slot messages and heartbeats carry, so that the mean is as new as the traffic."""

from __future__ import annotations

from typing import Final

from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import InstanceView, LoadSum, TargetView, ZoneSums
from rhubarbbend.core.messages import ServiceSum, SlotMessage, SlotRelease, TargetLoad
from rhubarbbend.core.owners._owner import OwnerDuty

# In a larger zone each instance carries little of the load, so that stale figures average out.
SMALL_ZONE: Final = 16


class LoadSharing:
    """Adds the newest loads to slot messages, and takes over those of others."""

    def __init__(self, context: Context, owner: OwnerDuty) -> None:
        self._context = context
        self._owner = owner
        context.add_loads = self._add_loads

    def take_load(self, load: TargetLoad, now: float) -> None:
        """Take over the load of a target that a heartbeat tells."""
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
        self._context.fleet.note_target(view, self._context.configuration)

    def _add_loads(self, view: InstanceView, message: SlotMessage) -> None:
        """Let a slot message carry the newest loads of its service.

        Figures of heartbeats are some tenths of a second old, sums of zones some seconds. In a
        small fleet that is the time in which half the requests end, and a mean made of them lets
        a target carry half as much again as it may.
        """
        context = self._context
        target = context.fleet.targets.get(message.target)
        if target is None:
            return
        if isinstance(message, SlotRelease) and message.sent:
            self._count_end(view, target)
        if view.zone != context.identity.zone:
            sums = context.fleet.compute_sums(context.configuration).get(target.service_name)
            if sums is not None:
                entry = ServiceSum(
                    service_name=target.service_name, load=sums.load, targets=sums.targets
                )
                message.sums = [entry]
        elif self._count_peers() <= SMALL_ZONE:
            message.figures = self._owner.list_figures(target.service_name)

    def _count_end(self, owner: InstanceView, target: TargetView) -> None:
        """Count a slot as given back before its owner says so.

        The next request of the same caller may be granted before the owner's word has come, and
        the mean would count both.
        """
        fleet = self._context.fleet
        if owner.zone == self._context.identity.zone:
            if not self._owner.owns(target.id) and target.load > 0:
                target.load -= 1
                fleet.note_target(target, self._context.configuration)
            return
        zone = fleet.zone_sums.get(owner.zone)
        entry = None if zone is None else zone.sums.get(target.service_name)
        if entry is not None and entry.load > 0:
            entry.load -= 1

    def take_loads(self, sender: str, message: SlotMessage, now: float) -> None:
        """Take over the loads that a slot message carries."""
        fleet = self._context.fleet
        for figure in message.figures:
            target = fleet.targets.get(figure.target)
            if target is not None and target.updated >= 0 and not self._owner.owns(target.id):
                target.load = figure.load
                target.updated = now
                fleet.note_target(target, self._context.configuration)
        view = fleet.instances.get(sender)
        if view is None or view.zone == self._context.identity.zone:
            return
        for entry in message.sums:
            zone = fleet.zone_sums.setdefault(view.zone, ZoneSums(now, {}))
            zone.heard_at = now
            zone.sums[entry.service_name] = LoadSum(entry.load, entry.targets)

    def _count_peers(self) -> int:
        identity = self._context.identity
        instances = self._context.fleet.instances.values()
        return sum(view.zone == identity.zone for view in instances) - 1
