"""Records instances and targets from the platform's member list and from peers.

The list is eventually consistent: an entry that is missing from one read may be in the next. So an
entry is removed only after it has been missing for the time `list_grace`.
"""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import (
    KIND_INSTANCE,
    KIND_TARGET,
    STATE_LEAVING,
    InstanceView,
    TargetView,
)
from rhubarbbend.core.messages import Member

STATE_LIVE = "live"


class MemberList:
    """Adds listed instances and targets to the fleet's views and removes those that left."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._unlisted_since: dict[str, float] = {}

    def handle_list(self, entries: list[events.Listed], now: float) -> None:
        """Record all entries of a list read from the platform and expire missing members.

        Missing members are kept for a while: a list read from a lagging replica may lack an
        instance that another replica has, and removing the instance at once would move its
        targets to other owners.
        """
        listed_ids: set[str] = set()
        for entry in entries:
            listed_ids.add(entry.id)
            self.record_entry(entry, now)
        fleet = self._context.fleet
        for member_id in [*fleet.instances, *fleet.targets]:
            if member_id in listed_ids:
                self._unlisted_since.pop(member_id, None)
            else:
                self._expire_unlisted(member_id, now)

    def record_entry(self, entry: events.Listed, now: float) -> None:
        """Record one entry of the platform's list."""
        if entry.kind == KIND_TARGET:
            self.record_target(entry)
        elif entry.kind == KIND_INSTANCE:
            member = Member(
                id=entry.id,
                kind=entry.kind,
                zone=entry.zone,
                host=entry.host,
                peer_port=entry.peer_port,
                state=entry.state,
            )
            self.record_instance(member, now)

    def record_target(self, entry: events.Listed) -> None:
        """Add or update the view of a target; replace the view if its service changed."""
        fleet = self._context.fleet
        view = fleet.targets.get(entry.id)
        if view is not None and view.service_name != entry.service_name:
            fleet.remove_target(entry.id)
            view = None
        if view is None:
            view = TargetView(entry.id, entry.service_name, entry.zone, entry.host, entry.port)
            fleet.add_target(view)
        view.host = entry.host
        view.port = entry.port
        view.listed_leaving = view.leaving = entry.state == STATE_LEAVING
        fleet.update_load_sums(view, self._context.configuration)

    def record_instance(self, member: Member, now: float) -> None:
        """Add or update the view of an instance."""
        fleet = self._context.fleet
        leaving = member.state == STATE_LEAVING
        if member.id == self._context.identity.instance:
            # An instance that learns from the list that it is leaving gives up its targets, as its
            # peers become their owners.
            own = fleet.instances.get(member.id)
            if own is not None:
                own.listed_leaving = leaving
            return
        view = fleet.instances.get(member.id)
        if view is None:
            view = InstanceView(member.id, member.zone, member.host, member.peer_port)
            view.first_seen = now
            fleet.instances[member.id] = view
        view.host = member.host
        view.peer_port = member.peer_port
        view.listed = True
        view.listed_leaving = leaving

    def list_leaving_targets(self) -> list[str]:
        """Return the ids of the targets that are leaving according to the list as last read here.

        Targets that only a peer reported as leaving are left out. Otherwise instances that read
        the list at different times would keep reporting to one another that a target is leaving
        although it has come back.
        """
        return [view.id for view in self._context.fleet.targets.values() if view.listed_leaving]

    def mark_targets_leaving(self, targets: list[str]) -> None:
        """Mark targets as leaving that a peer reports as leaving.

        The list may have become unavailable after the peer read it and before this instance did.
        If this instance owns the target, it would grant slots of it until the list is back.
        """
        for target in targets:
            view = self._context.fleet.targets.get(target)
            if view is not None:
                view.leaving = True

    def list_members(self) -> list[Member]:
        """Return every known instance and target, for the reply to a peer's query."""
        fleet = self._context.fleet
        members = [
            Member(
                id=view.id,
                kind=KIND_INSTANCE,
                zone=view.zone,
                host=view.host,
                peer_port=view.peer_port,
                state=STATE_LEAVING if view.leaving else STATE_LIVE,
            )
            for view in fleet.instances.values()
        ]
        members.extend(
            Member(
                id=target.id,
                kind=KIND_TARGET,
                zone=target.zone,
                host=target.host,
                port=target.port,
                service_name=target.service_name,
                state=STATE_LEAVING if target.leaving else STATE_LIVE,
            )
            for target in fleet.targets.values()
        )
        return members

    def _expire_unlisted(self, member_id: str, now: float) -> None:
        unlisted_since = self._unlisted_since.setdefault(member_id, now)
        if now - unlisted_since < self._context.options.list_grace:
            return
        fleet = self._context.fleet
        if member_id in fleet.targets:
            fleet.remove_target(member_id)
            self._unlisted_since.pop(member_id, None)
            self._context.log("target_gone", target=member_id)
        view = fleet.instances.get(member_id)
        if view is None or member_id == self._context.identity.instance:
            return
        view.listed = False
        if now - view.last_message_at > self._context.options.peer_silence:
            del fleet.instances[member_id]
            self._unlisted_since.pop(member_id, None)
            self._context.log("peer_gone", peer=member_id)
