"""State shared by the components of the core.

It holds the identity and options of the instance, its views of the fleet, its timers, and the
actions produced by the event that is being handled.
"""

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
from rhubarbbend.core._pauses import PauseTracker
from rhubarbbend.core.configuration import Configuration
from rhubarbbend.core.messages import Message, SlotMessage
from rhubarbbend.core.stop_schedule import StopSchedule

Callback = Callable[[float], None]


class Identity(msgspec.Struct, frozen=True):
    """Identity of this instance.

    `incarnation` differs at each start. `secret` signs routing tickets and reserved keys.
    """

    instance: str
    zone: str
    host: str
    port: int
    peer_port: int
    incarnation: int
    secret: bytes = b""


@attrs.define(slots=True, frozen=True)
class CoreOptions:
    """All intervals, limits and timeouts of the core; times are in seconds."""

    heartbeat_interval: float = 1.0
    # An instance of the own zone that has sent nothing for this long no longer owns any target.
    peer_silence: float = 3.0
    zone_interval: float = 2.0
    list_interval: float = 1.0
    # Number of instances per zone that read the platform's list and the configuration changes in
    # each interval.
    zone_readers: int = 4
    # A target is removed after it has been absent from the platform's list for this long.
    list_grace: float = 5.0
    report_interval: float = 0.5
    report_max_age: float = 3.0
    # How long an owner may take to reply beyond the queueing time that the request allows.
    slot_timeout: float = 0.5
    renewal_interval: float = 5.0
    slot_lease: float = 16.0
    max_moves: int = 6
    retry_share: float = 0.1
    retry_reserve: float = 10.0
    max_attempts: int = 3
    max_resumes: int = 3
    # When an attempt has received no byte for this long, its answer is requested again over a new
    # connection.
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
    # For how long an operator's write is retried while its outcome is unknown.
    config_write_timeout: float = 5.0
    snapshot_every: int = 200
    balancer_lag: float = 2.0
    # Limit on the duration of a planned stop; 0 means that there is no limit.
    stop_limit: float = 0.0


class Context:
    """State shared by all components. Invariant: `out` holds the actions of one event only."""

    def __init__(self, identity: Identity, options: CoreOptions, seed: int) -> None:
        self.identity = identity
        self.options = options
        self.random = Random(seed)
        self.configuration = Configuration()
        self.fleet = Fleet(identity.instance, identity.zone, options.peer_silence)
        self.pauses = PauseTracker()
        # The boot ids of targets that have said in an answer that they leave.
        self.leaving_boots: set[str] = set()
        self.out: list[actions.Action] = []
        self.local: deque[Message] = deque()
        self.unix_time_offset_s = 0.0
        # The times of a planned stop; None before one begins.
        self.stop: StopSchedule | None = None
        self.config_ready = False
        # Whether the instances and targets are known, from the platform's list or from a peer.
        self.are_members_known = False
        # Local time of the last failed and the last successful call to the table service. Requests
        # that need the table fail fast while the last call failed recently.
        self.last_platform_failure = -1.0
        self.last_platform_success = 0.0
        # Set by the member component; attaches the newest loads to outgoing slot messages.
        self.attach_loads: Callable[[InstanceView, SlotMessage], None] = lambda view, message: None
        self._timers: list[tuple[float, int, Callback]] = []
        self._sequence = itertools.count()

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop is not None

    def emit(self, action: actions.Action) -> None:
        """Append an action for the shell to carry out."""
        self.out.append(action)

    def count(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self.out.append(actions.Count(name, by))

    def log(self, what: str, **details: str) -> None:
        """Log a change of state."""
        self.out.append(actions.LogState(what, details))

    def send(self, peer: str, message: Message) -> None:
        """Send a message to an instance.

        A message to this instance is handled within the same call of `Core.handle`. A message to
        an unknown instance is dropped.
        """
        if peer == self.identity.instance:
            self.local.append(message)
            return
        view = self.fleet.instances.get(peer)
        if view is not None:
            if isinstance(message, SlotMessage):
                self.attach_loads(view, message)
            self.out.append(actions.SendPeer(peer, view.host, view.peer_port, message))

    def set_timer(self, at: float, callback: Callback) -> None:
        """Schedule a callback to run once at the given local time."""
        heapq.heappush(self._timers, (at, next(self._sequence), callback))

    def repeat(self, interval: float, callback: Callback, now: float) -> None:
        """Run a callback at once, then periodically with a jitter of a tenth of the interval.

        Without jitter, instances that start together would poll the platform in lockstep for ever.
        """

        def run(at: float) -> None:
            callback(at)
            self.set_timer(at + interval * self.random.uniform(0.9, 1.1), run)

        run(now)

    def next_timer(self) -> float | None:
        """Return the time of the earliest timer, or None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Callback | None:
        """Remove and return the earliest callback that is due, or None if none is due."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2]
        return None

    def to_unix_time(self, now: float) -> float:
        """Convert a local time to Unix time, for times that instances compare with each other."""
        return now + self.unix_time_offset_s

    def accepts_new_work(self, view: TargetView) -> bool:
        """Return whether operators, the list and the target itself allow new work on it."""
        if view.leaving or view.boot_id in self.leaving_boots:
            return False
        return self.configuration.is_target_in_service(view.id, view.zone)

    @property
    def is_table_service_down(self) -> bool:
        """Whether the most recent call to the table service failed."""
        return self.last_platform_failure > self.last_platform_success

    def may_have_missed_changes(self, now: float) -> bool:
        """Return whether this instance may have missed changes made by operators.

        This is the case when the table service is down and its last successful call is more than
        `peer_silence` ago, the timeout that also applies to peers.
        """
        return (
            self.is_table_service_down
            and now - self.last_platform_success > self.options.peer_silence
        )


EventHandler = Callable[..., None]


class Component(Protocol):
    """A component of the core: its own state, and handlers of the events that it subscribes to."""

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handlers by event type; each takes the event and the current local time."""
        ...

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers by message type; each takes sender, message and current time."""
        ...
