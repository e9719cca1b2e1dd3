"""The core of an instance: dispatches each event to its handlers and collects the actions.

It does no I/O and reads no clock. The same constructor arguments and the same events at the same
times produce the same actions; recording and replaying traces depends on this.
"""

from __future__ import annotations

from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Component, Context, CoreOptions, EventHandler, Identity
from rhubarbbend.core._stop import ShutdownCoordinator
from rhubarbbend.core._suspects import CrashSuspectTracker
from rhubarbbend.core.accepted._follower import ConfigurationFollower
from rhubarbbend.core.accepted._proposals import ProposalCoordinator
from rhubarbbend.core.accepted._snapshots import SnapshotWriter
from rhubarbbend.core.claims._claim_coordinator import ClaimCoordinator
from rhubarbbend.core.members._members import MembershipCoordinator
from rhubarbbend.core.messages import Message, SlotMessage
from rhubarbbend.core.owners._owner import OwnershipCoordinator
from rhubarbbend.core.requests._coordinator import RequestCoordinator


class Core:
    """All decision logic of one instance.

    Invariant: `handle` returns every action that its event causes.
    """

    def __init__(self, identity: Identity, options: CoreOptions, seed: int) -> None:
        self.context = Context(identity, options, seed)
        self.suspects = CrashSuspectTracker(self.context)
        self.claims = ClaimCoordinator(self.context)
        self.owner = OwnershipCoordinator(self.context)
        self.requests = RequestCoordinator(self.context, self.claims, self.suspects)
        self.members = MembershipCoordinator(self.context, self.owner, self.requests, self.suspects)
        self.snapshots = SnapshotWriter(self.context)
        self.follower = ConfigurationFollower(self.context, self.snapshots)
        self.members.set_version_listener(self.follower)
        self.proposals = ProposalCoordinator(self.context, self.follower)
        self.stop = ShutdownCoordinator(
            self.context, self.requests, self.owner, self.claims, self.members
        )
        self._events: dict[type[events.Event], list[EventHandler]] = {}
        self._messages: dict[type[Message], EventHandler] = {}
        # Handlers run in order of registration. The member component comes first, so that the
        # others decide on up-to-date views of the fleet.
        self._register(self.members)
        self._register(self.follower)
        self._register(self.snapshots)
        self._register(self.proposals)
        self._register(self.suspects)
        self._register(self.owner)
        self._register(self.claims)
        self._register(self.requests)
        self._register(self.stop)

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Handle an event at a local time and return the actions to carry out, in order.

        Timers run at `TimerDue` alone. After a stall of the process, they would otherwise run
        before the messages that waited, and take the stall for a silence of their senders.
        """
        context = self.context
        context.out = []
        if isinstance(event, events.TimerDue):
            self._run_timers(now)
        else:
            self._handle_event(event, now)
        return context.out

    def next_timer(self) -> float | None:
        """Return when `TimerDue` must be handled; None for never."""
        return self.context.next_timer()

    def _handle_event(self, event: events.Event, now: float) -> None:
        if isinstance(event, events.PeerSaid):
            self.members.record_message_from(event.sender)
            self._handle_message(event.sender, event.message, now)
        else:
            for handler in self._events.get(type(event), ()):
                handler(event, now)
        self._handle_local_messages(now)

    def _run_timers(self, now: float) -> None:
        callback = self.context.pop_due(now)
        while callback is not None:
            callback(now)
            self._handle_local_messages(now)
            callback = self.context.pop_due(now)

    def _handle_local_messages(self, now: float) -> None:
        own_id = self.context.identity.instance
        while self.context.local:
            self._handle_message(own_id, self.context.local.popleft(), now)

    def _handle_message(self, sender: str, message: Message, now: float) -> None:
        if isinstance(message, SlotMessage):
            self.members.load_exchange.record_loads(sender, message, now)
        handler = self._messages.get(type(message))
        if handler is not None:
            handler(sender, message, now)

    def _register(self, component: Component) -> None:
        for event_type, handler in component.get_event_handlers().items():
            self._events.setdefault(event_type, []).append(handler)
        for message_type, handler in component.get_message_handlers().items():
            if message_type in self._messages:
                raise ValueError(f"{message_type.__name__} has two handlers")
            self._messages[message_type] = handler
