"""Helpers that drive the core of one instance by events at simulated times, without a socket."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from rhubarbbend.core import CoreOptions, actions, events
from rhubarbbend.core.configuration import Account, Declaration, Item, Service
from rhubarbbend.core.messages import (
    Heartbeat,
    Message,
    SlotRelease,
    SlotReply,
    SlotRequest,
    TargetLoad,
)
from tests.core.core_helpers import make_core

ZONE = "almaty-a"
SERVICE = "planner"
HOST = "127.0.0.1"
# Instances of another zone that request slots; they own no target in this zone.
HOLDERS = ("entry-b1", "entry-b9", "entry-c1")
KINDS = {Service: "service", Account: "account"}

M = TypeVar("M", bound=Message)


def make_instance_entry(name: str, zone: str = ZONE, state: str = "live") -> events.Listed:
    """Return the platform's list entry of an instance."""
    return events.Listed(name, "instance", zone, HOST, 1, 2, state=state)


def make_target_entry(name: str, zone: str = ZONE, service: str = SERVICE) -> events.Listed:
    """Return the platform's list entry of a target."""
    return events.Listed(name, "target", zone, HOST, 3, service_name=service)


class Driver:
    """One core, its simulated time, and the messages that it has sent."""

    def __init__(
        self,
        entries: Iterable[events.Listed],
        service: Service,
        name: str = "entry-a1",
        zone: str = ZONE,
        options: CoreOptions | None = None,
    ) -> None:
        self.now = 100.0
        self.core = make_core(name, zone, options=options)
        self.sent: list[tuple[str, Message]] = []
        self.counts: dict[str, int] = {}
        # Live instances of the own zone, whose heartbeats arrive whenever time advances.
        self.peers: list[str] = []
        self._attempts = 0
        self.handle(events.Started(1_000.0))
        self.declare(1, service)
        self.read_list(*entries)

    def declare(self, version: int, *declarations: Declaration) -> None:
        """Apply declarations to the core's configuration as a version."""
        items = [
            Item(KINDS[type(d)], d.name, version, msgspec.json.encode(d)) for d in declarations
        ]
        self.core.context.configuration.apply(version, items)
        self.core.context.config_ready = True

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Pass an event to the core, record what it sends and counts, and return its actions."""
        emitted = self.core.handle(event, self.now)
        for action in emitted:
            if isinstance(action, actions.SendPeer):
                self.sent.append((action.peer, action.message))
            elif isinstance(action, actions.Count):
                self.counts[action.name] = self.counts.get(action.name, 0) + action.by
        return emitted

    def read_list(self, *entries: events.Listed) -> None:
        """Pass the platform's list to the core: the given entries and those of `HOLDERS`."""
        holders = [make_instance_entry(name, "almaty-b") for name in HOLDERS]
        self.handle(events.ListRead([*entries, *holders]))

    def receive(self, sender: str, message: Message) -> None:
        """Pass a message of a peer to the core."""
        self.handle(events.PeerSaid(sender, message))

    def advance(self, seconds: float, step: float = 0.25) -> None:
        """Advance the time in steps and run the timers that are due."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            for peer in self.peers:
                self.receive_heartbeat(peer)
            self.handle(events.TimerDue())

    def receive_report(
        self,
        target: str,
        running: int,
        boot_id: str = "b1",
        age: float = 0.0,
        slots: int = 8,
        state: str = "ready",
    ) -> None:
        """Pass the load report of a target to the core."""
        self.handle(events.ReportRead(target, boot_id, state, running, slots, age))

    def pass_probation(self, *targets: str, running: int = 0) -> None:
        """Pass reports without foreign load until the owner trusts that it alone grants slots."""
        for _ in range(8):
            self.advance(0.5, 0.5)
            for target in targets:
                self.receive_report(target, running)

    def receive_heartbeat(
        self, name: str, *loads: TargetLoad, incarnation: int = 1, **fields: bool
    ) -> None:
        """Pass the heartbeat of a peer in the same zone to the core."""
        heartbeat = Heartbeat(
            instance=name,
            zone=ZONE,
            incarnation=incarnation,
            loads=list(loads),
            host=HOST,
            peer_port=2,
            **fields,  # type: ignore[arg-type]
        )
        self.receive(name, heartbeat)

    def request_slot(
        self,
        target: str,
        account: str = "agents",
        max_wait: float = 0.0,
        holder: str = "entry-b9",
        incarnation: int = 1,
        weight: int = 1,
        suspect: bool = False,
    ) -> str:
        """Request a slot as a peer; return the id of the attempt."""
        self._attempts += 1
        attempt = f"{holder}-{self._attempts}"
        request = SlotRequest(
            attempt=attempt,
            instance=holder,
            incarnation=incarnation,
            target=target,
            account=account,
            max_wait=max_wait,
            service_name=SERVICE,
            weight=weight,
            suspect=suspect,
        )
        self.receive(holder, request)
        return attempt

    def release_slot(
        self, target: str, attempt: str, completed: bool = True, **fields: float | bool
    ) -> None:
        """Release a slot as a peer."""
        release = SlotRelease(attempt=attempt, target=target, completed=completed, sent=True)
        for name, value in fields.items():
            setattr(release, name, value)
        self.receive(attempt.rpartition("-")[0], release)

    def find_replies(self, attempt: str) -> list[SlotReply]:
        """Return the replies to an attempt's slot request."""
        return [m for m in self.list_sent(SlotReply) if m.attempt == attempt]

    def is_granted(self, attempt: str) -> bool:
        """Return whether an attempt was granted a slot."""
        return any(not reply.refusal for reply in self.find_replies(attempt))

    def find_refusal(self, attempt: str) -> str:
        """Return the reason for which an attempt was refused a slot, or an empty string."""
        return next((r.refusal for r in self.find_replies(attempt) if r.refusal), "")

    def list_sent(self, kind: type[M]) -> list[M]:
        """Return the messages of a type that the core has sent."""
        return [message for _, message in self.sent if isinstance(message, kind)]

    def read_load(self, target: str) -> int:
        """Return the load that the core counts for a target."""
        return self.core.context.fleet.targets[target].load
