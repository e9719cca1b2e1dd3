"""Crowds of clients that do not behave, and what a process holds while they are there."""

from __future__ import annotations

import abc
import asyncio
import os
import re
import socket
import struct
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import attrs

Address = tuple[str, int]

# How long a connection may take to be opened.
CONNECT_TIMEOUT_S: Final = 8.0
# How long it stays afterwards.
HOLD_S: Final = 1.5
SAMPLE_INTERVAL_S: Final = 0.05
RESETTING_LINGER: Final = struct.pack("ii", 1, 0)
# The largest body that the configuration of the tests allows, and the largest head.
BODY_BYTES: Final = 1_048_576
HEAD_BYTES: Final = 16_384


@attrs.define(slots=True, frozen=True)
class Door:
    """Where a crowd sends its requests: a path at one of an instance's addresses.

    `fields` are header fields of each request, each line with its end.
    """

    name: str
    address: Address
    path: str
    fields: str

    def make_head(self, method: str, number: int, *fields: str) -> bytes:
        """Return the head of the request that one connection sends, with extra fields."""
        lines = "".join(f"{field}\r\n" for field in fields)
        start = f"{method} {self.path} HTTP/1.1\r\nHost: chats.example\r\n"
        return f"{start}Attempt-Id: crowd-{number}\r\n{self.fields}{lines}\r\n".encode()


class Crowd(abc.ABC):
    """Many connections that send alike, read nothing and stay open."""

    # How many connections there are, and how many of them are opened at the same time.
    size = 60
    connect_batch = 100
    # How long the crowd may take to send; connections whose server does not read wait.
    send_timeout_s = 8.0

    @abc.abstractmethod
    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        """Return what one connection sends, in the parts in which it is written."""

    # Seconds between two parts.
    pause_s = 0.0

    async def run_client(self, client: socket.socket, door: Door, number: int) -> None:
        """Send all parts, until the server ends the connection."""
        loop = asyncio.get_running_loop()
        try:
            for part in self.list_parts(door, number):
                await loop.sock_sendall(client, part)
                await asyncio.sleep(self.pause_s)
        except OSError:
            # The server has closed the connection, as it may.
            pass


class LongBodies(Crowd):
    """Bodies of the largest legal size with a length, in one piece, one byte short."""

    size = 120

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, f"Content-Length: {BODY_BYTES}")
        return [head + b"x" * (BODY_BYTES - 1)]


class SmallPieces(Crowd):
    """The same in many small writes."""

    size = 120
    piece_bytes = 8_192

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, f"Content-Length: {BODY_BYTES}")
        pieces = BODY_BYTES // self.piece_bytes
        return [head, *[b"x" * self.piece_bytes] * (pieces - 1), b"x" * (self.piece_bytes - 1)]


class Bursts(Crowd):
    """Many legal bodies that arrive at the same moment, one byte short."""

    size = 1_000
    body_bytes = 120_000

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, f"Content-Length: {self.body_bytes}")
        return [head + b"x" * (self.body_bytes - 1)]


class SmallChunks(Crowd):
    """Legal bodies in chunks of two bytes, without their end."""

    chunks = 262_144

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, "Transfer-Encoding: chunked")
        return [head + b"2\r\nxx\r\n" * self.chunks]


