"""A request and its response, as the handler of an HTTP server sees them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import h11
import msgspec

from rhubarbbend.core.limits import MemoryLedger
from rhubarbbend.http._answer_buffer import AnswerBuffer, ClientEnd
from rhubarbbend.http._protocol import make_close_reset, reset_connection

HTTP_WITHOUT_CHUNKS: Final = b"1.0"

Headers = list[tuple[str, str]]
RawHeaders = list[tuple[bytes, bytes]]


class DrainState(msgspec.Struct):
    """Whether the server is draining; one object is shared by the server and its exchanges."""

    draining: bool = False


class Exchange:
    """A request and its response. Invariant: at most one response is started."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "raw_headers",
        "body",
        "extra_headers",
        "closed",
        "on_closed",
        "buffer",
        "ended_because",
        "memory_refusal",
        "on_ended",
        "_conn",
        "_writer",
        "_drain_state",
        "_started",
        "_ends_with_connection",
    )

    def __init__(
        self,
        request: h11.Request,
        body: bytes,
        conn: h11.Connection,
        writer: asyncio.StreamWriter,
        drain_state: DrainState | None = None,
        ledger: MemoryLedger | None = None,
    ) -> None:
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii", "replace")
        self.headers = {k.decode("ascii"): v.decode("latin-1") for k, v in request.headers}
        # The headers as received, repeated names included, for forwarding.
        self.raw_headers: list[tuple[bytes, bytes]] = list(request.headers)
        self.body = body
        # Added to the headers of the response, whoever makes it.
        self.extra_headers: RawHeaders = []
        # Set once the client has disconnected, so that the handler can cancel its work.
        self.closed = asyncio.Event()
        # Called in the event loop iteration in which the disconnection of the client is detected.
        self.on_closed: Callable[[], object] | None = None
        # What is held of the response until the client has read it.
        self.buffer = AnswerBuffer(writer.transport, ledger or MemoryLedger(), self.end)
        # Why the server ended the connection itself, since its client did not read; None if not.
        self.ended_because: ClientEnd | None = None
        # Called when that happens, which may be after the handler has returned.
        self.on_ended: Callable[[ClientEnd], None] | None = None
        # Why there is no memory for the body, which was not read; the handler then refuses.
        self.memory_refusal = ""
        self._conn = conn
        self._writer = writer
        self._drain_state = drain_state or DrainState()
        self._started = False
        # Whether the body of the response has neither a length nor chunks.
        self._ends_with_connection = False

    @property
    def started(self) -> bool:
        """Return whether the response head has been sent."""
        return self._started

    def start(self, status: int, headers: Headers) -> None:
        """Send the response head; without Content-Length, the body is sent chunked."""
        self.start_raw(status, [(k.encode(), v.encode("latin-1", "replace")) for k, v in headers])

    def start_raw(self, status: int, headers: RawHeaders) -> None:
        """Send a response head whose headers are bytes, for example as received from a target."""
        self._started = True
        if self._drain_state.draining:
            # The client then opens a connection to another instance for its next request instead
            # of reusing this one, which is about to be closed.
            headers = [*headers, (b"Connection", b"close")]
        headers = [*headers, *self.extra_headers] if self.extra_headers else headers
        if self._conn.their_http_version == HTTP_WITHOUT_CHUNKS:
            self._ends_with_connection = all(k.lower() != b"content-length" for k, _ in headers)
        self._send(h11.Response(status_code=status, headers=headers))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._send(h11.Data(data=data))

    def is_write_buffer_full(self) -> bool:
        """Return whether the write buffer is above its high-water mark."""
        return self.buffer.is_full()

    async def drain(self) -> None:
        """Wait until the write buffer has drained; end the connection if the client stalls.

        A client that reads nothing would otherwise hold its slot at the target forever.
        """
        if self.buffer.is_full():
            await self.buffer.drain(self._writer)

    def finish(self) -> None:
        """End the body, which marks the response as complete for the client."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Abort the connection without ending the body.

        A client that receives no final chunk knows that the response is incomplete; ending the
        message instead would make a truncated response look complete.
        """
        self._prepare_abort()
        self._writer.transport.abort()

    def abort_after_flush(self) -> None:
        """Close the connection without ending the body, once the written data has been sent."""
        self._prepare_abort()
        self._writer.close()

    def end(self, reason: ClientEnd) -> None:
        """End the connection by a reset, since its client does not read.

        An orderly end would leave what is unsent in the kernel.
        """
        if self.ended_because is not None:
            return
        self.ended_because = reason
        self.closed.set()
        reset_connection(self._writer.transport)
        if self.on_ended is not None:
            self.on_ended(reason)

    def release(self) -> None:
        """Stop counting the response, and drop what refers back to this object.

        It would otherwise be kept, with its body, until the garbage collector finds it.
        """
        self.buffer.close()
        self.on_ended = None

    def _prepare_abort(self) -> None:
        self.closed.set()
        if self._ends_with_connection:
            make_close_reset(self._writer.transport)

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response."""
        self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if self.method != "HEAD":
            self.write(body)
        self.finish()

    def mark_closed(self) -> None:
        """Mark the client as disconnected and call `on_closed`."""
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
            self.buffer.record_write()
