"""Slopes of the core: processor time of decisions and memory of state, in one process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import msgspec

from loadtool._slopes_fit import MICROSECONDS, Series, fit, sample
from rhubarbbend.core import Core, CoreOptions, Identity, actions, events
from rhubarbbend.core.configuration import Account, Model, Operation, Service, Zone
from rhubarbbend.core.messages import (
    Heartbeat,
    Message,
    SlotRelease,
    SlotReply,
    SlotRequest,
    TargetLoad,
)
from rhubarbbend.peers import FrameAuthenticator, decode_frame, encode_frame

# Signs frames as the links do.
SIGNER = FrameAuthenticator(b"a secret of the slopes")
OWN: Final = "entry-000"
ZONE: Final = "zone-0"
ZONES: Final = 5
REPEATS: Final = 200
MODEL: Final = "model-0"
FULL_ACCOUNTS: Final = 35_000
FULL_TARGETS: Final = 950
FULL_PEERS: Final = 400
FULL_SERVICES: Final = 25
ONE_RECORD_BODY: Final = b'{"plot": 123456, "state": "taken"}'


def _digest(number: int) -> str:
    return f"{number:064x}"


class Bench:
    """A core with a configuration and a fleet of given sizes, driven by events alone."""

    def __init__(
        self, accounts: int = 10, targets: int = 38, peers: int = 8, services: int = 1
    ) -> None:
        identity = Identity(OWN, ZONE, "10.0.0.1", 80, 81, 1_700_000_000_000, b"s" * 32)
        self.core = Core(identity, CoreOptions(), 1)
        self.now = 1_000.0
        self.version = 0
        self.number = 0
        self.handle(events.Started(1_700_000_000.0))
        self.handle(events.SnapshotRead("done"))
        self.configure(_declare(accounts, services))
        self.handle(events.ListRead(_list_members(targets, peers, services)))
        self.handle(events.RowsRead("config:scan", "done", []))
        for peer in range(1, peers):
            if peer % ZONES == 0:
                self.hear(f"entry-{peer:03d}", _make_beat(f"entry-{peer:03d}", [], self.version))
        self.owned = self.core.owner.list_owned()
        for target in [v.id for v in self.core.context.fleet.targets.values()]:
            self.handle(make_report(target))

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Let the core handle an event a little later."""
        self.now += 1e-6
        return self.core.handle(event, self.now)

    def hear(self, sender: str, message: Message) -> list[actions.Action]:
        """Let the core hear a message."""
        return self.handle(events.PeerSaid(sender, message))

    def configure(self, items: list[tuple[str, str, bytes]]) -> list[actions.Action]:
        """Put one accepted change in force."""
        self.version += 1
        change = {"version": self.version, "change_id": "c", "author": "o", "items": items}
        row = events.Row(f"{self.version:016d}", msgspec.json.encode(change), 1)
        return self.handle(events.RowsRead("config:scan", "done", [row]))

    def run_chat(self) -> None:
        """Run a chat from arrival to its last byte, as the entry instance."""
        self.number += 1
        request = f"r{self.number}"
        given = self.handle(
            events.RequestArrived(
                request, _digest(1), "", MODEL, "POST", "/v1/chat/completions", "d", 60.0,
                chat=f"chat-{self.number}", tokens=500,
            )
        )  # fmt: skip
        dispatch = self._take_slot(given)
        self.handle(events.AttemptHead(dispatch.attempt, 200, 0.1))
        self.handle(events.AttemptDone(dispatch.attempt, 200, 1.0))

    def run_command(self) -> None:
        """Run a command from arrival to its kept outcome."""
        self.number += 1
        request = f"r{self.number}"
        given = self.handle(
            events.RequestArrived(
                request, _digest(1), "booking", "", "POST", "/b", "d", 10.0, key=f"k{self.number}"
            )
        )
        given = self._grant(given)
        given = self._answer_write(given)
        dispatch = next(a for a in given if isinstance(a, actions.Dispatch))
        done = events.AttemptDone(dispatch.attempt, 200, 0.1, "application/json", ONE_RECORD_BODY)
        self._answer_write(self.handle(done))

    def _take_slot(self, given: list[actions.Action]) -> actions.Dispatch:
        return next(a for a in self._grant(given) if isinstance(a, actions.Dispatch))

    def _grant(self, given: list[actions.Action]) -> list[actions.Action]:
        """Answer a slot request to a peer; one to this instance has been answered already."""
        for action in given:
            if isinstance(action, actions.SendPeer) and isinstance(action.message, SlotRequest):
                asked = action.message
                reply = SlotReply(attempt=asked.attempt, target=asked.target, boot_id="boot-1")
                return self.hear(action.peer, reply)
        return given

    def _answer_write(self, given: list[actions.Action]) -> list[actions.Action]:
        write = next(a for a in given if isinstance(a, actions.WriteRows))
        rows: list[events.Row | None] = [events.Row(w.key, w.value, 1) for w in write.writes]
        return self.handle(events.WriteDone(write.op, "done", [True] * len(rows), rows))


