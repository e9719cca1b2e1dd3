"""Tracks which instances and targets exist, from the platform's member list and from heartbeats.

The list lags and can be unavailable for hours; heartbeats stay within their zone. So heartbeats
decide which instances of the same zone are live. For other zones the list decides, except that an
instance to which messages fail is marked unreachable.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from rhubarbbend import codes
from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._fleet import KIND_INSTANCE, KIND_TARGET, InstanceView
from rhubarbbend.core._suspects import CrashSuspectTracker
from rhubarbbend.core.members._load_exchange import LoadExchange
from rhubarbbend.core.members._member_list import MemberList
from rhubarbbend.core.members._poll_scheduler import ZonePollScheduler
from rhubarbbend.core.members._zone_exchange import ZoneExchange
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
from rhubarbbend.core.owners._owner import OwnershipCoordinator

# Loads of targets and of other zones expire when no new figure has arrived for this many zone
# intervals.
MAX_LOAD_AGE_INTERVALS: Final = 4
# Number of instances queried for the members that they know, once in each list interval until the
# first reply.
STARTUP_PEERS: Final = 2
# Loads are broadcast to the zone's peers at the first interval, or at the second one times the
# number of peers if that is longer: the cost of broadcasts grows with the square of the number of
# instances, while the benefit of more frequent ones does not.
LOAD_BROADCAST_INTERVAL_S: Final = 0.25
LOAD_BROADCAST_INTERVAL_PER_PEER_S: Final = 0.05
# An instance that became unreachable is queried again after this time, when the reconnect backoff
# of its connection has ended.
UNREACHABLE_PEER_RETRY_S: Final = 0.6


class OwnerListener(Protocol):
    """Notified when targets may have a new owner."""

    def renew_slots(self, now: float) -> None:
        """Send the current owners the slots that this instance holds."""
        ...

    def set_owner_timeout_callback(self, on_owner_timeout: Callable[[str, float], None]) -> None:
        """Set the callback for an owner that did not reply in time; it gets the owner and time."""
        ...


class VersionListener(Protocol):
    """Notified of the configuration versions of peers."""

    def handle_peer_version(self, peer: str, version: int, now: float) -> None:
        """Query the peer for changes if its version is newer than this instance's."""
        ...


