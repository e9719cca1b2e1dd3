"""The HTTP/1.1 client: one connection, a pool of idle ones, and failures that tell their stage.

What matters to an instance is not only that a request failed but whether the other side may have
seen it; `SendStage` on each failure says so and the core turns it into a verdict.
"""

from __future__ import annotations

import abc
import asyncio
import enum
from collections import deque
from collections.abc import AsyncIterator
from typing import Final

import h11
import msgspec

from rhubarbbend.http._protocol import ClientProtocol

MAX_HEAD_BYTES: Final = 65_536
DEFAULT_CONNECT_TIMEOUT: Final = 1.0
# The reason of a failure by silence; any other sign of the far side has another reason.
REASON_TIMEOUT: Final = "timeout"
REASON_CLOSED: Final = "closed during the body"
REASON_NO_PROGRESS: Final = "no progress"
# A body that is held back is looked at again after this many seconds at the earliest.
MIN_WATCH: Final = 0.25

Address = tuple[str, int]


class SendStage(enum.Enum):
    """How far a request had got when it failed."""

    CONNECT = "connect"  # No byte was written: the other side cannot have seen the request.
    SENT = "sent"  # Bytes were written and no response head came back.
    RESPONSE = "response"  # The response began and did not end.


class HttpFailure(Exception):
    """A request that did not get a whole response. `stage` tells whether it may have run."""

    def __init__(self, stage: SendStage, reason: str) -> None:
        super().__init__(f"{stage.value}: {reason}")
        self.stage = stage
        self.reason = reason


class Response(msgspec.Struct):
    """A response head; the body is read from its connection.

    `raw_headers` holds every header as sent, with names in lower case.
    """

    status: int
    headers: dict[str, str]
    raw_headers: list[tuple[bytes, bytes]] = []


class Connection:
    """One client connection. Invariant: carries one request at a time."""

    __slots__ = ("address", "idle_since", "idle_limit", "reused", "_conn", "_protocol", "_sent")

    def __init__(self, address: Address, protocol: ClientProtocol) -> None:
        self.address = address
        self.idle_since = 0.0
        # For how many seconds the other side keeps it open while it idles; None: not said.
        self.idle_limit: float | None = None
        self.reused = False
        self._sent: list[h11.Event] = []
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._protocol = protocol

    @classmethod
    async def open(cls, address: Address, timeout: float = DEFAULT_CONNECT_TIMEOUT) -> Connection:
        """Connect within `timeout` seconds or raise `HttpFailure` at stage CONNECT."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, protocol = await loop.create_connection(ClientProtocol, *address)
        except (OSError, TimeoutError) as error:
            raise HttpFailure(SendStage.CONNECT, str(error) or REASON_TIMEOUT) from error
        return cls(address, protocol)

    @property
    def traffic(self) -> int:
        """Bytes sent and received."""
        return self._protocol.traffic

    async def send(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Write a whole request to the address itself."""
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
        """Write a whole request whose headers are complete, without waiting for the other side.

        A target may answer before it has taken the body; waiting here would leave that unread.
        """
        try:
            head = h11.Request(method=method, target=target, headers=headers)
            self._sent = [head, h11.EndOfMessage()]
            if body:
                self._sent.insert(1, h11.Data(data=body))
            data = b"".join(self._conn.send(event) or b"" for event in self._sent)
        except h11.LocalProtocolError as error:
            raise HttpFailure(SendStage.CONNECT, str(error)) from error
        self._protocol.traffic += len(data)
        self._protocol.transport.write(data)

    async def skip_response(self, timeout: float) -> None:
        """Read to the end of a response that belongs to no request and wait for the next.

        A target may send an answer twice, the second where that of the next request is due.
        h11 allows one response to a request, so a new state takes what follows.
        """
        async for _ in self.receive_body(timeout):
            pass
        rest, _ = self._conn.trailing_data
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        for event in self._sent:
            self._conn.send(event)
        if rest:
            self._conn.receive_data(rest)

    async def receive_head(self, timeout: float) -> Response:
        """Wait at most `timeout` seconds for the response head."""
        try:
            async with asyncio.timeout(timeout):
                while True:
                    event = self._conn.next_event()
                    if event is h11.NEED_DATA:
                        self._conn.receive_data(await self._protocol.read())
                    elif isinstance(event, h11.Response):
                        headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
                        return Response(event.status_code, headers, list(event.headers))
                    elif not isinstance(event, h11.InformationalResponse):
                        raise HttpFailure(SendStage.SENT, "closed before the response")
        except TimeoutError as error:
            raise HttpFailure(SendStage.SENT, REASON_TIMEOUT) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise HttpFailure(SendStage.SENT, str(error)) from error

    async def receive_body(self, progress_timeout: float) -> AsyncIterator[bytes]:
        """Yield the body; each part must come within `progress_timeout` seconds.

        The limit is on silence, not on the whole body: a connection that something in between
        has lost track of stays open and delivers nothing for ever.
        """
        try:
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    async with asyncio.timeout(progress_timeout):
                        data = await self._protocol.read()
                    self._conn.receive_data(data)
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                else:
                    raise HttpFailure(SendStage.RESPONSE, REASON_CLOSED)
        except TimeoutError as error:
            raise HttpFailure(SendStage.RESPONSE, REASON_NO_PROGRESS) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise HttpFailure(SendStage.RESPONSE, str(error)) from error

    async def relay_body(self, relay: BodyRelay, progress_timeout: float) -> None:
        """Give the body to a relay part by part, in the loop's turn that received each.

        Ends as `receive_body` does. One timer watches the whole body in place of one a part.
        """
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        pump = _BodyPump(self._conn, self._protocol, relay, ended, progress_timeout)
        try:
            pump.start()
            await ended
        finally:
            pump.stop()

    def make_reusable(self) -> bool:
        """Prepare for a next request; False if the connection must be closed."""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        if self._protocol.closed or self.has_stray_bytes or self._protocol.unsent:
            return False
        self._conn.start_next_cycle()
        self._sent = []
        return True

    @property
    def has_stray_bytes(self) -> bool:
        """Whether the other side has sent more than it was asked for."""
        return bool(self._conn.trailing_data[0]) or self._protocol.unread > 0

    @property
    def closed(self) -> bool:
        """Whether the other side has closed."""
        return self._protocol.closed

    def close(self) -> None:
        """Close at once."""
        self._protocol.transport.abort()


