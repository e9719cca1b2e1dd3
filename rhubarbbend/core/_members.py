"""The member duty: who else is there, told by the platform's list and by heartbeats.

The list lags and can be away for hours; heartbeats reach the own zone only. Within a zone the
heartbeat decides who is live, across zones the list does, corrected by messages that fail.
"""

from __future__ import annotations

from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import (
    KIND_INSTANCE,
    KIND_TARGET,
    STATE_LEAVING,
    InstanceView,
    LoadSum,
    TargetView,
    ZoneSums,
)
from rhubarbbend.core._owner import OwnerDuty
from rhubarbbend.core._polls import SharedPoll
from rhubarbbend.core._suspects import SuspectDuty
from rhubarbbend.core.messages import (
    Heartbeat,
    Member,
    MembersQuery,
    MembersReply,
    Message,
    ServiceSum,
    SlotMessage,
    SlotRelease,
    TargetLoad,
    ZoneQuery,
    ZoneReply,
)

# Loads that have not been heard for this many intervals are forgotten.
STALE_INTERVALS: Final = 4
# How many instances are asked whom they know, each second until the first answer.
START_PEERS: Final = 2
# Loads go to a zone's peers this often, or later by so much for each peer: the cost of telling
# everyone grows with the square of their number, the worth of one more telling does not.
SHARE_INTERVAL: Final = 0.25
SHARE_INTERVAL_PER_PEER: Final = 0.05
# In a larger zone each instance carries little of the load, so that stale figures average out.
SMALL_ZONE: Final = 16
# An instance that was lost is asked again after this, when its link is no longer held back.
LOST_RETRY: Final = 0.6


