"""The member duty: who else is there, told by the platform's list and by heartbeats.

The list lags and can be away for hours; heartbeats reach the own zone only. Within a zone the
heartbeat decides who is live, across zones the list does, corrected by messages that fail.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import KIND_INSTANCE, KIND_TARGET, InstanceView
from rhubarbbend.core._suspects import SuspectDuty
from rhubarbbend.core.members._load_sharing import LoadSharing
from rhubarbbend.core.members._member_list import MemberList
from rhubarbbend.core.members._polls import SharedPoll
from rhubarbbend.core.members._zone_links import ZoneLinks
from rhubarbbend.core.messages import (
    Heartbeat,
    Member,
    MembersQuery,
    MembersReply,
    Message,
    TargetLoad,
    ZoneQuery,
    ZoneReply,
)
from rhubarbbend.core.owners._owner import OwnerDuty

# Loads that have not been heard for this many intervals are forgotten.
STALE_INTERVALS: Final = 4
# How many instances are asked whom they know, each second until the first answer.
START_PEERS: Final = 2
# Loads go to a zone's peers this often, or later by so much for each peer: the cost of telling
# everyone grows with the square of their number, the worth of one more telling does not.
SHARE_INTERVAL: Final = 0.25
SHARE_INTERVAL_PER_PEER: Final = 0.05
# An instance that was lost is asked again after this, when its link is no longer held back.
LOST_RETRY: Final = 0.6


class OwnerListener(Protocol):
    """Told when targets may have a new owner."""

    def register_slots(self, now: float) -> None:
        """Tell the present owners which slots are held."""
        ...

    def set_silence_listener(self, on_silent: Callable[[str, float], None]) -> None:
        """Set what is told of an owner that gave no answer in time."""
        ...


class VersionListener(Protocol):
    """Told which version a peer has."""

    def follow(self, peer: str, version: int, now: float) -> None:
        """Ask the peer for what it has beyond the version in force."""
        ...


class MemberDuty:
    """Keeps the fleet's views. Invariant: this instance is always in its own view."""

    def __init__(
        self, context: Context, owner: OwnerDuty, entry: OwnerListener, suspects: SuspectDuty
    ) -> None:
        self._context = context
        self._owner = owner
        self._entry = entry
        self._members = MemberList(context)
        self._zones = ZoneLinks(context, self._members, suspects, self._follow_version)
        self.loads = LoadSharing(context, owner)
        self._versions: VersionListener | None = None
        self._list_read = False
        self._shared_at = -1.0
        self._list_poll = SharedPoll(context, context.options.list_interval)
        entry.set_silence_listener(self._pass_over)

    def set_version_listener(self, listener: VersionListener) -> None:
        """Set the follower duty, which is told of the versions of peers."""
        self._versions = listener

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the start, seeds, the platform's list, peers that fail and pauses."""
        return {
            events.Started: self._start,
            events.SeedNamed: self._handle_seed,
            events.ListRead: self._handle_list,
            events.PeerLost: self._handle_lost,
            events.ProcessPaused: self._handle_pause,
            events.VersionsAsked: self._zones.ask_versions,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle heartbeats, zone sums and questions about members."""
        return {
            Heartbeat: self._handle_heartbeat,
            ZoneQuery: self._zones.handle_query,
            ZoneReply: self._zones.handle_reply,
            MembersQuery: self._handle_members_query,
            MembersReply: self._handle_members_reply,
        }

    def announce(self, now: float, loads: list[TargetLoad] | None = None) -> None:
        """Send a heartbeat, with loads if given, to every other instance of the zone."""
        context = self._context
        identity = context.identity
        beat = Heartbeat(
            instance=identity.instance,
            zone=identity.zone,
            incarnation=identity.incarnation,
            leaving=context.stopping,
            config_version=context.configuration.version,
            loads=loads or [],
            host=identity.host,
            peer_port=identity.peer_port,
            leaving_targets=self._members.list_leaving_targets(),
        )
        # The last instance of a zone hands its targets over to another zone, which has to know.
        last = context.stopping and not context.fleet.list_live(identity.zone)
        for peer in self._list_others() if last else self._list_peers():
            context.send(peer, beat)

    def _list_others(self) -> list[str]:
        own = self._context.identity.instance
        return [peer for peer in self._context.fleet.instances if peer != own]

    def _list_peers(self) -> list[str]:
        identity = self._context.identity
        return [
            view.id
            for view in self._context.fleet.instances.values()
            if view.zone == identity.zone and view.id != identity.instance
        ]

    def _share_loads(self, now: float) -> None:
        """Tell the zone the loads of the owned targets.

        The mean that bounds a target is as old as the loads it is made of: an owner that hears
        late that others have emptied would let its own targets carry too much.
        """
        self._context.set_timer(now + SHARE_INTERVAL, self._share_loads)
        interval = SHARE_INTERVAL_PER_PEER * len(self._list_peers())
        if now - self._shared_at < interval - SHARE_INTERVAL / 2:
            return
        self._shared_at = now
        loads = self._owner.list_loads()
        if loads:
            self.announce(now, loads)

    def refresh(self, now: float) -> None:
        """Recompute who is live and act on changes of ownership."""
        if self._context.fleet.refresh_live(now):
            self._owner.refresh_ownership(now)
            self._entry.register_slots(now)

    def _start(self, event: events.Started, now: float) -> None:
        context = self._context
        identity = context.identity
        context.wall_offset = event.wall - now
        context.fleet.instances[identity.instance] = InstanceView(
            identity.instance,
            identity.zone,
            identity.host,
            identity.peer_port,
            incarnation=identity.incarnation,
            listed=True,
            first_seen=now,
        )
        context.repeat(context.options.list_interval, self._ask_list, now)
        context.repeat(context.options.heartbeat_interval, self._beat, now)
        self._share_loads(now)
        context.repeat(context.options.zone_interval, self._zones.ask_all, now)

    def _handle_seed(self, event: events.SeedNamed, now: float) -> None:
        member = Member(
            id=event.instance,
            kind=KIND_INSTANCE,
            zone=event.zone,
            host=event.host,
            peer_port=event.peer_port,
        )
        self._members.learn_instance(member, now)

    def _ask_list(self, now: float) -> None:
        context = self._context
        if self._list_poll.take_turn(now) or not self._list_read:
            context.emit(actions.ReadList())
        if context.members_known:
            return
        # The platform may be down: the peers named in the settings know the others.
        known = [peer for peer in context.fleet.instances if peer != context.identity.instance]
        for peer in context.random.sample(known, min(len(known), START_PEERS)):
            context.send(peer, MembersQuery(instance=context.identity.instance))

    def _beat(self, now: float) -> None:
        context = self._context
        self._note_silent(now)
        oldest = now - STALE_INTERVALS * context.options.zone_interval
        context.fleet.drop_stale(context.configuration, oldest)
        self.refresh(now)
        self._owner.refresh_ownership(now)
        self.announce(now)

    def _note_silent(self, now: float) -> None:
        silence = self._context.options.peer_silence
        for view in self._context.fleet.instances.values():
            if view.id == self._context.identity.instance or view.last_heard < 0:
                continue
            if now - view.last_heard > silence and view.zone == self._context.identity.zone:
                view.last_heard = -1.0
                view.first_seen = now - silence - 1.0
                self._context.count(codes.PEERS_LOST)
                self._context.log("peer_silent", peer=view.id)
                self._owner.free_holder(view.id, view.incarnation + 1, now)

    def _handle_list(self, event: events.ListRead, now: float) -> None:
        self._members.take_list(event.entries, now)
        context = self._context
        context.members_known = True
        if not self._list_read:
            self._list_read = True
            self._context.log("list_read", entries=str(len(event.entries)))
        self.refresh(now)
        self._owner.refresh_ownership(now)

    def _handle_heartbeat(self, sender: str, message: Heartbeat, now: float) -> None:
        fleet = self._context.fleet
        view = fleet.instances.get(message.instance)
        if view is None:
            view = InstanceView(message.instance, message.zone, message.host, message.peer_port)
            view.first_seen = now
            fleet.instances[message.instance] = view
            self._context.log("peer_met", peer=message.instance)
        was_live = fleet.is_live(view, now) and view.last_heard >= 0
        was_leaving = view.leaving
        restarted = 0 < view.incarnation < message.incarnation
        view.last_heard = now
        view.incarnation = message.incarnation
        view.said_leaving = message.leaving
        view.config_version = message.config_version
        view.version_heard = now
        if restarted:
            self._owner.free_holder(view.id, view.incarnation, now)
        for load in message.loads:
            self.loads.take_load(load, now)
        self._members.note_leaving_targets(message.leaving_targets)
        if not was_live or view.leaving != was_leaving:
            # Who is live is recomputed only if it may have changed: a zone sends many heartbeats.
            self.refresh(now)
        self._follow_version(message.instance, message.config_version, now)

    def _follow_version(self, peer: str, version: int, now: float) -> None:
        if self._versions is not None:
            self._versions.follow(peer, version, now)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        """Pass over the targets of an owner that cannot be reached.

        Whether it is gone is for its zone's instances to say by heartbeat; from here only failed
        messages tell, and it may be the path that failed. So its targets are passed over at once,
        but one of another zone is taken for gone, and its duties for another's, only after a
        longer silence.
        """
        self._pass_over(event.peer, now)

    def _pass_over(self, peer: str, now: float) -> None:
        """Pass over the targets of an instance until it is heard of again."""
        view = self._context.fleet.instances.get(peer)
        if view is None:
            return
        if view.lost_since < 0:
            view.lost_since = now
            if view.zone != self._context.identity.zone:
                self._context.set_timer(now + LOST_RETRY, lambda at: self._zones.ask(peer))
        self.refresh(now)

    def hear(self, sender: str) -> None:
        """Take an instance for reachable: a message of it has come."""
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.lost_since = -1.0

    def _handle_pause(self, event: events.ProcessPaused, now: float) -> None:
        """Do not take peers for silent because this process did not listen."""
        for view in self._context.fleet.instances.values():
            if view.last_heard >= 0:
                view.last_heard = now

    def _handle_members_query(self, sender: str, message: MembersQuery, now: float) -> None:
        self._context.send(sender, MembersReply(members=self._members.list_members()))

    def _handle_members_reply(self, sender: str, message: MembersReply, now: float) -> None:
        """Take over a peer's view; only used while this instance has read no list itself."""
        if self._list_read:
            return
        self._context.members_known = True
        for member in message.members:
            if member.kind == KIND_TARGET:
                entry = events.Listed(
                    member.id,
                    member.kind,
                    member.zone,
                    member.host,
                    member.port,
                    service_name=member.service_name,
                    state=member.state,
                )
                self._members.learn_target(entry)
            else:
                self._members.learn_instance(member, now)
        self.refresh(now)
        self._owner.refresh_ownership(now)
