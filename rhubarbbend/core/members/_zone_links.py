"""What zones tell one another: sums of load, versions, crashes, who leaves.

Heartbeats do not cross zones, because their cost grows with the square of the instances; each
instance asks one instance of every other zone instead.
"""

from __future__ import annotations

from collections.abc import Callable

from rhubarbbend.core import events
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import LoadSum, ZoneSums
from rhubarbbend.core._suspects import SuspectDuty
from rhubarbbend.core.members._member_list import MemberList
from rhubarbbend.core.messages import ServiceSum, ZoneQuery, ZoneReply

Follow = Callable[[str, int, float], None]


class ZoneLinks:
    """Asks other zones and answers them; `follow` is told of every version heard."""

    def __init__(
        self, context: Context, members: MemberList, suspects: SuspectDuty, follow: Follow
    ) -> None:
        self._context = context
        self._members = members
        self._suspects = suspects
        self._follow = follow

    def ask_all(self, now: float) -> None:
        """Ask one instance of each other zone for its sums and its configuration version.

        One that could not be reached is asked beside a live one: only an answer shows that the
        way to it is open again.
        """
        context = self._context
        query = self._make_query()
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

    def handle_query(self, sender: str, message: ZoneQuery, now: float) -> None:
        """Answer an instance of another zone."""
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
            leaving_targets=self._members.list_leaving_targets(),
        )
        context.send(sender, reply)
        view = context.fleet.instances.get(sender)
        if view is not None:
            view.said_leaving = message.leaving
        self._follow(sender, message.config_version, now)

    def handle_reply(self, sender: str, message: ZoneReply, now: float) -> None:
        """Take over what another zone says of itself."""
        sums = {entry.service_name: LoadSum(entry.load, entry.targets) for entry in message.sums}
        self._context.fleet.zone_sums[message.zone] = ZoneSums(now, sums)
        view = self._context.fleet.instances.get(sender)
        if view is not None:
            view.config_version = message.config_version
            view.version_heard = now
            view.lost_since = -1.0
            view.said_leaving = message.leaving
        self._members.note_leaving_targets(message.leaving_targets)
        self._suspects.merge(message.crashes, now)
        self._follow(sender, message.config_version, now)

    def ask_versions(self, event: events.VersionsAsked, now: float) -> None:
        """Ask every instance for its version; heartbeats do not tell those of other zones."""
        context = self._context
        query = self._make_query()
        for view in context.fleet.instances.values():
            if view.id != context.identity.instance:
                context.send(view.id, query)

    def ask(self, peer: str) -> None:
        """Ask one instance, to learn whether it can be reached again."""
        self._context.send(peer, self._make_query())

    def _make_query(self) -> ZoneQuery:
        context = self._context
        return ZoneQuery(
            instance=context.identity.instance,
            config_version=context.configuration.version,
            leaving=context.stopping,
        )
