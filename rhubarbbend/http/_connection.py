"""One HTTP/1.1 client connection: a request at a time, and what comes back on it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import h11
import msgspec

from rhubarbbend.http._failures import (
    REASON_CLOSED,
    REASON_NO_PROGRESS,
    REASON_TIMEOUT,
    HttpFailure,
    SendStage,
)
from rhubarbbend.http._protocol import ClientProtocol
from rhubarbbend.http._pump import BodyPatience, BodyPump, BodyRelay, FixedPatience

MAX_HEAD_BYTES: Final = 65_536
DEFAULT_CONNECT_TIMEOUT: Final = 1.0
# Turns of the loop from the readiness of a socket to the end of asyncio's `create_connection`.
TURNS_TO_OPEN: Final = 6

Address = tuple[str, int]


class Response(msgspec.Struct):
    """A response head; the body is read from its connection.

    `raw_headers` holds every header as sent, with names in lower case.
    """

    status: int
    headers: dict[str, str]
    raw_headers: list[tuple[bytes, bytes]] = []


class Connection:
    """One client connection. Invariant: carries one request at a time."""

    __slots__ = (
        "address",
        "idle_since",
        "idle_limit",
        "reused",
        "rested",
        "_conn",
        "_protocol",
        "_sent",
    )

    def __init__(self, address: Address, protocol: ClientProtocol) -> None:
        self.address = address
        self.idle_since = 0.0
        # For how many seconds the other side keeps it open while it idles; None: not said.
        self.idle_limit: float | None = None
        self.reused = False
        # For how many seconds it had been idle when it was taken; 0 if it is new.
        self.rested = 0.0
        self._sent: list[h11.Event] = []
        self._conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._protocol = protocol

    @classmethod
    async def open(cls, address: Address, timeout: float = DEFAULT_CONNECT_TIMEOUT) -> Connection:
        """Connect within `timeout` seconds or raise `HttpFailure` at stage CONNECT.

        Where the machine stops this process for a tenth of a second, as a quota of processor time
        does, the time-out and the new connection are seen in the same turn of the loop. Such a
        connection is taken; counted as failed, it would hold a sound target down.
        """
        loop = asyncio.get_running_loop()
        opening = asyncio.ensure_future(loop.create_connection(ClientProtocol, *address))
        try:
            await asyncio.wait((opening,), timeout=timeout)
            for _ in range(TURNS_TO_OPEN):
                if not opening.done():
                    await asyncio.sleep(0)
            if not opening.done():
                raise HttpFailure(SendStage.CONNECT, REASON_TIMEOUT)
            _, protocol = opening.result()
        except OSError as error:
            raise HttpFailure(SendStage.CONNECT, str(error) or REASON_TIMEOUT) from error
        finally:
            opening.cancel()
        return cls(address, protocol)

    @property
    def last_received(self) -> float:
        """When something came last, be it only the acceptance of the connection."""
        return self._protocol.last_received

    @property
    def longest_pause(self) -> float:
        """The longest time between two parts of a body that was relayed, in seconds."""
        return self._protocol.longest_pause

    def reset_pause(self) -> None:
        """Measure the longest pause from now on."""
        self._protocol.longest_pause = 0.0

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

    async def relay_body(self, relay: BodyRelay, patience: BodyPatience | float) -> None:
        """Give the body to a relay part by part, in the loop's turn that received each.

        Ends as `receive_body` does; a number is a fixed patience, in seconds. One timer watches
        the whole body in place of one a part.
        """
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[None] = loop.create_future()
        if not isinstance(patience, BodyPatience):
            patience = FixedPatience(patience)
        pump = BodyPump(self._conn, self._protocol, relay, ended, patience)
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
