"""Drives the core of an instance by events alone, with a deployment of a given size."""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core import Core, CoreOptions, Identity, actions, events
from rhubarbbend.core.configuration import Account, Model, Operation, Service, Zone
from rhubarbbend.core.messages import (
    Heartbeat,
    Message,
    SlotReply,
    SlotRequest,
    TargetLoad,
)

OWN_ID: Final = "entry-000"
ZONE: Final = "zone-0"
ZONES: Final = 5
MODEL: Final = "model-0"
RESPONSE_BODY: Final = b'{"plot": 123456, "state": "taken"}'


def make_key_digest(number: int) -> str:
    """Return the digest of an API key, by its number."""
    return f"{number:064x}"


class CoreDriver:
    """A core with a configuration and a fleet of given sizes, driven by events only."""

    def __init__(
        self, accounts: int = 10, targets: int = 38, peers: int = 8, services: int = 1
    ) -> None:
        identity = Identity(OWN_ID, ZONE, "10.0.0.1", 80, 81, 1_700_000_000_000, b"s" * 32)
        self.core = Core(identity, CoreOptions(), 1)
        self.now = 1_000.0
        self.version = 0
        self.request_number = 0
        self.handle(events.Started(1_700_000_000.0))
        self.handle(events.SnapshotRead("done"))
        self.apply_change(make_configuration(accounts, services))
        self.handle(events.ListRead(list_members(targets, peers, services)))
        self.handle(events.RowsRead("config:scan", "done", []))
        for peer in range(1, peers):
            if peer % ZONES == 0:
                self.handle_message(
                    f"entry-{peer:03d}", make_heartbeat(f"entry-{peer:03d}", [], self.version)
                )
        self.owned_targets = self.core.owner.list_owned()
        for target in [v.id for v in self.core.context.fleet.targets.values()]:
            self.handle(make_load_report(target))

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Advance the clock by a microsecond, have the core handle an event, return its actions."""
        self.now += 1e-6
        return self.core.handle(event, self.now)

    def handle_message(self, sender: str, message: Message) -> list[actions.Action]:
        """Have the core handle a message from a peer and return its actions."""
        return self.handle(events.PeerSaid(sender, message))

    def apply_change(self, items: list[tuple[str, str, bytes]]) -> list[actions.Action]:
        """Apply one accepted configuration change and return the actions of the core."""
        self.version += 1
        change = {"version": self.version, "change_id": "c", "author": "o", "items": items}
        row = events.Row(f"{self.version:016d}", msgspec.json.encode(change), 1)
        return self.handle(events.RowsRead("config:scan", "done", [row]))

    def run_chat(self) -> None:
        """Handle a chat from its arrival to its last byte, as the instance that received it."""
        self.request_number += 1
        request = f"r{self.request_number}"
        emitted = self.handle(
            events.RequestArrived(
                request, make_key_digest(1), "", MODEL, "POST", "/v1/chat/completions", "d", 60.0,
                chat=f"chat-{self.request_number}", tokens=500,
            )
        )  # fmt: skip
        dispatch = self._acquire_slot(emitted)
        self.handle(events.AttemptHead(dispatch.attempt, 200, 0.1))
        self.handle(events.AttemptDone(dispatch.attempt, 200, 1.0))

    def run_command(self) -> None:
        """Handle a command from its arrival until its outcome is stored."""
        self.request_number += 1
        request = f"r{self.request_number}"
        emitted = self.handle(
            events.RequestArrived(
                request,
                make_key_digest(1),
                "booking",
                "",
                "POST",
                "/b",
                "d",
                10.0,
                key=f"k{self.request_number}",
            )
        )
        emitted = self._grant_slot(emitted)
        emitted = self._complete_write(emitted)
        dispatch = next(a for a in emitted if isinstance(a, actions.Dispatch))
        done = events.AttemptDone(dispatch.attempt, 200, 0.1, "application/json", RESPONSE_BODY)
        self._complete_write(self.handle(done))

    def _acquire_slot(self, emitted: list[actions.Action]) -> actions.Dispatch:
        return next(a for a in self._grant_slot(emitted) if isinstance(a, actions.Dispatch))

    def _grant_slot(self, emitted: list[actions.Action]) -> list[actions.Action]:
        """Grant a slot request that was sent to a peer.

        A request to this instance itself has already been handled.
        """
        for action in emitted:
            if isinstance(action, actions.SendPeer) and isinstance(action.message, SlotRequest):
                request = action.message
                reply = SlotReply(attempt=request.attempt, target=request.target, boot_id="boot-1")
                return self.handle_message(action.peer, reply)
        return emitted

    def _complete_write(self, emitted: list[actions.Action]) -> list[actions.Action]:
        write = next(a for a in emitted if isinstance(a, actions.WriteRows))
        rows: list[events.Row | None] = [events.Row(w.key, w.value, 1) for w in write.writes]
        return self.handle(events.WriteDone(write.op, "done", [True] * len(rows), rows))


def make_configuration(accounts: int, services: int) -> list[tuple[str, str, bytes]]:
    """Return the rows of a configuration of a given size."""
    write = (Operation("/b", "POST", idempotent=False),)
    entries: list[tuple[str, msgspec.Struct]] = [("zone", Zone(f"zone-{z}")) for z in range(ZONES)]
    entries.append(("service", Service("booking", kind="plain", operations=write, floor=1_000)))
    for n in range(services):
        entries.append(("service", Service(f"service-{n}", floor=1_000)))
        entries.append(("model", Model(f"model-{n}", f"service-{n}")))
    for n in range(accounts):
        entries.append(
            ("account", Account(f"account-{n:05d}", make_key_digest(n), max_in_flight=10**9))
        )
    return [(kind, item.name, msgspec.json.encode(item)) for kind, item in entries]  # type: ignore[attr-defined]


def list_members(targets: int, peers: int, services: int) -> list[events.Listed]:
    """Return the list of members: the instances and targets of a deployment."""
    listed = [
        events.Listed(f"entry-{n:03d}", "instance", f"zone-{n % ZONES}", "10.0.0.1", 80, 81)
        for n in range(peers)
    ]
    for n in range(targets):
        service = f"service-{n % services}"
        zone = f"zone-{n % ZONES}"
        listed.append(events.Listed(f"engine-{n:03d}", "target", zone, "10.0.1.1", 90, 0, service))
    listed.extend(
        events.Listed(f"booking-{n}", "target", f"zone-{n}", "10.0.2.1", 90, 0, "booking")
        for n in range(ZONES)
    )
    return listed


def make_load_report(target: str) -> events.ReportRead:
    """Return the load report of a ready target with free capacity."""
    return events.ReportRead(target, "boot-1", "ready", 0, 1_000)


def make_target_load(number: int) -> TargetLoad:
    """Return what a heartbeat says of the load of a target, by its number."""
    return TargetLoad(f"engine-{number:03d}", "1f3c9a77", 7, 9, True, False, "service-0", [MODEL])


def make_heartbeat(sender: str, loads: list[TargetLoad], version: int) -> Heartbeat:
    """Return the heartbeat of an instance that owns targets with given loads."""
    return Heartbeat(sender, ZONE, 1_700_000_000_000, False, version, loads, "10.0.0.1", 81)
