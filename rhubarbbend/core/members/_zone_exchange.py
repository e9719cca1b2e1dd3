"""Exchange between zones of load sums, versions, crash counts and leaving instances and targets.

Heartbeats do not cross zones, because their cost grows with the square of the number of instances.
Instead, each instance regularly queries one instance of every other zone.
"""

from __future__ import annotations

from collections.abc import Callable

from rhubarbbend.core import events
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import LoadSum, ZoneSums
from rhubarbbend.core._suspects import CrashSuspectTracker
from rhubarbbend.core.members._member_list import MemberList
from rhubarbbend.core.messages import ServiceSum, ZoneQuery, ZoneReply

VersionCallback = Callable[[str, int, float], None]


class ZoneExchange:
    """Queries other zones and answers their queries.

    `on_version` is called with the peer, its configuration version and the time, for each message.
    """

    def __init__(
        self,
        context: Context,
        member_list: MemberList,
        suspects: CrashSuspectTracker,
        on_version: VersionCallback,
    ) -> None:
        self._context = context
        self._member_list = member_list
        self._suspects = suspects
        self._on_version = on_version

    def query_zones(self, now: float) -> None:
        """Query one live instance of each other zone for its load sums and configuration version.

        One instance that is marked unreachable is queried as well: only a reply shows that the
        network path to it works again.
        """
        context = self._context
        query = self._make_query()
        for zone, unreachable in self._list_unreachable().items():
            live = context.fleet.list_live(zone)
            reachable = [peer for peer in live if peer not in unreachable]
            for peers in (reachable, unreachable):
                if peers:
                    context.send(context.random.choice(peers), query)

    def _list_unreachable(self) -> dict[str, list[str]]:
        """Return the listed instances marked unreachable, by zone, for each other zone."""
        unreachable: dict[str, list[str]] = {}
        for view in self._context.fleet.instances.values():
            if view.zone != self._context.identity.zone:
                zone_unreachable = unreachable.setdefault(view.zone, [])
                if view.unreachable_since >= 0 and view.listed:
                    zone_unreachable.append(view.id)
        return unreachable

    def handle_query(self, sender: str, message: ZoneQuery, now: float) -> None:
        """Answer the query of an instance of another zone and record what it reports."""
        context = self._context
        sums = [
            ServiceSum(service_name=name, load=entry.load, targets=entry.targets)
            for name, entry in context.fleet.compute_own_zone_sums(context.configuration).items()
        ]
        reply = ZoneReply(
            instance=context.identity.instance,
            zone=context.identity.zone,
            config_version=context.configuration.version,
            sums=sums,
            crashes=self._suspects.list_crash_counts(now),
            leaving=context.stopping,
            leaving_targets=self._member_list.list_leaving_targets(),
        )
        context.send(sender, reply)
        view = context.fleet.instances.get(sender)
        if view is not None:
            view.reported_leaving = message.leaving
        self._on_version(sender, message.config_version, now)

    def handle_reply(self, sender: str, message: ZoneReply, now: float) -> None:
        """Record what another zone reports of itself."""
        sums = {entry.service_name: LoadSum(entry.load, entry.targets) for entry in message.sums}
        self._context.fleet.zone_sums[message.zone] = ZoneSums(now, sums)
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.config_version = message.config_version
            view.version_received_at = now
            view.unreachable_since = -1.0
            view.reported_leaving = message.leaving
        self._member_list.mark_targets_leaving(message.leaving_targets)
        self._suspects.merge_crash_counts(message.crashes, now)
        self._on_version(sender, message.config_version, now)

    def query_versions(self, event: events.VersionsAsked, now: float) -> None:
        """Query every instance for its version, as heartbeats come from this zone only."""
        context = self._context
        query = self._make_query()
        for view in context.fleet.instances.values():
            if view.id != context.identity.instance:
                context.send(view.id, query)

    def query_instance(self, peer: str) -> None:
        """Query one instance to find out whether it is reachable again."""
        self._context.send(peer, self._make_query())

    def _make_query(self) -> ZoneQuery:
        context = self._context
        return ZoneQuery(
            instance=context.identity.instance,
            config_version=context.configuration.version,
            leaving=context.stopping,
        )
