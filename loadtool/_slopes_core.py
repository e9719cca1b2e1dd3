"""Measures the core of an instance in one process, without sockets.

It measures the processor time of handling events, the memory of the state, and the size and
processor time of messages between instances, at growing sizes of the deployment.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import msgspec

from loadtool._core_driver import (
    MODEL,
    OWN_ID,
    CoreDriver,
    list_members,
    make_configuration,
    make_heartbeat,
    make_key_digest,
    make_load_report,
    make_target_load,
)
from loadtool._slopes_fit import MICROSECONDS_PER_S, Series, fit_line, sample_sizes
from rhubarbbend.core import events
from rhubarbbend.core.configuration import Account
from rhubarbbend.core.messages import (
    Message,
    SlotRelease,
    SlotReply,
    SlotRequest,
)
from rhubarbbend.peers import FrameAuthenticator, decode_frame, encode_frame

# Signs frames as the connections between instances do.
FRAME_AUTHENTICATOR = FrameAuthenticator(b"a secret of the slopes")
REPEATS: Final = 200
FULL_ACCOUNTS: Final = 35_000
FULL_TARGETS: Final = 950
FULL_PEERS: Final = 400
FULL_SERVICES: Final = 25


def _measure_call_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one call in microseconds."""
    call()
    gc.collect()
    gc.disable()
    started = time.process_time_ns()
    for _ in range(repeats):
        call()
    spent = time.process_time_ns() - started
    gc.enable()
    return spent / repeats / 1e9 * MICROSECONDS_PER_S


TARGET_SIZES: Final = [38, 150, 475, 950]
ACCOUNT_SIZES: Final = [1_000, 8_000, 20_000, FULL_ACCOUNTS]


