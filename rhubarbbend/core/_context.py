"""What the duties share: identity, options, views, timers, and the actions of the present event."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs
import msgspec

from rhubarbbend.core import actions, events
from rhubarbbend.core._fleet import Fleet, InstanceView, TargetView
from rhubarbbend.core.configuration import Configuration
from rhubarbbend.core.messages import Message, SlotMessage

Callback = Callable[[float], None]


class Identity(msgspec.Struct, frozen=True):
    """Who this instance is. `incarnation` differs at each start; `secret` signs hints and keys."""

    instance: str
    zone: str
    host: str
    port: int
    peer_port: int
    incarnation: int
    secret: bytes = b""


@attrs.define(slots=True, frozen=True)
class CoreOptions:
    """Every interval, limit and time-out of the core; times in seconds."""

    heartbeat_interval: float = 1.0
    # A zone peer that has not been heard for this long owns nothing any more.
    peer_silence: float = 3.0
    zone_interval: float = 2.0
    list_interval: float = 1.0
    # How many instances of a zone read the list and the changes in each of their intervals.
    zone_readers: int = 4
    # A target that has left the list for this long is forgotten.
    list_grace: float = 5.0
    report_interval: float = 0.5
    report_max_age: float = 3.0
    # How long an owner may take to answer beyond the wait that it was allowed.
    slot_timeout: float = 0.5
    renewal_interval: float = 5.0
    slot_lease: float = 16.0
    max_moves: int = 6
    retry_share: float = 0.1
    retry_reserve: float = 10.0
    max_attempts: int = 3
    max_resumes: int = 3
    # A run that has given no byte for this long is asked for over a new connection.
    silence_limit: float = 2.0
    max_silent_checks: int = 4
    probe_timeout: float = 1.0
    down_hold: float = 2.0
    claim_timeout: float = 1.0
    claim_query_timeout: float = 1.0
    claim_batch: int = 64
    record_lifetime: float = 900.0
    reserved_lifetime: float = 900.0
    max_records: int = 50_000
    max_kept_body: int = 65_536
    suspect_limit: int = 2
    suspect_hold: float = 600.0
    config_interval: float = 1.0
    # How often an operator's write is repeated while its answer is lost.
    config_write_timeout: float = 5.0
    snapshot_every: int = 200
    balancer_lag: float = 2.0
    # No limit of its own unless the operator sets one.
    stop_limit: float = 0.0


class Context:
    """Shared state of the duties. Invariant: `out` holds the actions of one event only."""

    def __init__(self, identity: Identity, options: CoreOptions, seed: int) -> None:
        self.identity = identity
        self.options = options
        self.random = Random(seed)
        self.configuration = Configuration()
        self.fleet = Fleet(identity.instance, identity.zone, options.peer_silence)
        self.out: list[actions.Action] = []
        self.local: deque[Message] = deque()
        self.wall_offset = 0.0
        self.stopping = False
        self.config_ready = False
        # Whether the targets have been learned, from the list or from a peer.
        self.members_known = False
        # Local time of the last platform failure and success, for the claim duty's breaker.
        self.platform_failed = -1.0
        self.platform_worked = 0.0
        # Set by the member duty; adds the newest loads to slot messages.
        self.add_loads: Callable[[InstanceView, SlotMessage], None] = lambda view, message: None
        self._timers: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    def emit(self, action: actions.Action) -> None:
        """Ask the shell for an action."""
        self.out.append(action)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.out.append(actions.Count(name, by))

    def log(self, what: str, **details: str) -> None:
        """Log a change of state."""
        self.out.append(actions.LogState(what, details))

    def send(self, peer: str, message: Message) -> None:
        """Send a message to an instance; one to this instance is handled in the same step."""
        if peer == self.identity.instance:
            self.local.append(message)
            return
        view = self.fleet.instances.get(peer)
        if view is not None:
            if isinstance(message, SlotMessage):
                self.add_loads(view, message)
            self.out.append(actions.SendPeer(peer, view.host, view.peer_port, message))

    def set_timer(self, at: float, callback: Callback) -> None:
        """Run a callback once the time has come."""
        heapq.heappush(self._timers, (at, next(self._sequence), callback))

    def repeat(self, interval: float, callback: Callback, now: float) -> None:
        """Run a callback now and then at every interval, a tenth of it apart at random.

        Instances that start together would otherwise poll the platform in step for ever.
        """

        def run(at: float) -> None:
            callback(at)
            self.set_timer(at + interval * self.random.uniform(0.9, 1.1), run)

        run(now)

    def next_timer(self) -> float | None:
        """Give the time of the next timer."""
        return self._timers[0][0] if self._timers else None

    def take_due(self, now: float) -> Callback | None:
        """Take the next callback that is due."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2]
        return None

    def read_wall(self, now: float) -> float:
        """Give Unix time at a local time, for what is compared between instances."""
        return now + self.wall_offset

    def takes_work(self, view: TargetView) -> bool:
        """Whether operators and the platform's list allow new work to a target."""
        return not view.leaving and self.configuration.is_target_in_service(view.id, view.zone)

    @property
    def platform_down(self) -> bool:
        """Whether the last call to the table service failed."""
        return self.platform_failed > self.platform_worked

    def is_out_of_touch(self, now: float) -> bool:
        """Whether operators may have changed something since the table service last answered.

        It counts from as long a silence on as that of a peer does.
        """
        return self.platform_down and now - self.platform_worked > self.options.peer_silence


EventHandler = Callable[..., None]


class Duty(Protocol):
    """One duty of an instance: a small state and the events and messages it handles."""

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Map event types to methods that take the event and the present time."""
        ...

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Map message types to methods that take the sender, the message and the time."""
        ...