class MembershipCoordinator:
    """Maintains the views of instances and targets.

    Invariant: once started, this instance is always in its own view.
    """

    def __init__(
        self,
        context: Context,
        owner: OwnershipCoordinator,
        owner_listener: OwnerListener,
        suspects: CrashSuspectTracker,
    ) -> None:
        self._context = context
        self._owner = owner
        self._owner_listener = owner_listener
        self._member_list = MemberList(context)
        self._zone_exchange = ZoneExchange(
            context, self._member_list, suspects, self._notify_version
        )
        self.load_exchange = LoadExchange(context, owner)
        self._version_listener: VersionListener | None = None
        self._list_read = False
        self._loads_sent_at = -1.0
        self._list_poll_scheduler = ZonePollScheduler(context, context.options.list_interval)
        owner_listener.set_owner_timeout_callback(self._mark_unreachable)

    def set_version_listener(self, listener: VersionListener) -> None:
        """Set the listener that is notified of the configuration versions of peers."""
        self._version_listener = listener

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return handlers of the start, seeds, member lists, lost peers, pauses and queries."""
        return {
            events.Started: self._start,
            events.SeedNamed: self._handle_seed,
            events.ListRead: self._handle_list,
            events.PeerLost: self._handle_peer_lost,
            events.ProcessPaused: self._handle_pause,
            events.VersionsAsked: self._zone_exchange.query_versions,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return handlers of heartbeats, zone queries and member queries, and their replies."""
        return {
            Heartbeat: self._handle_heartbeat,
            ZoneQuery: self._zone_exchange.handle_query,
            ZoneReply: self._zone_exchange.handle_reply,
            MembersQuery: self._handle_members_query,
            MembersReply: self._handle_members_reply,
        }

    def broadcast_heartbeat(self, now: float, loads: list[TargetLoad] | None = None) -> None:
        """Send a heartbeat, with loads if given, to every other instance of the zone.

        The last live instance of a zone that stops sends it to every instance of the fleet.
        """
        context = self._context
        identity = context.identity
        heartbeat = Heartbeat(
            instance=identity.instance,
            zone=identity.zone,
            incarnation=identity.incarnation,
            leaving=context.stopping,
            config_version=context.configuration.version,
            loads=loads or [],
            host=identity.host,
            peer_port=identity.peer_port,
            leaving_targets=self._member_list.list_leaving_targets(),
        )
        # The last instance of a zone hands its targets over to another zone, so instances of other
        # zones have to know that it is leaving.
        is_last = context.stopping and not context.fleet.list_live(identity.zone)
        for peer in self._list_other_instances() if is_last else self._list_zone_peers():
            context.send(peer, heartbeat)

    def _list_other_instances(self) -> list[str]:
        own = self._context.identity.instance
        return [peer for peer in self._context.fleet.instances if peer != own]

    def _list_zone_peers(self) -> list[str]:
        identity = self._context.identity
        return [
            view.id
            for view in self._context.fleet.instances.values()
            if view.zone == identity.zone and view.id != identity.instance
        ]

    def _broadcast_loads(self, now: float) -> None:
        """Broadcast the loads of the owned targets to the zone.

        The mean that limits the load of a target is as old as the loads that it is computed from.
        An owner that learns late that other targets have become idle would overload its own.
        """
        self._context.set_timer(now + LOAD_BROADCAST_INTERVAL_S, self._broadcast_loads)
        interval = LOAD_BROADCAST_INTERVAL_PER_PEER_S * len(self._list_zone_peers())
        if now - self._loads_sent_at < interval - LOAD_BROADCAST_INTERVAL_S / 2:
            return
        self._loads_sent_at = now
        loads = self._owner.list_loads()
        if loads:
            self.broadcast_heartbeat(now, loads)

    def refresh_liveness(self, now: float) -> None:
        """Recompute which instances are live; if that changed, update the owners of targets."""
        if self._context.fleet.refresh_live(now):
            self._owner.refresh_ownership(now)
            self._owner_listener.renew_slots(now)

    def _start(self, event: events.Started, now: float) -> None:
        context = self._context
        identity = context.identity
        context.unix_time_offset_s = event.wall - now
        context.fleet.instances[identity.instance] = InstanceView(
            identity.instance,
            identity.zone,
            identity.host,
            identity.peer_port,
            incarnation=identity.incarnation,
            listed=True,
            first_seen=now,
        )
        context.repeat(context.options.list_interval, self._poll_list, now)
        context.repeat(context.options.heartbeat_interval, self._run_heartbeat, now)
        self._broadcast_loads(now)
        context.repeat(context.options.zone_interval, self._zone_exchange.query_zones, now)

    def _handle_seed(self, event: events.SeedNamed, now: float) -> None:
        member = Member(
            id=event.instance,
            kind=KIND_INSTANCE,
            zone=event.zone,
            host=event.host,
            peer_port=event.peer_port,
        )
        self._member_list.record_instance(member, now)

    def _poll_list(self, now: float) -> None:
        context = self._context
        if self._list_poll_scheduler.acquire_turn(now) or not self._list_read:
            context.emit(actions.ReadList())
        if context.are_members_known:
            return
        # The platform may be unavailable; the seed peers named in the settings know the others.
        known = [peer for peer in context.fleet.instances if peer != context.identity.instance]
        for peer in context.random.sample(known, min(len(known), STARTUP_PEERS)):
            context.send(peer, MembersQuery(instance=context.identity.instance))

    def _run_heartbeat(self, now: float) -> None:
        context = self._context
        self._expire_silent_peers(now)
        oldest = now - MAX_LOAD_AGE_INTERVALS * context.options.zone_interval
        context.fleet.expire_loads(context.configuration, oldest)
        self.refresh_liveness(now)
        self._owner.refresh_ownership(now)
        self.broadcast_heartbeat(now)

    def _expire_silent_peers(self, now: float) -> None:
        silence = self._context.options.peer_silence
        for view in self._context.fleet.instances.values():
            if view.id == self._context.identity.instance or view.last_message_at < 0:
                continue
            if now - view.last_message_at > silence and view.zone == self._context.identity.zone:
                view.last_message_at = -1.0
                view.first_seen = now - silence - 1.0
                self._context.count(codes.PEERS_LOST)
                self._context.log("peer_silent", peer=view.id)
                self._owner.expire_holder_slots(view.id, view.incarnation + 1, now)

    def _handle_list(self, event: events.ListRead, now: float) -> None:
        self._member_list.handle_list(event.entries, now)
        context = self._context
        context.are_members_known = True
        if not self._list_read:
            self._list_read = True
            self._context.log("list_read", entries=str(len(event.entries)))
        self.refresh_liveness(now)
        self._owner.refresh_ownership(now)

    def _handle_heartbeat(self, sender: str, message: Heartbeat, now: float) -> None:
        fleet = self._context.fleet
        view = fleet.instances.get(message.instance)
        if view is None:
            view = InstanceView(message.instance, message.zone, message.host, message.peer_port)
            view.first_seen = now
            fleet.instances[message.instance] = view
            self._context.log("peer_met", peer=message.instance)
        was_live = fleet.is_live(view, now) and view.last_message_at >= 0
        was_leaving = view.leaving
        restarted = 0 < view.incarnation < message.incarnation
        view.last_message_at = now
        view.incarnation = message.incarnation
        view.reported_leaving = message.leaving
        view.config_version = message.config_version
        view.version_received_at = now
        if restarted:
            self._owner.expire_holder_slots(view.id, view.incarnation, now)
        for load in message.loads:
            self.load_exchange.record_target_load(load, now)
        self._member_list.mark_targets_leaving(message.leaving_targets)
        if not was_live or view.leaving != was_leaving:
            # Recompute liveness only if it may have changed: a zone sends many heartbeats.
            self.refresh_liveness(now)
        self._notify_version(message.instance, message.config_version, now)

    def _notify_version(self, peer: str, version: int, now: float) -> None:
        if self._version_listener is not None:
            self._version_listener.handle_peer_version(peer, version, now)

    def _handle_peer_lost(self, event: events.PeerLost, now: float) -> None:
        """Mark an instance unreachable, so that its targets are skipped.

        Instances of its own zone detect by heartbeats whether it has failed. An instance of
        another zone sees only that messages fail, and the cause may be the network path. So the
        targets are skipped at once, but an instance of another zone is regarded as failed, and
        its targets get another owner, only after a longer silence.
        """
        self._mark_unreachable(event.peer, now)

    def _mark_unreachable(self, peer: str, now: float) -> None:
        """Mark an instance unreachable until a message of it arrives; its targets are skipped."""
        view = self._context.fleet.instances.get(peer)
        if view is None:
            return
        if view.unreachable_since < 0:
            view.unreachable_since = now
            if view.zone != self._context.identity.zone:
                self._context.set_timer(
                    now + UNREACHABLE_PEER_RETRY_S,
                    lambda at: self._zone_exchange.query_instance(peer),
                )
        self.refresh_liveness(now)

    def record_message_from(self, sender: str) -> None:
        """Mark an instance reachable, because a message of it has arrived."""
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.unreachable_since = -1.0

    def _handle_pause(self, event: events.ProcessPaused, now: float) -> None:
        """Restart the silence timeout of peers: a paused process receives no heartbeats."""
        for view in self._context.fleet.instances.values():
            if view.last_message_at >= 0:
                view.last_message_at = now

    def _handle_members_query(self, sender: str, message: MembersQuery, now: float) -> None:
        self._context.send(sender, MembersReply(members=self._member_list.list_members()))

    def _handle_members_reply(self, sender: str, message: MembersReply, now: float) -> None:
        """Record a peer's members; ignored once this instance has read the list itself."""
        if self._list_read:
            return
        self._context.are_members_known = True
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
                self._member_list.record_target(entry)
            else:
                self._member_list.record_instance(member, now)
        self.refresh_liveness(now)
        self._owner.refresh_ownership(now)
