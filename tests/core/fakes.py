"""Fakes for the interfaces of the core: table service, network, targets and clock.

Writes and runs stay pending until the test decides their outcome, and so do the messages of
HELD_MESSAGE_TYPES when `hold_messages` is set. Tests can thus produce events in any order.
"""

from __future__ import annotations

from collections import Counter, deque

import attrs
import msgspec

from rhubarbbend.core import Core, CoreOptions, Identity, actions, events
from rhubarbbend.core.configuration import Account, Item, Operation, Service
from rhubarbbend.core.messages import ClaimQuery, ClaimReply, Message, ReservedReply, ReservedRun
from rhubarbbend.core.requests._responses import make_peer_request_id

SECRET = b"a secret for tests of the core"
ACCOUNT = "pilgrim-groups"
START_UNIX_TIME_S = 1_700_000_000.0
SERVICE = "booking"
ENGINE = "planner"
HELD_MESSAGE_TYPES = (ClaimQuery, ClaimReply, ReservedRun, ReservedReply)

DECLARATIONS = [
    ("account", Account(ACCOUNT, ACCOUNT)),
    ("account", Account("agents", "agents")),
    (
        "service",
        Service(
            SERVICE,
            kind="plain",
            floor=64,
            cold_slots=64,
            operations=(
                Operation("/bookings", "POST", idempotent=False),
                Operation("/plots/*", "GET"),
            ),
        ),
    ),
    ("service", Service(ENGINE, floor=64, cold_slots=64, head_timeout=30.0)),
]


@attrs.define(slots=True, eq=False)
class PendingWrite:
    """A transaction that has not been answered; `applied` and `rows` are set when it is applied."""

    instance: str
    action: actions.WriteRows
    applied: list[bool] | None = None
    rows: list[events.Row | None] = attrs.Factory(list)


@attrs.define(slots=True, eq=False)
class PendingRun:
    """A dispatched attempt that the target has not answered yet."""

    instance: str
    action: actions.Dispatch


@attrs.define(slots=True, eq=False)
class PendingMessage:
    """A message between instances that has not been delivered yet."""

    sender: str
    peer: str
    message: Message


@attrs.define(slots=True, frozen=True)
class FinalAnswer:
    """The final answer to a caller and the step at which it was given; only replies have a body."""

    step: int
    code: str
    verdict: str
    body: bytes = b""


