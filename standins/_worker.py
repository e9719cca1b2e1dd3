"""A stand-in of the users' workers, plain and model ones, down to the bytes of their faults.

A request whose path ends in `stream` is answered with events, any other with a body; both follow
from the request's own body alone, so that a run resumed at another worker goes on with the same
events. Faults are set by `POST /admin/faults` with any of the fields of `Faults`;
`GET /admin/stats` tells what has run.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import time
from collections import Counter

import h11
import msgspec

EXIT_CRASHED = 70
READ_SIZE = 65_536


class Faults(msgspec.Struct):
    """What goes wrong at present, and how the worker works."""

    delay: float = 0.0
    events: int = 5
    event_gap: float = 0.02
    # Answer with this status instead of 200; the request has run.
    status: int = 0
    # Say that the request was not run.
    reject: bool = False
    # Take requests and never answer.
    hang: bool = False
    # End the connection after so many events, in the middle of the next; -1: never.
    cut_after: int = -1
    # Stop sending after so many events and keep the connection open; -1: never.
    stall_after: int = -1
    # Send an answer to another request first, or a second answer after each.
    stray: bool = False
    extra: bool = False
    # Send bytes that are no answer, or an answer without a seal.
    garbage: bool = False
    unsealed: bool = False
    # Break off a body of a given length, or send one that ends with its connection.
    truncate: bool = False
    unframed: bool = False
    # Answer before the body has been read, and read it later.
    early: bool = False
    # End the process when a body holds this text.
    crash_on: str = ""
    # Close a connection when it brings a second request, without running that.
    drop_idle: bool = False
    # Begin each stream with its first event, also one that is to be resumed.
    repeat_events: bool = False


class Seen(msgspec.Struct):
    """A request that reached this worker; `ran` tells whether it ran it."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: str
    ran: bool
    instance: str = ""


class Arrival(msgspec.Struct):
    """A line of the file of arrivals: a request reached a worker at a Unix time."""

    id: str
    worker: str
    at: float
    ran: bool
    method: str
    target: str
    account: str


class Stats(msgspec.Struct):
    """Figures since the start."""

    seen: list[Seen] = []
    runs: dict[str, int] = {}
    running: int = 0
    most_running: int = 0
    cancelled: int = 0


def make_event(body: bytes, number: int) -> bytes:
    """Make an event of the stream that a request's body asks for."""
    word = hashlib.blake2b(body + str(number).encode(), digest_size=6).hexdigest()
    return f"id: {number}\ndata: {word}\n\n".encode()


def make_body(body: bytes, target: str) -> bytes:
    """Make the whole answer to a request."""
    return hashlib.blake2b(body + target.encode(), digest_size=32).hexdigest().encode()