def _prepare_owner(targets: int) -> Callable[[], float]:
    driver = CoreDriver(targets=targets, services=max(1, targets // 38))
    target = next(t for t in driver.owned_targets if t.startswith("engine"))

    def run() -> None:
        driver.request_number += 1
        attempt = f"{OWN_ID}-x-{driver.request_number}"
        driver.handle_message(
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
        driver.handle_message("entry-005", release)

    return lambda: _measure_call_us(run)


def _prepare_heartbeat(loads: int) -> Callable[[], float]:
    driver = CoreDriver(targets=max(38, loads), peers=12)
    heartbeat = make_heartbeat(
        "entry-005", [make_target_load(n) for n in range(loads)], driver.version
    )
    return lambda: _measure_call_us(lambda: driver.handle_message("entry-005", heartbeat))


def _prepare_change(accounts: int) -> Callable[[], float]:
    driver = CoreDriver(accounts=accounts)
    change = [("account", "account-00001", msgspec.json.encode(Account("account-00001", "a" * 64)))]
    return lambda: _measure_call_us(lambda: driver.apply_change(change), 50)


def _prepare_claim(records: int) -> Callable[[], float]:
    driver = CoreDriver()
    for _ in range(records):
        driver.run_command()
    return lambda: _measure_call_us(driver.run_command, 100)


def _prepare_list_read(targets: int) -> Callable[[], float]:
    peers = targets * FULL_PEERS // FULL_TARGETS
    driver = CoreDriver(targets=targets, peers=peers)
    event = events.ListRead(list_members(targets, peers, 1))
    return lambda: _measure_call_us(lambda: driver.handle(event), 10)


def measure_decisions() -> list[Series]:
    """Measure the processor time of handling each kind of event at several sizes."""
    chat = sample_sizes(TARGET_SIZES, lambda n: _prepare_chat(CoreDriver(targets=n)))
    chat_in_small_services = sample_sizes(
        TARGET_SIZES, lambda n: _prepare_chat(CoreDriver(targets=n, services=max(1, n // 38)))
    )
    report = sample_sizes(TARGET_SIZES, _prepare_report)
    owner = sample_sizes(TARGET_SIZES, _prepare_owner)
    claim = sample_sizes([0, 2_000, 6_000, 12_000], _prepare_claim, 3)
    return [
        fit_line("chat, entry, targets of its service", "us", "target", chat),
        fit_line("chat, entry, 38 targets a service", "us", "target", chat_in_small_services),
        fit_line("slot granted and released, owner", "us", "target", owner),
        fit_line("load report of an owned target", "us", "target", report),
        fit_line("heartbeat heard", "us", "load in it",
                 sample_sizes([2, 8, 32, 128], _prepare_heartbeat)),
        fit_line("configuration change", "us", "account",
                 sample_sizes(ACCOUNT_SIZES, _prepare_change)),
        fit_line("command, entry, with claim", "us", "key record", claim),
        fit_line("list read", "us", "target", sample_sizes(TARGET_SIZES, _prepare_list_read)),
    ]  # fmt: skip


def _prepare_chat(driver: CoreDriver) -> Callable[[], float]:
    return lambda: _measure_call_us(driver.run_chat)


def _prepare_report(targets: int) -> Callable[[], float]:
    driver = CoreDriver(targets=targets, services=max(1, targets // 38))
    event = make_load_report(next(t for t in driver.owned_targets if t.startswith("engine")))
    return lambda: _measure_call_us(lambda: driver.handle(event))


def measure_full_size() -> dict[str, float]:
    """Return the processor time in microseconds of each kind of event at the full design size."""
    driver = CoreDriver(FULL_ACCOUNTS, FULL_TARGETS, FULL_PEERS, FULL_SERVICES)
    report = make_load_report(next(t for t in driver.owned_targets if t.startswith("engine")))
    heartbeat = make_heartbeat("entry-005", [make_target_load(n) for n in range(3)], driver.version)
    listed = events.ListRead(list_members(FULL_TARGETS, FULL_PEERS, FULL_SERVICES))
    full_configuration = make_configuration(FULL_ACCOUNTS, FULL_SERVICES)
    return {
        "chat, entry": _measure_call_us(driver.run_chat),
        "command, entry": _measure_call_us(driver.run_command),
        "load report": _measure_call_us(lambda: driver.handle(report)),
        "heartbeat heard": _measure_call_us(lambda: driver.handle_message("entry-005", heartbeat)),
        "list read": _measure_call_us(lambda: driver.handle(listed), 10),
        "one second of timers": _measure_call_us(lambda: _run_timers(driver), 20),
        "whole configuration at a start": _measure_call_us(
            lambda: CoreDriver().apply_change(full_configuration), 1
        ),
    }


def _run_timers(driver: CoreDriver) -> None:
    driver.now += 1.0
    driver.handle(events.TimerDue())


def _measure_allocated_bytes(
    make_state: Callable[[int], object], sizes: list[int]
) -> dict[float, list[float]]:
    """Return the bytes that states of each size occupy, as counted by the allocator."""
    samples: dict[float, list[float]] = {}
    for size in sizes:
        samples[size] = []
        for _ in range(2):
            gc.collect()
            tracemalloc.start()
            state = make_state(size)
            gc.collect()
            samples[size].append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            del state
    return samples


def _make_key_records(count: int) -> CoreDriver:
    driver = CoreDriver()
    for _ in range(count):
        driver.run_command()
    return driver


def _make_open_requests(count: int) -> CoreDriver:
    """Return a driver with requests in flight that hold slots and whose answers have begun."""
    driver = CoreDriver()
    for _ in range(count):
        driver.request_number += 1
        emitted = driver.handle(
            events.RequestArrived(
                f"r{driver.request_number}", make_key_digest(1), "", MODEL, "POST",
                "/v1/chat/completions", "d", 60.0, chat=f"chat-{driver.request_number}", tokens=500,
            )
        )  # fmt: skip
        driver.handle(events.AttemptHead(driver._acquire_slot(emitted).attempt, 200, 0.1))
    return driver


def measure_memory() -> list[Series]:
    """Measure the memory that each kind of state occupies at several sizes."""
    small = [100, 400, 1_000, 2_000]
    accounts = _measure_allocated_bytes(
        lambda n: CoreDriver(accounts=n), [500, 1_000, 2_000, 4_000]
    )
    targets = _measure_allocated_bytes(lambda n: CoreDriver(targets=n), TARGET_SIZES)
    peers = _measure_allocated_bytes(lambda n: CoreDriver(peers=n), [8, 100, 200, FULL_PEERS])
    return [
        fit_line("memory, account", "B", "account", accounts),
        fit_line("memory, target", "B", "target", targets),
        fit_line("memory, peer", "B", "peer", peers),
        fit_line(
            "memory, key record", "B", "record", _measure_allocated_bytes(_make_key_records, small)
        ),
        fit_line(
            "memory, open request in the core",
            "B",
            "request",
            _measure_allocated_bytes(_make_open_requests, small),
        ),
    ]


def measure_messages() -> list[Series]:
    """Measure the size and processor time of heartbeat frames between instances."""
    sizes = [0, 2, 8, 32]
    heartbeats = {
        n: make_heartbeat("entry-005", [make_target_load(i) for i in range(n)], 7) for n in sizes
    }
    frames = {n: _sign_frame("entry-005", heartbeat) for n, heartbeat in heartbeats.items()}
    return [
        fit_line("heartbeat, bytes", "B", "load in it",
                 {n: [float(len(f))] for n, f in frames.items()}),
        fit_line("heartbeat, encode", "us", "load in it", sample_sizes(
            sizes, lambda n: lambda: _measure_call_us(
                lambda: _sign_frame("entry-005", heartbeats[n])))),
        fit_line("heartbeat, decode", "us", "load in it", sample_sizes(
            sizes, lambda n: lambda: _measure_call_us(
                lambda: decode_frame(FRAME_AUTHENTICATOR.verify(frames[n][4:]))))),
    ]  # fmt: skip


def _sign_frame(sender: str, message: Message) -> bytes:
    return FRAME_AUTHENTICATOR.sign(encode_frame(sender, message))


def measure_message_bytes() -> dict[str, int]:
    """Return the sizes in bytes of the frames for one slot, by message class."""
    attempt = f"{OWN_ID}-18bcfe56800-1a2b"
    messages: list[Message] = [
        SlotRequest(
            attempt=attempt,
            instance=OWN_ID,
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
    return {type(m).__name__: len(_sign_frame(OWN_ID, m)) for m in messages}