class OwnerListener(Protocol):
    """Told when targets may have a new owner."""

    def register_slots(self, now: float) -> None:
        """Tell the present owners which slots are held."""
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
        self._suspects = suspects
        self._versions: VersionListener | None = None
        self._list_read = False
        self._shared_at = -1.0
        context.add_loads = self._add_loads
        self._list_poll = SharedPoll(context, context.options.list_interval)
        self._unlisted_since: dict[str, float] = {}

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
            events.VersionsAsked: self._ask_versions,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle heartbeats, zone sums and questions about members."""
        return {
            Heartbeat: self._handle_heartbeat,
            ZoneQuery: self._handle_zone_query,
            ZoneReply: self._handle_zone_reply,
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
            leaving_targets=self._list_leaving_targets(),
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
        context.repeat(context.options.zone_interval, self._ask_zones, now)

    def _handle_seed(self, event: events.SeedNamed, now: float) -> None:
        member = Member(
            id=event.instance,
            kind=KIND_INSTANCE,
            zone=event.zone,
            host=event.host,
            peer_port=event.peer_port,
        )
        self._learn_instance(member, now)

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

    def _ask_zones(self, now: float) -> None:
        """Ask one instance of each other zone for its sums and its configuration version.

        One that could not be reached is asked beside a live one: only an answer shows that the
        way to it is open again.
        """
        context = self._context
        query = ZoneQuery(
            instance=context.identity.instance,
            config_version=context.configuration.version,
            leaving=context.stopping,
        )
        for zone, lost in self._list_lost().items():
            live = context.fleet.list_live(zone)
            reached = [peer for peer in live if peer not in lost]
            for peers in (reached, lost):
                if peers:
                    context.send(context.random.choice(peers), query)

    def _list_lost(self) -> dict[str, list[str]]:
        """List, for each other zone, the instances that could not be reached."""
        lost: dict[str, list[str]] = {}
        for view in self._context.fleet.instances.values():
            if view.zone != self._context.identity.zone:
                unreached = lost.setdefault(view.zone, [])
                if view.lost_since >= 0 and view.listed:
                    unreached.append(view.id)
        return lost

    def _handle_list(self, event: events.ListRead, now: float) -> None:
        """Take over the platform's list.

        Entries that are gone are kept for a while: a list read from a lagging copy may lack an
        instance that another copy still has, and forgetting it at once would move its targets.
        """
        seen: set[str] = set()
        for entry in event.entries:
            seen.add(entry.id)
            self._learn(entry, now)
        fleet = self._context.fleet
        for known in [*fleet.instances, *fleet.targets]:
            if known in seen:
                self._unlisted_since.pop(known, None)
            else:
                self._note_unlisted(known, now)
        context = self._context
        context.members_known = True
        if not self._list_read:
            self._list_read = True
            self._context.log("list_read", entries=str(len(event.entries)))
        self.refresh(now)
        self._owner.refresh_ownership(now)

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

    def _learn(self, entry: events.Listed, now: float) -> None:
        if entry.kind == KIND_TARGET:
            self._learn_target(entry)
        elif entry.kind == KIND_INSTANCE:
            member = Member(
                id=entry.id,
                kind=entry.kind,
                zone=entry.zone,
                host=entry.host,
                peer_port=entry.peer_port,
                state=entry.state,
            )
            self._learn_instance(member, now)

    def _learn_target(self, entry: events.Listed) -> None:
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

    def _learn_instance(self, member: Member, now: float) -> None:
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
            self._take_load(load, now)
        self._note_leaving_targets(message.leaving_targets)
        if not was_live or view.leaving != was_leaving:
            # Who is live is recomputed only if it may have changed: a zone sends many heartbeats.
            self.refresh(now)
        self._follow_version(message.instance, message.config_version, now)

    def _list_leaving_targets(self) -> list[str]:
        """List what the last read list says leaves.

        A peer's word is not passed on: instances that read the list at different times would tell
        one another for ever that a target leaves which has come back.
        """
        return [view.id for view in self._context.fleet.targets.values() if view.listed_leaving]

    def _note_leaving_targets(self, targets: list[str]) -> None:
        """Take a peer's word that targets leave.

        The list may have gone away between the peer's last read and this instance's, which may
        own the target and would grant its slots until the list is back.
        """
        for target in targets:
            view = self._context.fleet.targets.get(target)
            if view is not None:
                view.leaving = True

    def _take_load(self, load: TargetLoad, now: float) -> None:
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
        elif len(self._list_peers()) <= SMALL_ZONE:
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

    def _follow_version(self, peer: str, version: int, now: float) -> None:
        if self._versions is not None:
            self._versions.follow(peer, version, now)

    def _handle_zone_query(self, sender: str, message: ZoneQuery, now: float) -> None:
        context = self._context
        sums = [
            ServiceSum(service_name=name, load=entry.load, targets=entry.targets)
            for name, entry in context.fleet.compute_sums(context.configuration).items()
        ]
        reply = ZoneReply(
            instance=context.identity.instance,
            zone=context.identity.zone,
            config_version=context.configuration.version,
            sums=sums,
            crashes=self._suspects.list_crashes(now),
            leaving=context.stopping,
            leaving_targets=self._list_leaving_targets(),
        )
        context.send(sender, reply)
        view = context.fleet.instances.get(sender)
        if view is not None:
            view.said_leaving = message.leaving
        self._follow_version(sender, message.config_version, now)

    def _handle_zone_reply(self, sender: str, message: ZoneReply, now: float) -> None:
        sums = {entry.service_name: LoadSum(entry.load, entry.targets) for entry in message.sums}
        self._context.fleet.zone_sums[message.zone] = ZoneSums(now, sums)
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.config_version = message.config_version
            view.version_heard = now
            view.lost_since = -1.0
            view.said_leaving = message.leaving
        self._note_leaving_targets(message.leaving_targets)
        self._suspects.merge(message.crashes, now)
        self._follow_version(sender, message.config_version, now)

    def _ask_versions(self, event: events.VersionsAsked, now: float) -> None:
        """Ask every instance for its version; heartbeats do not tell those of other zones."""
        context = self._context
        query = ZoneQuery(
            instance=context.identity.instance,
            config_version=context.configuration.version,
            leaving=context.stopping,
        )
        for view in context.fleet.instances.values():
            if view.id != context.identity.instance:
                context.send(view.id, query)

    def _handle_lost(self, event: events.PeerLost, now: float) -> None:
        """Pass over the targets of an owner that cannot be reached.

        Whether it is gone is for its zone's instances to say by heartbeat; from here only failed
        messages tell, and it may be the path that failed. So its targets are passed over at once,
        but one of another zone is taken for gone, and its duties for another's, only after a
        longer silence.
        """
        view = self._context.fleet.instances.get(event.peer)
        if view is None:
            return
        if view.lost_since < 0:
            view.lost_since = now
            if view.zone != self._context.identity.zone:
                self._context.set_timer(now + LOST_RETRY, lambda at: self._ask_zone(event.peer))
        self.refresh(now)

    def hear(self, sender: str) -> None:
        """Take an instance for reachable: a message of it has come."""
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.lost_since = -1.0

    def _ask_zone(self, peer: str) -> None:
        identity = self._context.identity
        version = self._context.configuration.version
        self._context.send(peer, ZoneQuery(instance=identity.instance, config_version=version))

    def _handle_pause(self, event: events.ProcessPaused, now: float) -> None:
        """Do not take peers for silent because this process did not listen."""
        for view in self._context.fleet.instances.values():
            if view.last_heard >= 0:
                view.last_heard = now

    def _handle_members_query(self, sender: str, message: MembersQuery, now: float) -> None:
        self._context.send(sender, MembersReply(members=self._list_members()))

    def _list_members(self) -> list[Member]:
        fleet = self._context.fleet
        members = [
            Member(
                id=view.id,
                kind=KIND_INSTANCE,
                zone=view.zone,
                host=view.host,
                peer_port=view.peer_port,
                state=STATE_LEAVING if view.leaving else "live",
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
                state=STATE_LEAVING if target.leaving else "live",
            )
            for target in fleet.targets.values()
        )
        return members

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
                self._learn_target(entry)
            else:
                self._learn_instance(member, now)
        self.refresh(now)
        self._owner.refresh_ownership(now)
