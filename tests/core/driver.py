"""Drives the core of one instance by events and a time of the test's own, without a socket."""

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
from tests.core.drive import make_core

ZONE = "almaty-a"
SERVICE = "planner"
HOST = "127.0.0.1"
# Instances of another zone that ask for slots; they own nothing here.
HOLDERS = ("entry-b1", "entry-b9", "entry-c1")
KINDS = {Service: "service", Account: "account"}

M = TypeVar("M", bound=Message)


def list_instance(name: str, zone: str = ZONE, state: str = "live") -> events.Listed:
    """Make the platform's entry of an instance."""
    return events.Listed(name, "instance", zone, HOST, 1, 2, state=state)


def list_target(name: str, zone: str = ZONE, service: str = SERVICE) -> events.Listed:
    """Make the platform's entry of a target."""
    return events.Listed(name, "target", zone, HOST, 3, service_name=service)


class Driver:
    """One core, its time, and the messages that it has sent."""

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
        # Instances of the own zone that are alive: their heartbeats come as time passes.
        self.peers: list[str] = []
        self._attempts = 0
        self.handle(events.Started(1_000.0))
        self.declare(1, service)
        self.read_list(*entries)

    def declare(self, version: int, *declarations: Declaration) -> None:
        """Put declarations in force."""
        items = [
            Item(KINDS[type(d)], d.name, version, msgspec.json.encode(d)) for d in declarations
        ]
        self.core.context.configuration.apply(version, items)
        self.core.context.config_ready = True

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Give the core an event; keeps what it sends and counts."""
        done = self.core.handle(event, self.now)
        for action in done:
            if isinstance(action, actions.SendPeer):
                self.sent.append((action.peer, action.message))
            elif isinstance(action, actions.Count):
                self.counts[action.name] = self.counts.get(action.name, 0) + action.by
        return done

    def read_list(self, *entries: events.Listed) -> None:
        """Give the core the platform's list, with the holders beside the entries given."""
        holders = [list_instance(name, "almaty-b") for name in HOLDERS]
        self.handle(events.ListRead([*entries, *holders]))

    def say(self, sender: str, message: Message) -> None:
        """Give the core a message of a peer."""
        self.handle(events.PeerSaid(sender, message))

    def pass_time(self, seconds: float, step: float = 0.25) -> None:
        """Let time pass with the timers that fall due."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            for peer in self.peers:
                self.beat(peer)
            self.handle(events.TimerDue())

    def report(
        self,
        target: str,
        running: int,
        boot_id: str = "b1",
        age: float = 0.0,
        slots: int = 8,
        state: str = "ready",
    ) -> None:
        """Give the core a target's report."""
        self.handle(events.ReportRead(target, boot_id, state, running, slots, age))

    def pass_probation(self, *targets: str, running: int = 0) -> None:
        """Give clean reports until the owner trusts that nobody else grants."""
        for _ in range(8):
            self.pass_time(0.5, 0.5)
            for target in targets:
                self.report(target, running)

    def beat(self, name: str, *loads: TargetLoad, incarnation: int = 1, **fields: bool) -> None:
        """Give the core the heartbeat of a peer of its zone."""
        beat = Heartbeat(
            instance=name,
            zone=ZONE,
            incarnation=incarnation,
            loads=list(loads),
            host=HOST,
            peer_port=2,
            **fields,  # type: ignore[arg-type]
        )
        self.say(name, beat)

    def ask(
        self,
        target: str,
        account: str = "agents",
        max_wait: float = 0.0,
        holder: str = "entry-b9",
        incarnation: int = 1,
        weight: int = 1,
        suspect: bool = False,
    ) -> str:
        """Ask for a slot as a peer; gives the attempt."""
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
        self.say(holder, request)
        return attempt

    def release(
        self, target: str, attempt: str, completed: bool = True, **fields: float | bool
    ) -> None:
        """Give a slot back as a peer."""
        release = SlotRelease(attempt=attempt, target=target, completed=completed, sent=True)
        for name, value in fields.items():
            setattr(release, name, value)
        self.say(attempt.rpartition("-")[0], release)

    def find_replies(self, attempt: str) -> list[SlotReply]:
        """Find the replies to an attempt."""
        return [m for m in self.list_sent(SlotReply) if m.attempt == attempt]

    def is_granted(self, attempt: str) -> bool:
        """Whether an attempt has got a slot."""
        return any(not reply.refusal for reply in self.find_replies(attempt))

    def find_refusal(self, attempt: str) -> str:
        """Find the refusal of an attempt, empty if it has none."""
        return next((r.refusal for r in self.find_replies(attempt) if r.refusal), "")

    def list_sent(self, kind: type[M]) -> list[M]:
        """List the messages of a kind that the core has sent."""
        return [message for _, message in self.sent if isinstance(message, kind)]

    def read_load(self, target: str) -> int:
        """Read the load that the core counts for a target."""
        return self.core.context.fleet.targets[target].load