class FakeFleet:
    """A fake fleet: the cores of a few instances, one target per service and zone, and a table."""

    def __init__(
        self,
        zones: dict[str, str],
        options: CoreOptions | None = None,
        skews: tuple[float, ...] = (),
        hold_messages: bool = False,
    ) -> None:
        self.now = 100.0
        self.step = 0
        self.table: dict[str, events.Row] = {}
        self.writes: list[PendingWrite] = []
        self.runs: list[PendingRun] = []
        self.messages: list[PendingMessage] = []
        self.resumes: list[actions.Resume] = []
        self.probes: list[tuple[str, actions.Probe]] = []
        self.done: list[actions.Action] = []
        self.answers: dict[str, list[FinalAnswer]] = {}
        self.keys: list[str] = []
        self.arrived: dict[str, tuple[int, str]] = {}
        # Maps the request ids used by issuers of reserved keys to the callers' request ids.
        self.forwarded: dict[str, str] = {}
        self.counters: Counter[str] = Counter()
        self.frozen: dict[str, float] = {}
        self.hold_messages = hold_messages
        self.cores: dict[str, Core] = {}
        self.zones = zones
        self.options = options or CoreOptions()
        self._events: deque[tuple[str, events.Event]] = deque()
        self._held_events: dict[str, list[events.Event]] = {}
        self._is_handling = False
        for index, name in enumerate(zones):
            self.start(name, 1, skews[index] if index < len(skews) else 0.0)
        for _ in range(3):
            self.advance(0.6)

    def start(self, name: str, incarnation: int, skew: float = 0.0) -> None:
        """Start an instance, replacing one of the same name; the state of the old one is lost."""
        identity = Identity(name, self.zones[name], name, 1, 2, incarnation, SECRET)
        core = self.cores[name] = Core(identity, self.options, seed=len(self.cores))
        self.writes = [write for write in self.writes if write.instance != name]
        self.runs = [run for run in self.runs if run.instance != name]
        self.handle(name, events.Started(START_UNIX_TIME_S + self.now + skew))
        items = [
            Item(kind, value.name, 1, msgspec.json.encode(value)) for kind, value in DECLARATIONS
        ]
        core.context.configuration.apply(1, items)
        core.context.config_ready = True

    def handle(self, instance: str, event: events.Event) -> None:
        """Pass an event to an instance, or hold it back while the instance is frozen."""
        self._events.append((instance, event))
        if self._is_handling:
            return
        self._is_handling = True
        while self._events:
            name, next_event = self._events.popleft()
            if name in self.frozen:
                self._held_events[name].append(next_event)
                continue
            if isinstance(next_event, events.RequestArrived):
                self.step += 1
                self.arrived[next_event.request] = (self.step, next_event.key)
            for action in self.cores[name].handle(next_event, self.now):
                self._perform(name, action)
        self._is_handling = False

    def advance(self, seconds: float) -> None:
        """Advance the time and run the timers that are due."""
        end = self.now + seconds
        while True:
            due = [c.next_timer() or end for n, c in self.cores.items() if n not in self.frozen]
            next_time = min([*due, end])
            self.now = max(self.now, next_time)
            for name in self.cores:
                if name not in self.frozen:
                    self.handle(name, events.TimerDue())
            if next_time >= end:
                return

    def freeze(self, name: str) -> None:
        """Pause the process of an instance; it does not notice."""
        self.frozen[name] = self.now
        self._held_events[name] = []

    def unfreeze(self, name: str) -> None:
        """Resume a paused instance and pass it the events that arrived in the meantime."""
        paused_s = self.now - self.frozen.pop(name)
        self.handle(name, events.ProcessPaused(paused_s))
        for event in self._held_events.pop(name):
            self.handle(name, event)

    def send(
        self,
        instance: str,
        request: str,
        key: str = "",
        body: str = "body",
        deadline: float = 30.0,
        path: str = "/bookings",
        account: str = ACCOUNT,
        service: str = SERVICE,
        parts: tuple[str, ...] = (),
    ) -> None:
        """Pass a caller's request to an instance; with an idempotency key it is a command."""
        self.answers.setdefault(request, [])
        event = events.RequestArrived(
            request,
            account,
            service,
            "",
            "POST" if key else "GET",
            path,
            body,
            deadline,
            key=key,
            parts=parts,
        )
        self.handle(instance, event)

    def reserve(self, instance: str) -> str:
        """Request a reserved key from an instance and return it."""
        self.handle(instance, events.KeysRequested("keys", ACCOUNT, 1))
        return self.keys[-1]

    def apply_write(self, write: PendingWrite) -> None:
        """Apply a transaction to the table without answering it."""
        if write.applied is not None:
            return
        write.applied = []
        for entry in write.action.writes:
            row = self.table.get(entry.key)
            matches = entry.expect == (0 if row is None else row.version)
            if matches:
                row = events.Row(entry.key, entry.value, entry.expect + 1)
                self.table[entry.key] = row
            write.applied.append(matches)
            write.rows.append(row)

    def answer_write(self, write: PendingWrite) -> None:
        """Apply a transaction to the table and answer it."""
        self.apply_write(write)
        self.writes.remove(write)
        assert write.applied is not None
        done = events.WriteDone(write.action.op, "done", write.applied, list(write.rows))
        self.handle(write.instance, done)

    def lose_answer(self, write: PendingWrite) -> None:
        """End a transaction with an unknown outcome; it stays applied if it was."""
        self.writes.remove(write)
        self.handle(write.instance, events.WriteDone(write.action.op, "unknown"))

    def settle(self) -> None:
        """Answer all transactions and deliver all messages until none is pending."""
        while self.writes or self.messages:
            for write in list(self.writes):
                self.answer_write(write)
            for message in list(self.messages):
                self.deliver(message)

    def deliver(self, pending: PendingMessage) -> None:
        """Deliver a message."""
        self.messages.remove(pending)
        if pending.peer in self.cores:
            self.handle(pending.peer, events.PeerSaid(pending.sender, pending.message))

    def finish(self, run: PendingRun, body: bytes = b"done") -> None:
        """Complete a run with an answer from its target."""
        self.runs.remove(run)
        self.handle(run.instance, events.AttemptDone(run.action.attempt, 200, 0.1, body=body))

    def fail(self, run: PendingRun, stage: str) -> None:
        """Fail the attempt of a run at a stage; a probe that follows is added to `probes`."""
        self.runs.remove(run)
        self.handle(run.instance, events.AttemptFailed(run.action.attempt, stage, "fault"))

    def read_answer(self, request: str) -> FinalAnswer:
        """Return the final answer to a request; fail unless there is exactly one."""
        found = self.answers[request]
        assert len(found) == 1, (request, found)
        return found[0]

    def _perform(self, name: str, action: actions.Action) -> None:
        if isinstance(action, actions.SendReserved):
            assert isinstance(action.message, ReservedRun)
            peer_request = make_peer_request_id(name, action.message.request)
            self.forwarded[peer_request] = action.request
        if isinstance(action, actions.SendPeer | actions.SendReserved):
            self._send(PendingMessage(name, action.peer, action.message))
        elif isinstance(action, actions.WriteRows):
            self.writes.append(PendingWrite(name, action))
        elif isinstance(action, actions.Dispatch):
            self.runs.append(PendingRun(name, action))
        elif isinstance(action, actions.Resume):
            self.resumes.append(action)
        elif isinstance(action, actions.Probe):
            self.probes.append((name, action))
        elif isinstance(action, actions.Refuse):
            self._record_answer(action.request, action.code, action.verdict)
        elif isinstance(action, actions.Reply):
            self._record_answer(action.request, "", "ran", action.body)
        elif isinstance(action, actions.GiveKeys):
            self.keys.extend(action.keys)
        elif isinstance(action, actions.ReadReport):
            report = events.ReportRead(action.target, f"{action.target}-1", "ready", 0, 0)
            self._events.append((name, report))
        elif isinstance(action, actions.ReadList):
            self._events.append((name, events.ListRead(self._list_entries())))
        elif isinstance(action, actions.Count):
            self.counters[action.name] += action.by
        else:
            self.done.append(action)

    def _send(self, pending: PendingMessage) -> None:
        if isinstance(pending.message, ReservedReply):
            request = make_peer_request_id(pending.peer, pending.message.request)
            self.answers.setdefault(request, [])
        self.messages.append(pending)
        if not (self.hold_messages and isinstance(pending.message, HELD_MESSAGE_TYPES)):
            self.messages.remove(pending)
            if pending.peer in self.cores:
                event = events.PeerSaid(pending.sender, pending.message)
                self._events.append((pending.peer, event))

    def _record_answer(self, request: str, code: str, verdict: str, body: bytes = b"") -> None:
        self.step += 1
        answer = FinalAnswer(self.step, code, verdict, body)
        self.answers.setdefault(request, []).append(answer)

    def _list_entries(self) -> list[events.Listed]:
        entries = [
            events.Listed(name, "instance", zone, name, 1, 2) for name, zone in self.zones.items()
        ]
        for zone in sorted(set(self.zones.values())):
            for service in (SERVICE, ENGINE):
                target = f"{service}-{zone}"
                entries.append(
                    events.Listed(target, "target", zone, target, 1, service_name=service)
                )
        return entries