class Worker:
    """One worker on one port."""

    def __init__(self, name: str, arrivals: str = "") -> None:
        self._name = name
        # Arrivals are written as they come, so that they outlive this process.
        self._arrivals = open(arrivals, "ab", buffering=0) if arrivals else None  # noqa: SIM115
        self._faults = Faults()
        self._seen: list[Seen] = []
        self._runs: Counter[str] = Counter()
        self._stats = Stats()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; returns the port in use."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = h11.Connection(h11.SERVER)
        first = True
        try:
            while await self._serve_one(conn, reader, writer, first):
                conn.start_next_cycle()
                first = False
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bool,
    ) -> bool:
        head = await _read_event(conn, reader)
        if not isinstance(head, h11.Request) or (self._faults.drop_idle and not first):
            return False
        headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
        target = head.target.decode()
        if self._faults.early and not target.startswith("/admin/"):
            await self._answer_early(conn, headers, reader, writer)
            return False
        body = await _read_body(conn, reader)
        if target.startswith("/admin/"):
            return _finish(conn, writer, 200, [], self._serve_admin(target, body))
        return await self._serve_request(conn, head, headers, body, reader, writer)

    def _serve_admin(self, target: str, body: bytes) -> bytes:
        if target == "/admin/faults":
            for field, value in msgspec.json.decode(body).items():
                setattr(self._faults, field, value)
            return b"{}"
        self._stats.seen = self._seen
        self._stats.runs = dict(self._runs)
        return msgspec.json.encode(self._stats)

    async def _serve_request(
        self,
        conn: h11.Connection,
        head: h11.Request,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        request = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self._name)
        runs = expected == self._name and not faults.reject
        target = head.target.decode()
        method = head.method.decode()
        self._seen.append(Seen(request, method, target, headers, body.decode("latin-1"), runs))
        if self._arrivals is not None:
            account = headers.get("tenant", "")
            line = Arrival(request, self._name, time.time(), runs, method, target, account)
            self._arrivals.write(msgspec.json.encode(line) + b"\n")
        echo = [("Attempt-Id", request)]
        if expected != self._name:
            return _finish(conn, writer, 421, [*echo, ("Instance-Id", self._name)], b"")
        if faults.reject:
            return _finish(conn, writer, 503, [*echo, ("Not-Executed", "1")], b"")
        self._runs[request] += 1
        if faults.crash_on and faults.crash_on.encode() in body:
            os._exit(EXIT_CRASHED)
        self._stats.running += 1
        self._stats.most_running = max(self._stats.most_running, self._stats.running)
        work = asyncio.ensure_future(self._answer(conn, headers, target, body, writer))
        watch = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self._stats.cancelled += 1
                return False
            return work.result() and not watch.done()
        finally:
            self._stats.running -= 1
            work.cancel()
            watch.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)

    async def _answer(
        self,
        conn: h11.Connection,
        headers: dict[str, str],
        target: str,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        if faults.hang:
            await asyncio.Event().wait()
        await asyncio.sleep(faults.delay)
        request = headers.get("attempt-id", "")
        load = f"{self._stats.running},0,6"
        sent = [("Attempt-Id", request), ("Response-Seal", f"seal-{self._name}")]
        sent.append(("Server-Load", load))
        if faults.unsealed:
            del sent[1]
        if faults.garbage:
            writer.write(b"\x00\x01 these bytes are no answer\r\n\r\n")
            return False
        if faults.stray:
            writer.write(_make_stray())
        if faults.status:
            return _finish(conn, writer, faults.status, sent, b"failed")
        if target.partition("?")[0].endswith("stream"):
            return await self._stream(conn, sent, headers, body, writer)
        return self._answer_whole(conn, sent, make_body(body, target), writer)

    def _answer_whole(
        self,
        conn: h11.Connection,
        sent: list[tuple[str, str]],
        text: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        if faults.unframed:
            writer.write(b"HTTP/1.1 200 OK\r\n" + _join(sent) + b"Connection: close\r\n\r\n" + text)
            return False
        if faults.truncate:
            length = ("Content-Length", str(len(text)))
            writer.write(b"HTTP/1.1 200 OK\r\n" + _join([*sent, length]) + b"\r\n" + text[:10])
            return False
        kept = _finish(conn, writer, 200, sent, text)
        if faults.extra:
            writer.write(_make_stray())
        return kept

    async def _stream(
        self,
        conn: h11.Connection,
        sent: list[tuple[str, str]],
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        resumed = 0 if faults.repeat_events else int(headers.get("last-event-id", "0"))
        first = resumed + 1
        content = ("Content-Type", "text/event-stream")
        writer.write(conn.send(_make_head(200, [*sent, content])) or b"")
        for number in range(first, faults.events + 1):
            event = make_event(body, number)
            done = number - first
            if done == faults.cut_after:
                writer.write(conn.send(h11.Data(data=event[:8])) or b"")
                await writer.drain()
                return False
            if done == faults.stall_after:
                await asyncio.Event().wait()
            writer.write(conn.send(h11.Data(data=event)) or b"")
            await writer.drain()
            await asyncio.sleep(faults.event_gap)
        writer.write(conn.send(h11.EndOfMessage()) or b"")
        return True

    async def _answer_early(
        self,
        conn: h11.Connection,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer from the head alone, and read what is left of the body afterwards."""
        sent = [("Attempt-Id", headers.get("attempt-id", "")), ("Not-Executed", "1")]
        writer.write(conn.send(_make_head(503, [*sent, ("Content-Length", "0")])) or b"")
        writer.write(conn.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        body = await _read_body(conn, reader)
        seen = Seen(headers.get("attempt-id", ""), "", "", headers, body.decode("latin-1"), False)
        self._seen.append(seen)


def _make_head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    raw = [(k.encode(), v.encode("latin-1")) for k, v in headers]
    return h11.Response(status_code=status, headers=raw)


def _join(headers: list[tuple[str, str]]) -> bytes:
    return b"".join(f"{name}: {value}\r\n".encode("latin-1") for name, value in headers)


def _make_stray() -> bytes:
    text = b"an answer to somebody else"
    headers = [
        ("Attempt-Id", "another-request"),
        ("Response-Seal", "seal"),
        ("Content-Length", str(len(text))),
    ]
    return b"HTTP/1.1 200 OK\r\n" + _join(headers) + b"\r\n" + text


def _finish(
    conn: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bool:
    head = _make_head(status, [*headers, ("Content-Length", str(len(body)))])
    for event in (head, h11.Data(data=body), h11.EndOfMessage()):
        writer.write(conn.send(event) or b"")
    return True


async def _read_event(conn: h11.Connection, reader: asyncio.StreamReader) -> object:
    while True:
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        conn.receive_data(await reader.read(READ_SIZE))


async def _read_body(conn: h11.Connection, reader: asyncio.StreamReader) -> bytes:
    parts: list[bytes] = []
    while True:
        event = await _read_event(conn, reader)
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise ConnectionResetError


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of a worker."""
    parser.add_argument("--name", required=True, help="the id that requests have to expect")
    parser.add_argument("--arrivals", default="", help="a file to which arrivals are appended")


def make_worker(options: argparse.Namespace) -> Worker:
    """Make a worker from its options."""
    return Worker(options.name, options.arrivals)
