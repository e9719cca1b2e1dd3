"""An HTTP/1.1 client connection, which sends one request at a time and reads its response."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Final

import h11
import msgspec

from rhubarbbend.http._body_forwarder import (
    BodyForwarder,
    BodyRelay,
    BodyTimeoutPolicy,
    FixedTimeoutPolicy,
)
from rhubarbbend.http._failures import (
    CONNECT_ERRORS,
    REASON_CLOSED,
    REASON_NO_PROGRESS,
    REASON_TIMEOUT,
    BodyEnd,
    EndlessAnswer,
    HttpFailure,
    SendStage,
)
from rhubarbbend.http._input_timeout import InputTimeout
from rhubarbbend.http._protocol import ClientProtocol, Sink
from rhubarbbend.http._receive_limits import (
    MAX_DISCARD_S,
    MAX_DISCARDED_BYTES,
    SMALL_BODY_PART_BYTES,
    FramingMonitor,
    HeadMonitor,
    TrickleDetector,
    make_failure,
)

MAX_HEAD_BYTES: Final = 65_536
# The largest status that HTTP has (RFC 9110, section 15); h11 accepts any of three digits from 100.
MAX_STATUS: Final = 599
DEFAULT_CONNECT_TIMEOUT_S: Final = 1.0
# Event loop iterations that asyncio's `create_connection` needs to finish once the socket is
# connected.
CONNECT_LOOP_ITERATIONS: Final = 6

Address = tuple[str, int]


class Response(msgspec.Struct):
    """A response head; the body is read separately from the connection.

    `raw_headers` holds every header as received, repeated names included, with names in lower
    case.
    """

    status: int
    headers: dict[str, str]
    raw_headers: list[tuple[bytes, bytes]] = []

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        return "content-length" not in self.headers and "transfer-encoding" not in self.headers


class Connection:
    """A client connection. Invariant: at most one request is in flight."""

    __slots__ = (
        "address",
        "opened_at",
        "idle_since",
        "idle_timeout_s",
        "reused",
        "is_reusable",
        "idle_time_s",
        "_body_ends_with_connection",
        "_conn",
        "_is_success",
        "_head_monitor",
        "_protocol",
        "_sent",
    )

    def __init__(self, address: Address, protocol: ClientProtocol) -> None:
        self.address = address
        # In the event loop's time.
        self.opened_at = protocol.last_received_at
        self.idle_since = 0.0
        # Seconds for which the peer keeps the connection open while it is idle; None if not stated.
        self.idle_timeout_s: float | None = None
        self.reused = False
        # Whether it may go back to a pool after a response.
        self.is_reusable = True
        # Seconds for which the connection was idle before it was reused; 0 if it is new.
        self.idle_time_s = 0.0
        self._body_ends_with_connection = False
        self._is_success = False
        self._sent: list[h11.Event] = []
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head_monitor = HeadMonitor()
        self._protocol = protocol

    @classmethod
    async def open(cls, address: Address, timeout: float = DEFAULT_CONNECT_TIMEOUT_S) -> Connection:
        """Connect within `timeout` seconds or raise `HttpFailure` at stage CONNECT.

        If this process is suspended for a tenth of a second, for example by a CPU quota, it sees
        the time-out and the new connection in the same event loop iteration. The connection is
        used in that case: reporting a failure would mark a healthy target as down.
        """
        loop = asyncio.get_running_loop()
        opening = asyncio.ensure_future(loop.create_connection(ClientProtocol, *address))
        try:
            await asyncio.wait((opening,), timeout=timeout)
            for _ in range(CONNECT_LOOP_ITERATIONS):
                if not opening.done():
                    await asyncio.sleep(0)
            if not opening.done():
                raise HttpFailure(SendStage.CONNECT, REASON_TIMEOUT)
            _, protocol = opening.result()
        except CONNECT_ERRORS as error:
            raise HttpFailure(SendStage.CONNECT, str(error) or REASON_TIMEOUT) from error
        finally:
            opening.cancel()
        return cls(address, protocol)

    @property
    def last_received_at(self) -> float:
        """Return when data was last received, in the event loop's time.

        Before any data is received, it is the time at which the connection was established.
        """
        return self._protocol.last_received_at

    @property
    def longest_receive_gap_s(self) -> float:
        """Return the longest time between two received parts of a relayed body, in seconds."""
        return self._protocol.longest_receive_gap_s

    def reset_longest_receive_gap(self) -> None:
        """Reset `longest_receive_gap_s`, so that it covers only what follows."""
        self._protocol.longest_receive_gap_s = 0.0

    @property
    def traffic(self) -> int:
        """Return the number of bytes sent and received."""
        return self._protocol.traffic

    async def send(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Write a whole request, with `Host` and `Content-Length` added to its headers.

        Return once the transport accepts more data; raise `HttpFailure` on failure.
        """
        raw = [(k.encode("ascii"), v.encode("latin-1")) for k, v in headers]
        raw.append((b"Host", f"{self.address[0]}:{self.address[1]}".encode("ascii")))
        raw.append((b"Content-Length", str(len(body)).encode("ascii")))
        self.send_raw(method.encode("ascii"), target.encode("ascii"), raw, body)
        try:
            await self._protocol.drain()
        except OSError as error:
            raise HttpFailure(SendStage.SENT, str(error)) from error

    def send_raw(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole request with complete headers, without waiting until it is sent.

        A target may respond before it has read the body; waiting here would leave that response
        unread. Raise `HttpFailure` at stage CONNECT if the request is invalid.
        """
        try:
            head = h11.Request(method=method, target=target, headers=headers)
            self._sent = [head, h11.EndOfMessage()]
            if body:
                self._sent.insert(1, h11.Data(data=body))
            data = b"".join(self._conn.send(event) or b"" for event in self._sent)
        except h11.LocalProtocolError as error:
            raise HttpFailure(SendStage.CONNECT, str(error)) from error
        self._head_monitor = HeadMonitor()
        self._protocol.traffic += len(data)
        self._protocol.transport.write(data)

    async def discard_body(self, progress_timeout: float) -> None:
        """Discard the rest of a body, so that the connection can be used again.

        Raise `HttpFailure` if it is incomplete, too large or too slow; a new connection costs less.
        """
        size = 0
        trickle = TrickleDetector(SMALL_BODY_PART_BYTES)
        loop = asyncio.get_running_loop()
        try:
            async with InputTimeout(loop.time() + MAX_DISCARD_S):
                async for part in self.receive_body(progress_timeout):
                    is_slow = trickle.record(loop.time(), len(part), continues=size > 0)
                    size += len(part)
                    if is_slow or size > MAX_DISCARDED_BYTES:
                        raise EndlessAnswer(SendStage.RESPONSE, "too large or too slow to discard")
        except TimeoutError as error:
            raise HttpFailure(SendStage.RESPONSE, REASON_NO_PROGRESS) from error

    async def discard_response(self, timeout: float) -> None:
        """Discard the body of a response that belongs to no request and prepare for the next head.

        A target may send a response twice; the duplicate then arrives where the response to the
        next request is expected. h11 allows one response per request, so a new h11 connection
        state parses what follows. `timeout` is the progress time-out in seconds.
        """
        await self.discard_body(timeout)
        rest, _ = self._conn.trailing_data
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        for event in self._sent:
            self._conn.send(event)
        if rest:
            self._conn.receive_data(rest)

    async def receive_head(self, timeout: float) -> Response:
        """Return the response head; raise `HttpFailure` if it takes over `timeout` seconds."""
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    await self._read_head_part(deadline)
                elif isinstance(event, h11.InformationalResponse):
                    self._head_monitor.record_informational()
                elif isinstance(event, h11.Response):
                    if event.status_code > MAX_STATUS:
                        raise HttpFailure(SendStage.SENT, f"status {event.status_code} is none")
                    headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                    response = Response(event.status_code, headers, list(event.headers))
                    self._body_ends_with_connection = response.ends_with_connection
                    self._is_success = response.status < 300
                    return response
                else:
                    raise HttpFailure(SendStage.SENT, "closed before the response")
        except TimeoutError as error:
            raise HttpFailure(SendStage.SENT, REASON_TIMEOUT) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise make_failure(SendStage.SENT, error) from error

    async def _read_head_part(self, deadline: float) -> None:
        """Read more of an incomplete head, or the first part of one."""
        incomplete, _ = self._conn.trailing_data
        self._head_monitor.check_incomplete(incomplete)
        data = await self._protocol.read_before(deadline)
        self._conn.receive_data(data)
        now = asyncio.get_running_loop().time()
        self._head_monitor.record_received(now, len(data), continues=bool(incomplete))

    async def receive_body(self, progress_timeout: float) -> AsyncIterator[bytes]:
        """Yield the parts of the body; each must arrive within `progress_timeout` seconds.

        The time-out applies to each wait for data, not to the whole body. It is needed because a
        connection whose state a middlebox has lost stays open and never delivers anything.
        Raise `HttpFailure` at stage RESPONSE if the body is incomplete.
        """
        loop = asyncio.get_running_loop()
        framing = FramingMonitor()
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    data = await self._protocol.read_before(loop.time() + progress_timeout)
                    self._conn.receive_data(data)
                    framing.record_received(loop.time(), len(data))
                elif isinstance(event, h11.Data):
                    framing.record_data()
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._check_end()
                    return
                else:
                    raise HttpFailure(SendStage.RESPONSE, REASON_CLOSED)
        except TimeoutError as error:
            raise HttpFailure(SendStage.RESPONSE, REASON_NO_PROGRESS) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise make_failure(SendStage.RESPONSE, error) from error

    async def relay_body(self, relay: BodyRelay, timeout_policy: BodyTimeoutPolicy | float) -> None:
        """Pass each part of the body to a relay in the event loop iteration that received it.

        `timeout_policy` limits the time without progress; a number is a fixed limit in seconds.
        One timer covers the whole body instead of one timer per part. Raise `HttpFailure` at
        stage RESPONSE if the body is incomplete.
        """
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        if not isinstance(timeout_policy, BodyTimeoutPolicy):
            timeout_policy = FixedTimeoutPolicy(timeout_policy)
        forwarder = BodyForwarder(self._conn, self._protocol, relay, ended, timeout_policy)
        try:
            forwarder.start()
            await ended
        finally:
            forwarder.stop()
        self._check_end()

    def _check_end(self) -> None:
        """Raise `HttpFailure` if the end of a body without length is not that of a whole answer.

        A target that gives up in the middle of a request may close its side in order and reset the
        connection then. An error may well be all that it has to say; a success is not, as long as
        the request is still on its way to it.
        """
        if self._body_ends_with_connection and self._is_success and self._protocol.closed_early:
            raise HttpFailure(SendStage.RESPONSE, "closed before the request was sent")

    @property
    def body_end(self) -> BodyEnd | None:
        """Return how the last body ended with its connection; None if it ended by its framing."""
        if not self._body_ends_with_connection or not self._protocol.eof:
            return None
        return BodyEnd.CLOSED if self._protocol.error is None else BodyEnd.RESET

    def make_reusable(self) -> bool:
        """Prepare for the next request; return False if the connection must be closed instead."""
        if not self.is_reusable:
            return False
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        if self._protocol.closed or self.has_stray_bytes or self._protocol.unsent:
            return False
        self._conn.start_next_cycle()
        self._sent = []
        return True

    @property
    def has_stray_bytes(self) -> bool:
        """Return whether the peer has sent data beyond the response."""
        return bool(self._conn.trailing_data[0]) or self._protocol.unread > 0

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed or the peer has closed its side."""
        return self._protocol.closed

    @property
    def has_received(self) -> bool:
        """Return whether the peer has sent any data."""
        return self._protocol.has_received

    def start_idle(self, on_stray_bytes: Callable[[], None]) -> None:
        """Close the connection at once if the peer sends data that no request has asked for.

        Such bytes may come without end. `on_stray_bytes` is called then.
        """
        self._protocol.set_sink(_IdleSink(self, on_stray_bytes))

    def end_idle(self) -> None:
        """Let a request use the connection."""
        self._protocol.set_sink(None)

    async def closes_within(self, timeout: float) -> bool:
        """Return whether the peer closes or resets the connection within `timeout` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._protocol.wait_readable()
        return self.closed

    def close(self) -> None:
        """Close immediately and discard unsent data."""
        self._protocol.transport.abort()


class _IdleSink(Sink):
    """Closes an idle connection on which data arrives."""

    def __init__(self, connection: Connection, on_stray_bytes: Callable[[], None]) -> None:
        self._connection = connection
        self._on_stray_bytes = on_stray_bytes

    def receive(self, data: bytes) -> None:
        """Close the connection, unless an earlier part has closed it."""
        if not self._connection.closed:
            self._connection.close()
            self._on_stray_bytes()

    def handle_end(self, error: Exception | None) -> None:
        """Do nothing: a pool does not use connections that are closed."""
