"""One request and its response, as a server's handler sees them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import h11
import msgspec

WRITE_HIGH_WATER: Final = 262_144
# A client that takes nothing of its answer for this long is given up, in seconds.
STALL_TIMEOUT: Final = 30.0

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]


class DrainState(msgspec.Struct):
    """Whether the server is about to stop; shared with every exchange."""

    draining: bool = False


class Exchange:
    """One request and its response. Invariant: at most one response is started."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "raw_headers",
        "body",
        "closed",
        "on_closed",
        "_conn",
        "_writer",
        "_drain_state",
        "_started",
    )

    def __init__(
        self,
        request: h11.Request,
        body: bytes,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        drain_state: DrainState | None = None,
    ) -> None:
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii", "replace")
        self.headers = {k.decode("ascii"): v.decode("latin-1") for k, v in request.headers}
        # As sent, repeated names included, for whoever passes them on.
        self.raw_headers: list[tuple[bytes, bytes]] = list(request.headers)
        self.body = body
        # Set once the client has gone, so that a handler can cancel the work.
        self.closed = asyncio.Event()
        # Called in the loop's turn in which the client is seen to have gone.
        self.on_closed: Callable[[], object] | None = None
        self._conn = conn
        self._writer = writer
        self._drain_state = drain_state or DrainState()
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the response head has been sent."""
        return self._started

    def start(self, status: int, headers: Headers) -> None:
        """Send the response head; a body without Content-Length goes out chunked."""
        self.start_raw(status, [(k.encode(), v.encode("latin-1", "replace")) for k, v in headers])

    def start_raw(self, status: int, headers: RawHeaders) -> None:
        """Send a response head whose headers are bytes already, as a target sent them."""
        self._started = True
        if self._drain_state.draining:
            # The client opens its next connection elsewhere instead of reusing one that ends.
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response(status_code=status, headers=headers))

    def write(self, data: bytes) -> None:
        """Send part of the body."""
        if data:
            self._send(h11.Data(data=data))

    def is_behind(self) -> bool:
        """Whether the client reads slower than the body is written."""
        return self._writer.transport.get_write_buffer_size() > WRITE_HIGH_WATER

    async def drain(self) -> None:
        """Wait while the client reads slower than the body is written."""
        if not self.is_behind():
            return
        try:
            async with asyncio.timeout(STALL_TIMEOUT):
                await self._writer.drain()
        except TimeoutError:
            # A client that reads nothing would keep its target's slot for ever.
            self.abort()

    def finish(self) -> None:
        """End the body, which tells the client that the answer is whole."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Drop the connection without ending the body.

        A client that gets no final chunk knows that the answer is not whole; ending the message
        instead would pass a truncated answer off as complete.
        """
        self.closed.set()
        self._writer.transport.abort()

    def abort_after_flush(self) -> None:
        """Close the connection without ending the body, once what was written has gone out."""
        self.closed.set()
        self._writer.close()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response at once."""
        self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if self.method != "HEAD":
            self.write(body)
        self.finish()

    def mark_closed(self) -> None:
        """Note that the client has gone, and tell whoever works for it."""
        self.closed.set()
        if self.on_closed is not None:
            self.on_closed()

    def _send(self, event: h11.Event) -> None:
        if self.closed.is_set() or self._writer.transport.is_closing():
            self.closed.set()
            return
        data = self._conn.send(event)
        if data:
            self._writer.write(data)