class TooLongBodies(Crowd):
    """Bodies far over the limit, with a length."""

    total_bytes = 50 * 1024 * 1024
    part_bytes = 262_144

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, f"Content-Length: {self.total_bytes}")
        return [head, *[b"x" * self.part_bytes] * (self.total_bytes // self.part_bytes)]


class TooLongChunkedBodies(TooLongBodies):
    """Bodies far over the limit, in chunks."""

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("POST", number, "Transfer-Encoding: chunked")
        chunk = f"{self.part_bytes:x}\r\n".encode() + b"x" * self.part_bytes + b"\r\n"
        return [head, *[chunk] * (self.total_bytes // self.part_bytes)]


class ManyFields(Crowd):
    """Heads of legal size made of very many short fields, before a body one byte short."""

    size = 300

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        fields = ["a:b"] * ((HEAD_BYTES - 1_024) // 5)
        return [door.make_head("POST", number, *fields, "Content-Length: 2") + b"x"]


class UnfinishedHeads(Crowd):
    """Heads that stop short of their end."""

    size = 2_000

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("GET", number, "a: " + "x" * (HEAD_BYTES - 1_024))
        return [head[:-4]]


class RequestsAhead(Crowd):
    """Many requests sent ahead on each connection; no answer is read."""

    size = 400
    requests = 10_000

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        return [door.make_head("GET", number) * self.requests]


class DataBehindRequests(Crowd):
    """Requests that run for a while, each with other requests behind it; no answer is read."""

    size = 900

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        head = door.make_head("GET", number)
        return [head + head * (60_000 // len(head))]


class SlowSenders(Crowd):
    """Heads of which a byte is sent now and then."""

    size = 1_400
    pause_s = 0.25

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        return [bytes([byte]) for byte in door.make_head("GET", number)]


class SilentConnections(Crowd):
    """Connections on which nothing is sent."""

    size = 1_400

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        return []


class SuddenConnections(SilentConnections):
    """The same, opened at the same moment."""

    size = 1_400
    connect_batch = 1_400


class WaitingForContinue(Crowd):
    """Heads that ask whether a large body may be sent, without the body."""

    size = 1_400

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        fields = (f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")
        return [door.make_head("POST", number, *fields)]


class UnreadAnswers(Crowd):
    """Requests whose answers, large ones on a route, are not read."""

    size = 400

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        return [door.make_head("GET", number)]


class SlowReaders(UnreadAnswers):
    """Requests whose answers are read a little at a time."""

    async def run_client(self, client: socket.socket, door: Door, number: int) -> None:
        """Send the request, then read slowly until the answer or the connection ends."""
        await super().run_client(client, door, number)
        loop = asyncio.get_running_loop()
        try:
            while await loop.sock_recv(client, 256):
                await asyncio.sleep(0.25)
        except OSError:
            # The server has closed the connection, as it may.
            pass


class LongLists(Crowd):
    """Whole requests with a list of very many entries in one field; no answer is read."""

    size = 300

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        entries = ",".join(f"{entry:x}:1" for entry in range(2_200))
        fields = ("Content-Length: 2", f"Prefix-Hash: {number:x}:1,{entries}")
        return [door.make_head("POST", number, *fields) + b"hi"]


class LongPromptIds(Crowd):
    """Whole requests one after another, each with a prompt part of its own whose id is long."""

    requests = 100
    send_timeout_s = 40.0

    def list_parts(self, door: Door, number: int) -> Sequence[bytes]:
        ids = (
            f"{number:x}f{request:x}f".ljust(HEAD_BYTES - 1_024, "a")
            for request in range(self.requests)
        )
        return [
            door.make_head("POST", number, "Content-Length: 2", f"Prefix-Hash: {id_}:1,b:1") + b"hi"
            for id_ in ids
        ]

    async def run_client(self, client: socket.socket, door: Door, number: int) -> None:
        """Send the next request once an answer has arrived, until one is a refusal."""
        loop = asyncio.get_running_loop()
        try:
            for part in self.list_parts(door, number):
                await loop.sock_sendall(client, part)
                received = b""
                while not received.endswith(b"0\r\n\r\n"):
                    data = await loop.sock_recv(client, 65_536)
                    received += data
                    if not data or not received.startswith(b"HTTP/1.1 200"):
                        return
        except OSError:
            # The server has closed the connection, as it may.
            pass


@attrs.define(slots=True)
class ProcessUse:
    """The most that a process has used; `open_files` is as of the samples that were taken."""

    pid: int
    open_files: int = 0

    def sample(self) -> None:
        """Count the open file descriptors."""
        self.open_files = max(self.open_files, len(os.listdir(f"/proc/{self.pid}/fd")))

    @property
    def peak_resident_bytes(self) -> int:
        """Return the peak resident size since the start of the process."""
        status = Path(f"/proc/{self.pid}/status").read_text("ascii")
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        # A process that has ended has none.
        assert found is not None, status
        return int(found[1]) * 1024


async def run_crowd(crowd: Crowd, door: Door, use: ProcessUse) -> None:
    """Have a crowd connect and send, keep it there for a moment, and reset its connections."""
    clients: list[socket.socket] = []
    senders: list[asyncio.Task[None]] = []
    sampler = asyncio.create_task(_sample(use))
    try:
        for first in range(0, crowd.size, crowd.connect_batch):
            count = min(crowd.connect_batch, crowd.size - first)
            clients += await asyncio.gather(*(_connect(door.address) for _ in range(count)))
        senders += [
            asyncio.create_task(crowd.run_client(client, door, number))
            for number, client in enumerate(clients)
        ]
        if senders:
            await asyncio.wait(senders, timeout=crowd.send_timeout_s)
        await asyncio.sleep(HOLD_S)
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        for client in clients:
            client.close()
        sampler.cancel()


async def _connect(address: Address) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(client, address)
    except OSError:
        # The server accepts no more; the client stays without a connection.
        pass
    return client


async def _sample(use: ProcessUse) -> None:
    while True:
        use.sample()
        await asyncio.sleep(SAMPLE_INTERVAL_S)
