"""Callers of a soak run that read slowly or not at all, and what instances hold for them meanwhile.

Answers are lengthened in such a run, and instances have little memory. Most of these callers come
to one instance, then to the next.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

import attrs

from loadtool._gateway_config import HOST, KEY
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_checks import RequestOutcome, RunRecord

# The memory of an instance, and the sizes of answers and events. An instance takes about 30 MB for
# itself, and holds 48 KB of each answer that is not read.
MEMORY_MB: Final = 40
BODY_BYTES: Final = 60_000
EVENT_BYTES: Final = 16_000
UNREAD_TIMEOUT_S: Final = 3.0
# How long most of them go to one instance.
CROWDED_S: Final = 4.0
CROWDED_SHARE: Final = 0.8
MEAN_INTERVAL_S: Final = 0.015
SLOW_SHARE: Final = 0.1
# What a slow one reads at once and how long it waits then: 80 KB/s.
SLOW_READ_BYTES: Final = 4_096
SLOW_PAUSE_S: Final = 0.05
RECEIVE_BUFFER_BYTES: Final = 8_192
MAX_HELD_OPEN_S: Final = 14.0
DEADLINE_MS: Final = "6000"
SAMPLE_INTERVAL_S: Final = 0.1
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


@attrs.define(slots=True)
class SoakReading:
    """Sends such requests and samples the resident sizes of the instances."""

    _fleet: GatewayFleet
    _record: RunRecord
    _random: random.Random
    # Those that read slowly, and how many read nothing.
    _slow: list[RequestOutcome] = attrs.Factory(list)
    _unread: int = 0
    _whole: int = 0
    _peaks: dict[str, int] = attrs.Factory(dict)

    async def run(self, until: float) -> None:
        """Send such requests until a Unix time."""
        sampling = asyncio.create_task(self._sample())
        started_at = time.time()
        names = sorted(self._fleet.instances)
        calls: list[asyncio.Task[None]] = []
        while time.time() < until - MAX_HELD_OPEN_S / 2:
            crowded = names[int((time.time() - started_at) / CROWDED_S) % len(names)]
            is_crowded = self._random.random() < CROWDED_SHARE
            name = crowded if is_crowded else self._random.choice(names)
            calls.append(asyncio.create_task(self._call(name, len(calls))))
            await asyncio.sleep(self._random.expovariate(1.0 / MEAN_INTERVAL_S))
        await asyncio.gather(*calls)
        sampling.cancel()

    async def _call(self, instance: str, number: int) -> None:
        kind = self._random.choice(("read", "chat", "plan"))
        path = f"/read/unread-{number}" if kind == "read" else f"/{kind}/unread-{number}/stream"
        body = b"" if kind == "read" else b"unread %d" % number
        attempt = self._fleet.make_attempt_id()
        outcome = RequestOutcome(attempt, kind, instance, KEY, path, body, time.time())
        outcome.was_left = True
        self._record.outcomes.append(outcome)
        is_slow = self._random.random() < SLOW_SHARE
        if is_slow:
            self._slow.append(outcome)
        else:
            self._unread += 1
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            client.setblocking(False)
            try:
                async with asyncio.timeout(MAX_HELD_OPEN_S):
                    await self._send(client, outcome)
                    if is_slow:
                        is_whole = await _read_slowly(client, outcome)
                        self._whole += is_whole
                    else:
                        await asyncio.Event().wait()
            except (OSError, TimeoutError):
                pass
        outcome.ended_at = time.time()

    async def _send(self, client: socket.socket, outcome: RequestOutcome) -> None:
        method = "POST" if outcome.body else "GET"
        lines = [f"{method} {outcome.path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {outcome.id}"]
        lines += [f"X-Api-Key: {KEY}", f"Deadline-Ms: {DEADLINE_MS}", "Connection: close"]
        lines += [f"Content-Length: {len(outcome.body)}"] if outcome.body else []
        data = "\r\n".join([*lines, "", ""]).encode() + outcome.body
        loop = asyncio.get_running_loop()
        address = self._fleet.instances[outcome.instance].front_address
        await loop.sock_connect(client, address)
        await loop.sock_sendall(client, data)

    async def _sample(self) -> None:
        while True:
            for name, node in self._fleet.instances.items():
                if node.process is not None:
                    size = read_resident_size(node.process.pid)
                    self._peaks[name] = max(self._peaks.get(name, 0), size)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def find_violations(self) -> list[str]:
        """Return a line for each instance above its limit, and for slow callers that were ended."""
        violations = find_memory_violations(self._peaks, MEMORY_MB * 1024 * 1024)
        lines = self._list_lines("caller_ended")
        ended = {line["id"] for line in lines if line["reason"] == "not_reading"}
        return violations + find_slow_violations(self._slow, ended)

    def _list_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of the logs of all instances about an event."""
        names = self._fleet.instances
        lines = (line for name in names for line in self._fleet.read_log(name))
        return [line for line in lines if line["event"] == event]

    def describe(self) -> str:
        """Return the callers and the largest resident size of the run as a line."""
        peak = max(self._peaks.values(), default=0) / 1024 / 1024
        ended = Counter(line["reason"] for line in self._list_lines("caller_ended"))
        refused = sum(line["code"] == "memory_short" for line in self._list_lines("rejected"))
        return (
            f"callers that read nothing: {self._unread}, slowly: {len(self._slow)}, of them whole: "
            f"{self._whole}; ended: {dict(ended)}, refused for memory: {refused}; "
            f"largest instance: {peak:.1f} of {MEMORY_MB} MB"
        )


async def _read_slowly(client: socket.socket, outcome: RequestOutcome) -> bool:
    """Read a response part by part; return whether it was a whole answer of a target."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    while part := await loop.sock_recv(client, SLOW_READ_BYTES):
        received += part
        await asyncio.sleep(SLOW_PAUSE_S)
    outcome.status = int(bytes(received[9:12]) or 0)
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    return outcome.status == 200 and len(body) >= BODY_BYTES


def read_resident_size(pid: int) -> int:
    """Return the resident size of a process in bytes; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text("ascii").split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def find_memory_violations(peaks: dict[str, int], limit: int) -> list[str]:
    """Return a line for each instance whose resident size was above its limit, in bytes."""
    return [
        f"memory: {name} took {peak / 1024 / 1024:.1f} MB of {limit / 1024 / 1024:.0f}"
        for name, peak in peaks.items()
        if peak > limit
    ]


def find_slow_violations(slow: list[RequestOutcome], ended: set[str]) -> list[str]:
    """Return a line for each caller that read steadily and was ended as one that reads nothing."""
    return [
        f"reading: {outcome.id} read slowly and was ended as if it read nothing"
        for outcome in slow
        if outcome.id in ended
    ]
