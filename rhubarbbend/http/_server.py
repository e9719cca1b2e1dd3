"""The HTTP/1.1 server, which reads one request at a time per connection and calls a handler.

It limits the resources that clients can use: the sizes of headers and bodies, the time to send
them, and the number of connections. The handler responds through an `Exchange`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from socket import socket
from typing import Final

import h11

from rhubarbbend.core.limits import HeldKind, MemoryLedger
from rhubarbbend.http._answer_buffer import AnswerBuffer, flush_or_end, set_limits
from rhubarbbend.http._client_connection import (
    CLIENT_READ_BYTES,
    ClientConnection,
    ClientReader,
    ConnectionEnd,
)
from rhubarbbend.http._client_watcher import watch_client
from rhubarbbend.http._connection_table import ConnectionTable, Wait
from rhubarbbend.http._exchange import DrainState, Exchange
from rhubarbbend.http._input_timeout import InputTimeout
from rhubarbbend.http._parse_turns import LARGE_HEAD_BYTES, ParseTurns
from rhubarbbend.http._protocol import limit_read_size
from rhubarbbend.http._rejection import (
    READ_SIZE_BYTES,
    Rejection,
    RequestRejected,
    check_framing,
    discard_remaining_input,
    read_event,
    send_rejection,
)
from rhubarbbend.http._request_body import (
    BodyLimits,
    BodyReader,
    MemoryShort,
    RequestBody,
    has_body,
)
from rhubarbbend.http._send_progress import limit_kernel_buffer
from rhubarbbend.http._server_limits import ServerLimits
from rhubarbbend.listening import find_port, open_server, serve_listener

# How long a connection without a request yet stays open after the server has stopped accepting: its
# first request may already be on its way.
IDLE_CLOSE_DELAY_S: Final = 0.5
# What an open connection takes in this process while nothing is received on it.
IDLE_CONNECTION_BYTES: Final = 12_288
TOO_SLOW: Final = "request took too long to send"

Handler = Callable[["Exchange"], Awaitable[None]]
# Told why a connection ended, and how many received bytes of it were neither served nor rejected.
OnConnectionEnd = Callable[[ConnectionEnd, int], None]


def _ignore_connection_end(end: ConnectionEnd, unanswered_bytes: int) -> None:
    pass


class HttpServer:
    """An HTTP server on one address. Invariant: each open connection has one task in `_tasks`.

    What is held for clients is counted by the ledger, requests as `kind`. If the handler
    `answers_refusals`, it is called for requests that are refused for want of memory, with
    `Exchange.memory_refusal` set; otherwise the server refuses them itself. Without `reads_bodies`
    requests are answered from their heads, and a connection with a body ends after the response.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        ledger: MemoryLedger | None = None,
        kind: HeldKind = HeldKind.REQUEST,
        answers_refusals: bool = False,
        reads_bodies: bool = True,
    ) -> None:
        self._handler = handler
        self._ledger = ledger or MemoryLedger()
        self._kind = kind
        self._answers_refusals = answers_refusals
        self._reads_bodies = reads_bodies
        self._turns = ParseTurns()
        self._bodies = BodyReader(self._ledger, kind, self._turns)
        self._limits = limits or ServerLimits()
        self.on_connection_end: OnConnectionEnd = _ignore_connection_end
        self._server: asyncio.Server | None = None
        # In the order of their opening: in a set, it would be that of addresses in memory, and so
        # would be the order in which idle connections are closed.
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._table = ConnectionTable()
        # Of connections that wait for the first byte of a request, in the order of their waits; the
        # value says whether a request was served on the connection before.
        self._idle_timeouts: dict[InputTimeout, bool] = {}
        self._stopping = False
        self._drain_state = DrainState()

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits; they apply from the next request on.

        A longer idle time-out also applies to connections that are idle already.
        """
        self._limits = limits

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections on `host` and `port`; return the port in use."""
        self._server = await open_server(self._make_protocol, host, port)
        return find_port(self._server)

    async def listen_on(self, listener: socket) -> None:
        """Start to accept connections on a socket that is already listening."""
        self._server = await serve_listener(self._make_protocol, listener)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        return asyncio.StreamReaderProtocol(ClientReader(loop), self._accept, loop=loop)

    def start_draining(self) -> None:
        """Send `Connection: close` in each response head from now on."""
        self._drain_state.draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket and idle connections; requests in flight continue.

        A connection on which a request was served before ends as soon as it is idle: its client can
        repeat elsewhere a request that was not read, but not one that the end of the process cuts.
        A new connection is kept for a short time, since its first request may be on its way.
        """
        self.start_draining()
        if self._stopping:
            return
        self._stopping = True
        self._close_idle(used_only=True)
        if self._server is not None:
            self._server.close()
            asyncio.get_running_loop().call_later(IDLE_CLOSE_DELAY_S, self._close_idle)

    def _close_idle(self, used_only: bool = False) -> None:
        """Have idle connections end, unless a request has already arrived on them."""
        now = asyncio.get_running_loop().time()
        for timeout, is_used in self._idle_timeouts.items():
            if is_used or not used_only:
                timeout.reschedule(now)

    async def finish(self) -> None:
        """Stop accepting and wait until every response is sent."""
        self.stop_accepting()
        while self._tasks:
            await asyncio.wait(list(self._tasks), timeout=IDLE_CLOSE_DELAY_S)
            self._close_idle()

    async def close(self) -> None:
        """Stop accepting and end every connection."""
        self.stop_accepting()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, ClientReader)
        loop = asyncio.get_running_loop()
        is_full = len(self._tasks) - self._table.ending >= self._limits.max_connections
        if is_full and not self._table.end_one(loop.time()):
            writer.transport.abort()
            self.on_connection_end(ConnectionEnd.TOO_MANY, 0)
            return
        self._tasks[task] = None
        limit_read_size(writer.transport, CLIENT_READ_BYTES)
        self._ledger.record_growth(IDLE_CONNECTION_BYTES)
        set_limits(writer.transport)
        limit_kernel_buffer(writer.get_extra_info("socket"))
        client = ClientConnection(reader, writer, self._limits.max_header_bytes)
        end = ConnectionEnd.FAILED
        try:
            end = await self._serve_connection(client)
        except (ConnectionError, TimeoutError):
            end = ConnectionEnd.CLIENT_CLOSED
        except asyncio.CancelledError:
            end = ConnectionEnd.STOPPING
            # The time for sending the rest is over, and another wait would delay the end.
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
        finally:
            if self._table.record_end(client):
                end = ConnectionEnd.TOO_MANY
            self.on_connection_end(end, client.unanswered_bytes)
            writer.close()
            try:
                await flush_or_end(writer)
            finally:
                self._tasks.pop(task, None)

    async def _serve_connection(self, client: ClientConnection) -> ConnectionEnd:
        while True:
            end = await self._serve_request(client)
            if isinstance(end, Rejection):
                await send_rejection(client.conn, client.writer, end)
                end = ConnectionEnd.REJECTED
            if end is ConnectionEnd.REJECTED:
                now = asyncio.get_running_loop().time()
                self._table.record_wait(client, Wait.DISCARD, now)
                client.drop_input()
                await discard_remaining_input(client.reader, client.writer)
            if end is not None:
                return end
            client.is_used = True

    async def _serve_request(self, client: ClientConnection) -> ConnectionEnd | Rejection | None:
        """Serve one request; return why the connection ends after it, None if it does not.

        A rejection is returned as data, and nothing is sent while its error is handled: an error
        that is raised then would refer to it, and the connection keeps that error and so the head.
        """
        body = RequestBody()
        exchange: Exchange | None = None
        shortage = ""
        try:
            head = await self._read_head(client, body)
            if isinstance(head, ConnectionEnd):
                return head
            if not self._reads_bodies and has_body(head):
                exchange = self._make_exchange(head, b"", client)
                await self._answer_unread(exchange)
                return ConnectionEnd.REJECTED
            try:
                await self._read_body(head, body, client)
            except MemoryShort as error:
                if not self._answers_refusals:
                    raise
                shortage = error.rejection.reason
            self._table.record_progress(client)
            exchange = self._make_exchange(head, body.data, client)
            if shortage:
                self._bodies.release(body)
                exchange.memory_refusal = shortage
                await self._answer_unread(exchange)
                return ConnectionEnd.REJECTED
            await self._run_handler(exchange, body, client)
            if not await self._prepare_next(client.conn, client.writer, exchange.buffer):
                return ConnectionEnd.LAST_RESPONSE
            return None
        except RequestRejected as error:
            return error.rejection
        finally:
            self._bodies.release(body)
            if exchange is not None:
                exchange.release()

    def _make_exchange(self, head: h11.Request, body: bytes, client: ClientConnection) -> Exchange:
        exchange = Exchange(head, body, client.conn, client.writer, self._drain_state, self._ledger)
        if self._kind is HeldKind.DETOUR:
            exchange.buffer.kind = self._kind
        return exchange

    async def _answer_unread(self, exchange: Exchange) -> None:
        """Have the handler answer a request whose body was not read; its connection then ends."""
        exchange.extra_headers.append((b"Connection", b"close"))
        await self._handler(exchange)

    async def _read_head(
        self, client: ClientConnection, body: RequestBody
    ) -> h11.Request | ConnectionEnd:
        """Return the head of the next request, or why there is none.

        The time-out applies to the whole head: otherwise a client that sends a byte now and then
        could hold its connection for any length of time.
        """
        loop = asyncio.get_running_loop()
        head_deadline: float | None = None
        buffered = client.buffered
        if buffered:
            self._table.record_wait(client, Wait.REQUEST, loop.time())
        while True:
            if buffered >= LARGE_HEAD_BYTES:
                self._bodies.hold_head(body, buffered, loop.time())
                await self._turns.wait()
            event = read_event(client.conn)
            if isinstance(event, h11.Request):
                check_framing(event)
                return event
            if event is not h11.NEED_DATA:
                return ConnectionEnd.CLIENT_CLOSED
            if not buffered:
                data = await self._wait_for_request(client)
                if isinstance(data, ConnectionEnd):
                    return data
                client.set_limit(self._limits.max_header_bytes)
                self._table.record_wait(client, Wait.REQUEST, loop.time())
            else:
                head_deadline = head_deadline or loop.time() + self._limits.head_timeout
                self._bodies.hold_head(body, buffered, loop.time())
                data = await self._read_rest_of_head(client, body, head_deadline)
            client.conn.receive_data(data)
            buffered += len(data)

    async def _read_rest_of_head(
        self, client: ClientConnection, body: RequestBody, deadline: float
    ) -> bytes:
        try:
            async with InputTimeout(deadline) as body.timeout:
                return await client.reader.read(READ_SIZE_BYTES)
        except TimeoutError:
            if body.is_given_up:
                raise MemoryShort("the head arrived slowly, and memory is short") from None
            raise RequestRejected(408, TOO_SLOW) from None
        finally:
            body.timeout = None

    async def _wait_for_request(self, client: ClientConnection) -> bytes | ConnectionEnd:
        """Return the first bytes of a request, or why the idle connection ends without one.

        An idle time-out that was lengthened meanwhile applies: the client goes by the new one.
        """
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        reader = client.reader
        wait = Wait.NEXT_REQUEST if client.is_used else Wait.FIRST_REQUEST
        self._table.record_wait(client, wait, idle_since)
        while True:
            idle_timeout = self._limits.idle_timeout
            if self._stopping:
                idle_timeout = 0.0 if client.is_used else IDLE_CLOSE_DELAY_S
            timeout = InputTimeout(idle_since + idle_timeout)
            try:
                async with timeout:
                    self._idle_timeouts[timeout] = client.is_used
                    return await reader.read(READ_SIZE_BYTES)
            except TimeoutError:
                if not timeout.expired():
                    # The operating system has given the connection up.
                    raise
                if reader.unread:
                    # It arrived after the time-out had cancelled the read.
                    continue
                if self._stopping:
                    return ConnectionEnd.STOPPING
                if loop.time() >= idle_since + self._limits.idle_timeout:
                    return ConnectionEnd.IDLE
            finally:
                self._idle_timeouts.pop(timeout, None)

    async def _read_body(
        self, head: h11.Request, body: RequestBody, client: ClientConnection
    ) -> None:
        limits = self._limits
        if client.conn.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            client.writer.write(client.conn.send(informational) or b"")
        body_limits = BodyLimits(
            limits.max_body_bytes, limits.max_buffered_body_bytes, limits.body_timeout
        )
        try:
            await self._bodies.read(head, body, client.conn, client.reader, body_limits)
        except TimeoutError:
            raise RequestRejected(408, TOO_SLOW) from None

    async def _run_handler(
        self, exchange: Exchange, body: RequestBody, client: ClientConnection
    ) -> None:
        watcher = asyncio.create_task(
            watch_client(exchange, client, partial(self._bodies.hold_early, body))
        )
        try:
            await self._handler(exchange)
        finally:
            watcher.cancel()
            # Not awaited itself: this task's own cancelling would be taken for the watcher's, and
            # the connection would go on and keep the process from ending.
            await asyncio.wait([watcher])
            failure = None if watcher.cancelled() else watcher.exception()
            if failure is not None and not isinstance(failure, ConnectionError):
                raise failure

    async def _prepare_next(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, buffer: AnswerBuffer
    ) -> bool:
        await flush_or_end(writer, buffer)
        if writer.transport.is_closing():
            return False
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
            return True
        return False
