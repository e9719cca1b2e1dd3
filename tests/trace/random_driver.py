"""Drives a core with random events and records it, to produce varied traces for the tests.

The core's actions are answered with random results after random delays.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import msgspec

from rhubarbbend.core import Core, CoreOptions, Identity, actions, events
from rhubarbbend.core.configuration import Account, Operation, Service
from rhubarbbend.core.messages import (
    ClaimQuery,
    ClaimReply,
    CrashCount,
    CrashNotice,
    Heartbeat,
    SlotReply,
    SlotRequest,
    TargetLoad,
    ZoneQuery,
)
from rhubarbbend.trace import Recorder

SECRET = b"the secret of a real fleet"
PRIVATE_BODY = b"words of a caller"
KEY_DIGEST = "d" * 64
PEERS = [f"peer-{n}" for n in range(6)]
TARGETS = [f"{kind}-{n}" for kind in ("engine", "booking") for n in range(8)]
MAX_STEP_S = 0.1
SET_UP_EVENTS = 4 + len(TARGETS)


def _list_declarations() -> list[tuple[str, str, bytes]]:
    operations = (Operation("/b", "POST", idempotent=False), Operation("*"))
    declarations = [
        ("account", Account("mela", KEY_DIGEST)),
        ("service", Service("planner")),
        ("service", Service("booking", kind="plain", operations=operations)),
    ]
    return [(kind, item.name, msgspec.json.encode(item)) for kind, item in declarations]


class RandomDriver:
    """Drives one core and records it; every random choice is drawn from `rng`."""

    def __init__(self, path: Path, rng: Random, max_bytes: int = 1 << 24) -> None:
        identity = Identity("own", "a", "127.0.0.1", 1, 2, 77, SECRET)
        options = CoreOptions(claim_query_timeout=0.3, peer_silence=20.0)
        self.core = Core(identity, options, 5)
        self.recorder = Recorder(path, max_bytes, self.core, identity, options, 5)
        self.rng = rng
        self.now = 100.0
        self.ticket = ""
        self.keys = ["k1", "k2", "not a key", "rk1.own.4d.1.ffffffff.0"]
        self.requests: list[str] = []
        self.attempts: list[str] = []
        self.claims: list[tuple[str, str]] = []
        self.table: dict[str, events.Row] = {}
        self.pending_events: list[events.Event] = []

    def run(self, steps: int) -> None:
        """Set up a configured fleet, then send `steps` random events to the core."""
        try:
            self._set_up_fleet()
            for _ in range(steps):
                self.now += self.rng.random() * MAX_STEP_S
                self._send_event(self._draw_event())
        finally:
            self.recorder.close()

    def _set_up_fleet(self) -> None:
        self._send_event(events.Started(1_700_000_000.0))
        self._send_event(events.SeedNamed("seed-1", "b", "127.0.0.1", 9))
        self._send_event(events.RowsRead("config:scan", "done", [self._make_change()]))
        self._send_event(events.ListRead(self._list_members()))
        for target in TARGETS:
            self._send_event(events.ReportRead(target, "boot-1", "ready", 0, 4))

    def _list_members(self) -> list[events.Listed]:
        peers = [events.Listed(p, "instance", "a", "127.0.0.1", 1, 2) for p in PEERS]
        services = {t: "planner" if t.startswith("engine") else "booking" for t in TARGETS}
        return peers + [
            events.Listed(t, "target", "a", "127.0.0.1", 3, 0, service)
            for t, service in services.items()
        ]

    def _make_change(self) -> events.Row:
        change = {"version": 1, "change_id": "c", "author": "o", "items": _list_declarations()}
        return events.Row(f"{1:016d}", msgspec.json.encode(change), 1)

    def _send_event(self, event: events.Event) -> None:
        for action in self.recorder.handle(event, self.now):
            self._handle_action(action)

    def _handle_action(self, action: actions.Action) -> None:
        if isinstance(action, actions.Dispatch):
            self.attempts.append(action.attempt)
            self.ticket = action.ticket or self.ticket
        elif isinstance(action, actions.GiveKeys):
            self.keys.extend(action.keys[:2])
        elif isinstance(action, actions.WriteRows):
            self.pending_events.append(self._answer_write(action))
        elif isinstance(action, actions.Probe):
            boot = self.rng.choice(["boot-1", "boot-2", ""])
            self.pending_events.append(events.ProbeAnswered(action.target, action.attempt, boot))
        elif isinstance(action, actions.SendPeer) and isinstance(action.message, SlotRequest):
            refusal = self.rng.choice(["", "", "full"])
            reply = SlotReply(
                attempt=action.message.attempt,
                target=action.message.target,
                refusal=refusal,
                boot_id="boot-1",
            )
            self.pending_events.append(events.PeerSaid(action.peer, reply))

    def _answer_write(self, action: actions.WriteRows) -> events.Event:
        """Apply a write as the table service does; sometimes report its outcome as unknown."""
        applied: list[bool] = []
        for write in action.writes:
            row = self.table.get(write.key)
            version = 0 if row is None else row.version
            applied.append(write.expect in (-1, version))
            if applied[-1]:
                self.table[write.key] = events.Row(write.key, write.value, version + 1)
            claim = msgspec.json.decode(write.value)
            self.claims.append((write.key, claim["attempt"]))
            # Several peers query the outcome, so the core has to notify them in a definite order.
            query = ClaimQuery(attempt=claim["attempt"], key=write.key)
            self.pending_events.extend(events.PeerSaid(peer, query) for peer in PEERS)
        if self.rng.random() < 0.2:
            return events.WriteDone(action.op, "unknown")
        rows = [self.table.get(write.key) for write in action.writes]
        return events.WriteDone(action.op, "done", applied, rows)

    def _draw_event(self) -> events.Event:
        draw = self.rng.choice(
            [self._draw_request, self._draw_request, self._draw_attempt, self._draw_peer]
        )
        if self.pending_events and self.rng.random() < 0.5:
            return self.pending_events.pop(self.rng.randrange(len(self.pending_events)))
        return draw()

    def _draw_request(self) -> events.Event:
        if self.rng.random() < 0.1:
            return events.KeysRequested(f"keys-{len(self.requests)}", KEY_DIGEST, 3)
        request = f"r{len(self.requests)}"
        self.requests.append(request)
        is_command = self.rng.random() < 0.6
        event = events.RequestArrived(
            request,
            KEY_DIGEST,
            "booking" if is_command else "planner",
            "",
            "POST",
            "/b",
            "body",
            2.0,
        )
        event.key = self._draw_key() if is_command else ""
        event.chat = "" if is_command else "chat-1"
        event.ticket = "" if is_command else self.rng.choice([self.ticket, "forged", ""])
        event.tokens = 500
        return event

    def _draw_key(self) -> str:
        new_key = f"k{self.rng.randrange(200)}"
        return self.rng.choice([new_key, new_key, self.rng.choice(self.keys)])

    def _draw_attempt(self) -> events.Event:
        if not self.attempts:
            return events.TimerDue()
        attempt = self.rng.choice(self.attempts)
        kind = self.rng.randrange(4)
        if kind == 0:
            return events.AttemptHead(attempt, 200, 0.1)
        if kind == 1:
            return events.AttemptFailed(attempt, self.rng.choice(["connect", "sent"]), "reset")
        if kind == 2 and self.requests:
            return events.CallerLeft(self.rng.choice(self.requests))
        return events.AttemptDone(attempt, 200, 0.2, "text/plain", PRIVATE_BODY)

    def _draw_peer(self) -> events.Event:
        peer = self.rng.choice(PEERS)
        kind = self.rng.randrange(5)
        if kind == 0 and self.claims:
            key, attempt = self.rng.choice(self.claims)
            reply = ClaimReply(
                attempt, key, self.rng.choice(["done", "never"]), 200, "", PRIVATE_BODY
            )
            return events.PeerSaid(peer, reply)
        if kind == 1:
            crash = CrashCount(digest="x", count=1, last_target=f"boot-{self.rng.randrange(99)}")
            return events.PeerSaid(peer, CrashNotice(crashes=[crash]))
        if kind == 2:
            return events.PeerSaid(peer, ZoneQuery(instance=peer, config_version=1))
        loads = [TargetLoad(t, "boot-1", 1, 4, True, False) for t in TARGETS]
        heartbeat = Heartbeat(peer, "a", 7, False, 1, loads, "127.0.0.1", 2)
        return events.PeerSaid(peer, heartbeat)
