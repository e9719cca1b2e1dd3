"""Stand-in for the users' workers (targets), with faults down to the bytes of their responses.

It stands for both model workers and plain ones. A request whose path ends in `stream` gets a
stream of events, any other a response body. Both depend only on the request, never on the worker,
so that a stream resumed at another worker continues with the same events.
`POST /admin/faults` sets any of the fields of `Faults`; `GET /admin/stats` returns what was
received and executed. It uses h11 directly, because some faults are invalid HTTP.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import time
from collections import Counter

import h11
import msgspec

from standins._worker_floods import send_flood
from standins._worker_responses import (
    BodyWriter,
    make_stray_response,
    read_body,
    read_event,
    respond_early,
    send_part_of_head,
    send_report,
    send_response,
)
from standins._worker_slots import (
    SlotRequest,
    SlotTable,
    compute_pace,
    format_load,
    parse_priority,
)
from standins._worker_types import (
    Arrival,
    Faults,
    ReceivedRequest,
    Stats,
    make_response_body,
    make_stream_event,
    make_unserved,
)

EXIT_CRASHED = 70
HEALTH_PATH = "/health"
REPORT_PATH = "/report"


class Worker:
    """A worker that listens on one port."""

    def __init__(self, name: str, arrivals: str = "", born: int = 0) -> None:
        self._name = name
        # When it started, in Unix milliseconds, as in its registration; 0 to state nothing.
        self._born = born
        # Arrivals are written without a buffer, so that they survive a crash of this process.
        self._arrivals = open(arrivals, "ab", buffering=0) if arrivals else None  # noqa: SIM115
        self._faults = Faults()
        self._received: list[ReceivedRequest] = []
        self._runs: Counter[str] = Counter()
        self._stats = Stats()
        self._slots = SlotTable()
        self._rejected_at: list[float] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections; port 0 picks a free one. Return the port in use."""
        self._server = await asyncio.start_server(self._handle_connection, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = h11.Connection(h11.SERVER)
        is_first = True
        if 0 <= self._faults.find_max_connections(time.time()) <= len(self._writers):
            await asyncio.sleep(self._faults.reset_delay)
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._handle_next_request(conn, reader, writer, is_first):
                conn.start_next_cycle()
                is_first = False
        except (ConnectionError, h11.RemoteProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_next_request(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_first: bool,
    ) -> bool:
        """Handle one request; return False if the connection must be closed afterwards."""
        head = await read_event(conn, reader)
        if not isinstance(head, h11.Request) or (self._faults.drop_idle and not is_first):
            return False
        headers = {k.decode(): v.decode("latin-1") for k, v in head.headers}
        target = head.target.decode()
        if self._faults.early and not target.startswith("/admin/"):
            late_body = await respond_early(conn, headers, reader, writer)
            self._received.append(make_unserved(headers, late_body))
            return False
        body = await read_body(conn, reader)
        if target.startswith("/admin/"):
            return send_response(conn, writer, 200, [], self._handle_admin(target, body))
        if target == HEALTH_PATH:
            return send_response(conn, writer, 200, [("Instance-Id", self._name)], b"")
        if target == REPORT_PATH:
            return send_report(conn, writer, self._slots.running, self._born)
        return await self._handle_request(conn, head, headers, body, reader, writer)

    def _handle_admin(self, target: str, body: bytes) -> bytes:
        if target == "/admin/faults":
            for field, value in msgspec.json.decode(body).items():
                setattr(self._faults, field, value)
            return b"{}"
        self._stats.seen = self._received
        self._stats.runs = dict(self._runs)
        self._stats.running = self._slots.running
        self._stats.most_running = self._slots.most_running
        return msgspec.json.encode(self._stats)

    async def _handle_request(
        self,
        conn: h11.Connection,
        head: h11.Request,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        attempt_id = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self._name)
        has_no_room = 0 <= faults.room <= self._slots.running or self._slots.is_full(faults)
        is_full = faults.reject or has_no_room
        will_run = expected == self._name and not is_full
        method, target = head.method.decode(), head.target.decode()
        received = ReceivedRequest(
            attempt_id, method, target, headers, body.decode("latin-1"), will_run
        )
        self._received.append(received)
        crashes = will_run and self._is_crashed_by(headers, body)
        arrival = self._make_arrival(received, expected, crashes)
        id_headers = [("Attempt-Id", attempt_id), *self._make_notices()]
        if crashes or not will_run:
            self._write_arrival(arrival)
        if expected != self._name:
            return send_response(conn, writer, 421, [*id_headers, ("Instance-Id", self._name)], b"")
        if is_full:
            self._rejected_at.append(time.monotonic())
            if self._is_overwhelmed():
                os._exit(EXIT_CRASHED)
            return self._send_rejection(conn, writer, id_headers)
        if crashes:
            self._runs[attempt_id] += 1
            return await self._crash(conn, headers, target, body, writer)
        received.ran = arrival.ran = False
        slot = self._slots.add(parse_priority(headers.get("request-priority", "")), faults)
        arrival.waited = not slot.granted.is_set()
        try:
            return await self._run(conn, received, arrival, slot, reader, writer)
        finally:
            self._slots.remove(slot, self._faults)
            if not arrival.ran:
                self._write_arrival(arrival)

    def _is_crashed_by(self, headers: dict[str, str], body: bytes) -> bool:
        faults = self._faults
        if faults.crash_on and faults.crash_on.encode() in body:
            return True
        parts = [entry.partition(":")[0] for entry in headers.get("prefix-hash", "").split(",")]
        return not set(faults.crash_on_parts).isdisjoint(parts[:-1])

    async def _crash(
        self,
        conn: h11.Connection,
        headers: dict[str, str],
        target: str,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Crash, or become a new incarnation; in a stream, after the events that are to be sent."""
        faults = self._faults
        await asyncio.sleep(faults.crash_delay)
        if faults.crash_after_events >= 0 and target.endswith("stream"):
            id_headers = [("Attempt-Id", headers.get("attempt-id", ""))]
            response = BodyWriter(conn, writer, faults.unframed)
            response.start([*id_headers, ("Response-Seal", f"seal-{self._name}")])
            for number in range(1, faults.crash_after_events + 1):
                await response.write(make_stream_event(body, number))
            await asyncio.sleep(faults.event_gap)
        if faults.crash_silently:
            os.kill(os.getpid(), signal.SIGSTOP)
        if not faults.reborn_as:
            os._exit(EXIT_CRASHED)
        self._name = faults.reborn_as
        if self._born:
            self._born += 1
        for other in list(self._writers):
            other.transport.abort()
        return False

    async def _run(
        self,
        conn: h11.Connection,
        received: ReceivedRequest,
        arrival: Arrival,
        slot: SlotRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request once it has a slot, unless its sender closes the connection before."""
        response_task = asyncio.ensure_future(
            self._respond_in_turn(conn, received, arrival, slot, writer)
        )
        disconnect_task = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                (response_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED
            )
            if not response_task.done():
                self._stats.cancelled += 1
                return False
            return response_task.result() and not disconnect_task.done()
        finally:
            response_task.cancel()
            disconnect_task.cancel()
            await asyncio.gather(response_task, disconnect_task, return_exceptions=True)

    async def _respond_in_turn(
        self,
        conn: h11.Connection,
        received: ReceivedRequest,
        arrival: Arrival,
        slot: SlotRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await slot.granted.wait()
        received.ran = arrival.ran = True
        self._write_arrival(arrival)
        self._runs[received.id] += 1
        body = received.body.encode("latin-1")
        return await self._respond(conn, received.headers, received.target, body, writer)

    def _make_arrival(self, received: ReceivedRequest, expected: str, crashes: bool) -> Arrival:
        faults = self._faults
        return Arrival(
            received.id,
            self._name,
            time.time(),
            received.ran,
            received.method,
            received.target,
            received.headers.get("tenant", ""),
            faults.pause_s if faults.reject and expected == self._name else 0.0,
            faults.leaving,
            crashes,
        )

    def _write_arrival(self, arrival: Arrival) -> None:
        if self._arrivals is not None:
            self._arrivals.write(msgspec.json.encode(arrival) + b"\n")

    def _make_notices(self) -> list[tuple[str, str]]:
        brittle = self._faults.brittle
        leaving = [("Server-Leaving", "1")] if self._faults.leaving else []
        return [*leaving, ("Server-Brittle", str(brittle))] if brittle else leaving

    def _is_overwhelmed(self) -> bool:
        """Return whether it has rejected more requests within a second than it bears."""
        recent = [at for at in self._rejected_at if time.monotonic() - at < 1.0]
        self._rejected_at = recent
        return 0 < self._faults.brittle < len(recent)

    def _send_rejection(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, headers: list[tuple[str, str]]
    ) -> bool:
        pause_s = self._faults.pause_s
        pause = [("Retry-After", f"{pause_s:g}")] if pause_s else []
        load = format_load(self._slots, self._faults, self._find_pace())
        loads = [("Server-Load", load)] if self._faults.slots else []
        rejection = [*headers, ("Not-Executed", "1"), *pause, *loads]
        return send_response(conn, writer, 503, rejection, b"")

    def _find_pace(self) -> float:
        return compute_pace(self._faults, self._name, time.time())

    async def _work(self, seconds: float) -> None:
        """Take the time that some work takes at the present pace."""
        await asyncio.sleep(seconds * self._find_pace())

    async def _respond(
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
        await self._work(faults.delay)
        attempt_id = headers.get("attempt-id", "")
        load = format_load(self._slots, faults, self._find_pace())
        response_headers = [("Attempt-Id", attempt_id), ("Response-Seal", f"seal-{self._name}")]
        response_headers += [("Server-Load", load), *self._make_notices()]
        if faults.unsealed:
            del response_headers[1]
        if faults.garbage:
            writer.write(b"\x00\x01 these bytes are no answer\r\n\r\n")
            return False
        if faults.head_cut is not None:
            return send_part_of_head(writer, response_headers, faults)
        if faults.flood:
            return await send_flood(writer, faults, response_headers)
        if faults.stray:
            writer.write(make_stray_response(faults.stray_status))
        if faults.status:
            return send_response(conn, writer, faults.status, response_headers, b"failed")
        if target.partition("?")[0].endswith("stream"):
            return await self._send_stream(conn, response_headers, headers, body, writer)
        return await self._send_complete_response(
            conn, response_headers, make_response_body(body, target, faults.body_bytes), writer
        )

    async def _send_complete_response(
        self,
        conn: h11.Connection,
        response_headers: list[tuple[str, str]],
        text: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        response = BodyWriter(conn, writer, faults.unframed, faults.unread_timeout)
        has_length = not faults.unframed
        length = [("Content-Length", str(len(text)))] if has_length else []
        response.start([*response_headers, *length])
        if faults.truncate:
            await response.write(text[:10])
            # An orderly end would make a body without a length whole.
            return response.break_off(faults.cut_by_reset or faults.unframed)
        await response.write(text)
        can_reuse = response.finish()
        if faults.extra:
            writer.write(make_stray_response(faults.stray_status))
        return can_reuse

    async def _send_stream(
        self,
        conn: h11.Connection,
        response_headers: list[tuple[str, str]],
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        faults = self._faults
        last_event_id = 0 if faults.repeat_events else int(headers.get("last-event-id", "0"))
        first_number = last_event_id + 1
        response = BodyWriter(conn, writer, faults.unframed, faults.unread_timeout)
        response.start([*response_headers, ("Content-Type", "text/event-stream")])
        for number in range(first_number, faults.events + 1):
            event = make_stream_event(body, number, faults.event_bytes)
            events_sent = number - first_number
            if events_sent == faults.cut_after:
                if faults.cut_inside:
                    await response.write(event[:8])
                looks_whole = faults.unframed and events_sent > 0 and not faults.cut_inside
                return response.break_off(faults.cut_by_reset or looks_whole)
            if events_sent == faults.stall_after:
                await asyncio.Event().wait()
            await response.write(event)
            await self._work(faults.event_gap)
        return response.finish()


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options of a worker."""
    parser.add_argument("--name", required=True, help="instance id that requests must expect")
    parser.add_argument("--arrivals", default="", help="file to append arrivals to")
    parser.add_argument("--born", type=int, default=0, help="start that its reports state")


def make_worker(options: argparse.Namespace) -> Worker:
    """Make a worker from its command-line options."""
    return Worker(options.name, options.arrivals, options.born)
