"""What the platform's list and peers' views tell of instances and targets.

The list lags: an entry that is missing from one read may be in the next, so what is gone is kept
for a while.
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
    """Enters listed instances and targets into the fleet's views and forgets those that left."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._unlisted_since: dict[str, float] = {}

    def take_list(self, entries: list[events.Listed], now: float) -> None:
        """Take over the platform's list.

        Entries that are gone are kept for a while: a list read from a lagging copy may lack an
        instance that another copy still has, and forgetting it at once would move its targets.
        """
        seen: set[str] = set()
        for entry in entries:
            seen.add(entry.id)
            self.learn(entry, now)
        fleet = self._context.fleet
        for known in [*fleet.instances, *fleet.targets]:
            if known in seen:
                self._unlisted_since.pop(known, None)
            else:
                self._note_unlisted(known, now)

    def learn(self, entry: events.Listed, now: float) -> None:
        """Enter one entry of the list."""
        if entry.kind == KIND_TARGET:
            self.learn_target(entry)
        elif entry.kind == KIND_INSTANCE:
            member = Member(
                id=entry.id,
                kind=entry.kind,
                zone=entry.zone,
                host=entry.host,
                peer_port=entry.peer_port,
                state=entry.state,
            )
            self.learn_instance(member, now)

    def learn_target(self, entry: events.Listed) -> None:
        """Enter a target."""
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
        fleet.note_target(view, self._context.configuration)

    def learn_instance(self, member: Member, now: float) -> None:
        """Enter an instance."""
        fleet = self._context.fleet
        leaving = member.state == STATE_LEAVING
        if member.id == self._context.identity.instance:
            # Told by the list first, it gives up its targets as its peers take them over.
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
        """List what the last read list says leaves.

        A peer's word is not passed on: instances that read the list at different times would tell
        one another for ever that a target leaves which has come back.
        """
        return [view.id for view in self._context.fleet.targets.values() if view.listed_leaving]

    def note_leaving_targets(self, targets: list[str]) -> None:
        """Take a peer's word that targets leave.

        The list may have gone away between the peer's last read and this instance's, which may
        own the target and would grant its slots until the list is back.
        """
        for target in targets:
            view = self._context.fleet.targets.get(target)
            if view is not None:
                view.leaving = True

    def list_members(self) -> list[Member]:
        """List every instance and target known, for a peer that asks."""
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

    def _note_unlisted(self, known: str, now: float) -> None:
        since = self._unlisted_since.setdefault(known, now)
        if now - since < self._context.options.list_grace:
            return
        fleet = self._context.fleet
        if known in fleet.targets:
            fleet.remove_target(known)
            self._unlisted_since.pop(known, None)
            self._context.log("target_gone", target=known)
        view = fleet.instances.get(known)
        if view is None or known == self._context.identity.instance:
            return
        view.listed = False
        if now - view.last_heard > self._context.options.peer_silence:
            del fleet.instances[known]
            self._unlisted_since.pop(known, None)
            self._context.log("peer_gone", peer=known)