def _declare(accounts: int, services: int) -> list[tuple[str, str, bytes]]:
    write = (Operation("/b", "POST", idempotent=False),)
    declared: list[tuple[str, msgspec.Struct]] = [("zone", Zone(f"zone-{z}")) for z in range(ZONES)]
    declared.append(("service", Service("booking", kind="plain", operations=write, floor=1_000)))
    for n in range(services):
        declared.append(("service", Service(f"service-{n}", floor=1_000)))
        declared.append(("model", Model(f"model-{n}", f"service-{n}")))
    for n in range(accounts):
        declared.append(("account", Account(f"account-{n:05d}", _digest(n), max_in_flight=10**9)))
    return [(kind, item.name, msgspec.json.encode(item)) for kind, item in declared]  # type: ignore[attr-defined]


def _list_members(targets: int, peers: int, services: int) -> list[events.Listed]:
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


def make_report(target: str) -> events.ReportRead:
    """Make a report of a ready target with room."""
    return events.ReportRead(target, "boot-1", "ready", 0, 1_000)


def _make_load(number: int) -> TargetLoad:
    return TargetLoad(f"engine-{number:03d}", "1f3c9a77", 7, 9, True, False, "service-0", [MODEL])


def _make_beat(sender: str, loads: list[TargetLoad], version: int) -> Heartbeat:
    return Heartbeat(sender, ZONE, 1_700_000_000_000, False, version, loads, "10.0.0.1", 81)