class BodyRelay(abc.ABC):
    """Takes a body part by part.

    Hooks: `write` is called for each part and must not wait; while `is_behind` says that its own
    side is slow, the body is held back until `drain` has returned.
    """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Take a part."""

    @abc.abstractmethod
    def is_behind(self) -> bool:
        """Whether too much of what was taken has not gone out yet."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until it has."""


class _BodyPump:
    """Moves one body from a protocol to a relay. Invariant: `ended` is settled exactly once."""

    def __init__(
        self,
        conn: h11.Connection,
        protocol: ClientProtocol,
        relay: BodyRelay,
        ended: asyncio.Future[None],
        progress_timeout: float,
    ) -> None:
        self._conn = conn
        self._protocol = protocol
        self._relay = relay
        self._ended = ended
        self._progress_timeout = progress_timeout
        self._loop = ended.get_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._holding: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Move what the connection has received already, then each part as it comes."""
        self._protocol.last_received = self._loop.time()
        self._check_progress()
        self._parse()
        self._protocol.set_sink(self.receive)

    def stop(self) -> None:
        """Leave the connection to its next reader."""
        self._protocol.set_sink(None)
        if self._timer is not None:
            self._timer.cancel()
        if self._holding is not None:
            self._holding.cancel()

    def receive(self, data: bytes) -> None:
        """Take received bytes; empty at the end of the stream."""
        if self._ended.done():
            return
        try:
            self._conn.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._fail(str(error))
            return
        self._parse()

    def _parse(self) -> None:
        try:
            while not self._ended.done():
                event = self._conn.next_event()
                if isinstance(event, h11.Data):
                    self._relay.write(bytes(event.data))
                elif event is h11.NEED_DATA:
                    break
                elif isinstance(event, h11.EndOfMessage):
                    self._ended.set_result(None)
                else:
                    self._fail(REASON_CLOSED)
        except h11.RemoteProtocolError as error:
            self._fail(str(error))
        if self._holding is None and not self._ended.done() and self._relay.is_behind():
            self._holding = self._loop.create_task(self._hold_back())

    async def _hold_back(self) -> None:
        """Let a slow receiver hold the sender back, in place of the memory of the instance."""
        self._protocol.pause_reading()
        try:
            await self._relay.drain()
        except OSError:
            # The receiver has gone; whoever watches it ends the request.
            return
        finally:
            self._holding = None
        self._protocol.last_received = self._loop.time()
        self._protocol.resume_reading()

    def _check_progress(self) -> None:
        """End a body that makes no progress, unless it is being held back."""
        silent = self._loop.time() - self._protocol.last_received
        if self._holding is None and silent >= self._progress_timeout:
            self._fail(REASON_NO_PROGRESS)
            return
        wait = max(self._progress_timeout - silent, MIN_WATCH)
        self._timer = self._loop.call_later(wait, self._check_progress)

    def _fail(self, reason: str) -> None:
        if not self._ended.done():
            self._ended.set_exception(HttpFailure(SendStage.RESPONSE, reason))


class ConnectionPool:
    """Idle connections by address. Invariant: none is kept idle longer than `max_idle` seconds.

    Idle connections are short-lived because a connection can go silent for good while new ones
    work; the shorter it idles, the less likely that a request is the first to find out.
    """

    def __init__(self, max_idle: float, max_per_address: int = 64) -> None:
        self._max_idle = max_idle
        self._max_per_address = max_per_address
        self._idle: dict[Address, deque[Connection]] = {}
        # Bytes of the small requests sent by `fetch`: reports, probes, platform calls.
        self.fetch_traffic = 0

    async def take(
        self,
        address: Address,
        now: float,
        fresh: bool,
        timeout: float = DEFAULT_CONNECT_TIMEOUT,
        max_idle: float | None = None,
    ) -> Connection:
        """Give an idle connection, or a new one if `fresh` is asked or none is idle.

        With `max_idle` only one that has idled for no longer; the others stay for other requests.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            if max_idle is not None and now - idle[-1].idle_since > max_idle:
                break
            connection = idle.pop()
            if self._is_usable(connection, now):
                connection.reused = True
                return connection
            connection.close()
        return await Connection.open(address, timeout)

    def _is_usable(self, connection: Connection, now: float) -> bool:
        idle = now - connection.idle_since
        limit = connection.idle_limit
        if idle > self._max_idle or (limit is not None and idle > limit):
            return False
        return not connection.closed and not connection.has_stray_bytes

    def count_idle(self, address: Address) -> int:
        """Count the idle connections to an address."""
        return len(self._idle.get(address, ()))

    def drop_all(self) -> None:
        """Close every idle connection: this process may have been away while they broke."""
        for address in list(self._idle):
            self.drop_address(address)

    def give_back(self, connection: Connection, now: float) -> None:
        """Keep a connection for the next request if it can carry one."""
        idle = self._idle.setdefault(connection.address, deque())
        if len(idle) < self._max_per_address and connection.make_reusable():
            connection.idle_since = now
            idle.append(connection)
        else:
            connection.close()

    def drop_expired(self, now: float) -> None:
        """Close connections that have idled too long."""
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and (now - idle[0].idle_since > self._max_idle or idle[0].closed):
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def drop_address(self, address: Address) -> None:
        """Close every idle connection to an address that has shown a fault."""
        for connection in self._idle.pop(address, ()):
            connection.close()


async def fetch(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    now: float,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
    timeout: float = 2.0,
    fresh: bool = False,
) -> tuple[Response, bytes]:
    """Send one small request and read its whole response within `timeout` seconds."""
    connection = await pool.take(address, now, fresh)
    before = connection.traffic
    try:
        async with asyncio.timeout(timeout):
            await connection.send(method, target, headers or [], body)
            response = await connection.receive_head(timeout)
            parts = [part async for part in connection.receive_body(timeout)]
    except TimeoutError as error:
        connection.close()
        raise HttpFailure(SendStage.SENT, REASON_TIMEOUT) from error
    except BaseException:
        connection.close()
        raise
    finally:
        pool.fetch_traffic += connection.traffic - before
    pool.give_back(connection, now)
    return response, b"".join(parts)