def _time(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Give the processor time of one call in microseconds."""
    work()
    gc.collect()
    gc.disable()
    started = time.process_time_ns()
    for _ in range(repeats):
        work()
    spent = time.process_time_ns() - started
    gc.enable()
    return spent / repeats / 1e9 * MICROSECONDS


TARGET_SIZES: Final = [38, 150, 475, 950]
ACCOUNT_SIZES: Final = [1_000, 8_000, 20_000, FULL_ACCOUNTS]


def _prepare_owner(targets: int) -> Callable[[], float]:
    bench = Bench(targets=targets, services=max(1, targets // 38))
    target = next(t for t in bench.owned if t.startswith("engine"))

    def run() -> None:
        bench.number += 1
        attempt = f"{OWN}-x-{bench.number}"
        bench.hear(
            "entry-005",
            SlotRequest(
                attempt=attempt,
                instance="entry-005",
                incarnation=1,
                target=target,
                account="account-00001",
                max_wait=1.0,
                service_name="service-0",
            ),
        )
        release = SlotRelease(
            attempt=attempt, target=target, completed=True, first_byte=0.1, total=1.0
        )
        bench.hear("entry-005", release)

    return lambda: _time(run)


def _prepare_beat(loads: int) -> Callable[[], float]:
    bench = Bench(targets=max(38, loads), peers=12)
    beat = _make_beat("entry-005", [_make_load(n) for n in range(loads)], bench.version)
    return lambda: _time(lambda: bench.hear("entry-005", beat))


def _prepare_change(accounts: int) -> Callable[[], float]:
    bench = Bench(accounts=accounts)
    change = [("account", "account-00001", msgspec.json.encode(Account("account-00001", "a" * 64)))]
    return lambda: _time(lambda: bench.configure(change), 50)


def _prepare_claim(records: int) -> Callable[[], float]:
    bench = Bench()
    for _ in range(records):
        bench.run_command()
    return lambda: _time(bench.run_command, 100)


def _prepare_list(targets: int) -> Callable[[], float]:
    peers = targets * FULL_PEERS // FULL_TARGETS
    bench = Bench(targets=targets, peers=peers)
    event = events.ListRead(_list_members(targets, peers, 1))
    return lambda: _time(lambda: bench.handle(event), 10)


def measure_decisions() -> list[Series]:
    """Measure the processor time of each kind of event over sizes."""
    chat = sample(TARGET_SIZES, lambda n: _wrap(Bench(targets=n)))
    full = sample(TARGET_SIZES, lambda n: _wrap(Bench(targets=n, services=max(1, n // 38))))
    report = sample(TARGET_SIZES, _prepare_report)
    owner = sample(TARGET_SIZES, _prepare_owner)
    claim = sample([0, 2_000, 6_000, 12_000], _prepare_claim, 3)
    return [
        fit("chat, entry, targets of its service", "us", "target", chat),
        fit("chat, entry, 38 targets a service", "us", "target", full),
        fit("slot granted and released, owner", "us", "target", owner),
        fit("load report of an owned target", "us", "target", report),
        fit("heartbeat heard", "us", "load in it", sample([2, 8, 32, 128], _prepare_beat)),
        fit("configuration change", "us", "account", sample(ACCOUNT_SIZES, _prepare_change)),
        fit("command, entry, with claim", "us", "key record", claim),
        fit("list read", "us", "target", sample(TARGET_SIZES, _prepare_list)),
    ]  # fmt: skip


def _wrap(bench: Bench) -> Callable[[], float]:
    return lambda: _time(bench.run_chat)


def _prepare_report(targets: int) -> Callable[[], float]:
    bench = Bench(targets=targets, services=max(1, targets // 38))
    event = make_report(next(t for t in bench.owned if t.startswith("engine")))
    return lambda: _time(lambda: bench.handle(event))


def measure_full_size() -> dict[str, float]:
    """Measure decisions in microseconds with everything at the size to design for."""
    bench = Bench(FULL_ACCOUNTS, FULL_TARGETS, FULL_PEERS, FULL_SERVICES)
    report = make_report(next(t for t in bench.owned if t.startswith("engine")))
    beat = _make_beat("entry-005", [_make_load(n) for n in range(3)], bench.version)
    listed = events.ListRead(_list_members(FULL_TARGETS, FULL_PEERS, FULL_SERVICES))
    whole = _declare(FULL_ACCOUNTS, FULL_SERVICES)
    return {
        "chat, entry": _time(bench.run_chat),
        "command, entry": _time(bench.run_command),
        "load report": _time(lambda: bench.handle(report)),
        "heartbeat heard": _time(lambda: bench.hear("entry-005", beat)),
        "list read": _time(lambda: bench.handle(listed), 10),
        "one second of timers": _time(lambda: _tick(bench), 20),
        "whole configuration at a start": _time(lambda: Bench().configure(whole), 1),
    }


def _tick(bench: Bench) -> None:
    bench.now += 1.0
    bench.handle(events.TimerDue())


def _trace_memory(make: Callable[[int], object], sizes: list[int]) -> dict[float, list[float]]:
    """Give the bytes that objects of each size hold, by the allocator's own books."""
    samples: dict[float, list[float]] = {}
    for size in sizes:
        samples[size] = []
        for _ in range(2):
            gc.collect()
            tracemalloc.start()
            kept = make(size)
            gc.collect()
            samples[size].append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            del kept
    return samples


def _make_records(count: int) -> Bench:
    bench = Bench()
    for _ in range(count):
        bench.run_command()
    return bench


def _make_open(count: int) -> Bench:
    """Leave requests in flight: their slots are held and their answers have begun."""
    bench = Bench()
    for _ in range(count):
        bench.number += 1
        given = bench.handle(
            events.RequestArrived(
                f"r{bench.number}", _digest(1), "", MODEL, "POST", "/v1/chat/completions", "d",
                60.0, chat=f"chat-{bench.number}", tokens=500,
            )
        )  # fmt: skip
        bench.handle(events.AttemptHead(bench._take_slot(given).attempt, 200, 0.1))
    return bench


def measure_memory() -> list[Series]:
    """Measure the memory of each kind of state."""
    small = [100, 400, 1_000, 2_000]
    accounts = _trace_memory(lambda n: Bench(accounts=n), [500, 1_000, 2_000, 4_000])
    targets = _trace_memory(lambda n: Bench(targets=n), TARGET_SIZES)
    peers = _trace_memory(lambda n: Bench(peers=n), [8, 100, 200, FULL_PEERS])
    return [
        fit("memory, account", "B", "account", accounts),
        fit("memory, target", "B", "target", targets),
        fit("memory, peer", "B", "peer", peers),
        fit("memory, key record", "B", "record", _trace_memory(_make_records, small)),
        fit("memory, open request in the core", "B", "request", _trace_memory(_make_open, small)),
    ]


def measure_messages() -> list[Series]:
    """Measure bytes and processor time of the frames between instances."""
    sizes = [0, 2, 8, 32]
    beats = {n: _make_beat("entry-005", [_make_load(i) for i in range(n)], 7) for n in sizes}
    frames = {n: _close_frame("entry-005", beat) for n, beat in beats.items()}
    return [
        fit("heartbeat, bytes", "B", "load in it", {n: [float(len(f))] for n, f in frames.items()}),
        fit("heartbeat, encode", "us", "load in it", sample(
            sizes, lambda n: lambda: _time(lambda: _close_frame("entry-005", beats[n])))),
        fit("heartbeat, decode", "us", "load in it", sample(
            sizes, lambda n: lambda: _time(lambda: decode_frame(SIGNER.verify(frames[n][4:]))))),
    ]  # fmt: skip


def _close_frame(sender: str, message: Message) -> bytes:
    return SIGNER.sign(encode_frame(sender, message))


def list_message_bytes() -> dict[str, int]:
    """Give the bytes of the frames of one slot."""
    attempt = f"{OWN}-18bcfe56800-1a2b"
    messages: list[Message] = [
        SlotRequest(
            attempt=attempt,
            instance=OWN,
            incarnation=1_700_000_000_000,
            target="engine-000",
            account="account-00001",
            max_wait=1.0,
        ),
        SlotReply(attempt=attempt, target="engine-000", boot_id="1f3c9a77", load=7, limit=9),
        SlotRelease(
            attempt=attempt, target="engine-000", completed=True, first_byte=0.1, total=1.0
        ),
    ]
    return {type(m).__name__: len(_close_frame(OWN, m)) for m in messages}
