"""Connections between instances.

Each instance sends on the connections that it opened and receives on those that others opened. A
connection can stop delivering permanently while new ones work. Each connection is therefore checked
with a ping, sent `PING_INTERVAL_S` after the last pong. If the pong does not arrive in time, the
connection is closed; the next message opens a new one.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import Final

from rhubarbbend.core.messages import Message, TunnelRequest
from rhubarbbend.http import CONNECT_ERRORS, InputTimeout
from rhubarbbend.listening import find_port
from rhubarbbend.peers._codec import (
    MAX_FRAME_BYTES,
    FrameAuthenticator,
    FrameError,
    decode_frame,
    encode_frame,
)

PING_INTERVAL_S: Final = 0.5
PONG_TIMEOUT_S: Final = 1.5
CONNECT_TIMEOUT_S: Final = 1.0
RECONNECT_BACKOFF_S: Final = 0.5
# A connection that has carried no message for this long is closed. With hundreds of instances in
# other zones, pings on idle connections would cost more than all messages.
IDLE_TIMEOUT_S: Final = 15.0
MAX_QUEUED_FRAMES: Final = 10_000
HELLO_BYTES: Final = 32
# A frame of length zero requests a pong, which is a single byte sent back.
PING: Final = b"\0\0\0\0"
PONG: Final = b"\1"
HELLO_CONTEXT: Final = b"rhubarbbend peer hello 1"

OnMessage = Callable[[str, Message], None]
OnBadFrame = Callable[[], None]
OnLost = Callable[[str], None]
# Serves a tunnel on a connection until it ends.
ServeTunnel = Callable[[TunnelRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def make_hello(secret: bytes) -> bytes:
    """Return the first bytes of each connection, which prove that the sender is of the fleet."""
    return hmac.new(secret, HELLO_CONTEXT, hashlib.blake2b).digest()[:HELLO_BYTES]


class PeerListener:
    """Receive messages from other instances."""

    def __init__(
        self,
        secret: bytes,
        on_message: OnMessage,
        on_bad_frame: OnBadFrame,
        serve_tunnel: ServeTunnel | None = None,
    ) -> None:
        self._serve_tunnel = serve_tunnel
        self._hello = make_hello(secret)
        self._authenticator = FrameAuthenticator(secret)
        self._on_message = on_message
        self._on_bad_frame = on_bad_frame
        self._server: asyncio.Server | None = None
        # In the order of their opening, not that of their addresses in memory.
        self._tasks: dict[asyncio.Task[None], None] = {}
        # Bytes sent and received on the connections that others opened.
        self.traffic = 0

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections; return the port in use."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return find_port(self._server)

    def count_connections(self) -> int:
        """Return the number of open connections from other instances."""
        return len(self._tasks)

    async def close(self) -> None:
        """Close the listening socket and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        try:
            await self._receive(reader, writer)
        except FrameError:
            self._on_bad_frame()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TimeoutError):
            pass
        finally:
            self._tasks.pop(task, None)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with InputTimeout(asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S):
            hello = await reader.readexactly(HELLO_BYTES)
        self.traffic += HELLO_BYTES
        if not hmac.compare_digest(hello, self._hello):
            raise FrameError(
                "connection rejected: its hello does not match the secret of this fleet"
            )
        while True:
            length = int.from_bytes(await reader.readexactly(4), "big")
            if length == 0:
                writer.write(PONG)
                self.traffic += len(PING) + len(PONG)
                continue
            if length > MAX_FRAME_BYTES:
                raise FrameError("frame rejected: its length exceeds MAX_FRAME_BYTES")
            data = await reader.readexactly(length)
            self.traffic += length + 4
            sender, message = decode_frame(self._authenticator.verify(data))
            if isinstance(message, TunnelRequest):
                if self._serve_tunnel is not None:
                    await self._serve_tunnel(message, reader, writer)
                return
            self._on_message(sender, message)


class _Link:
    """A connection to one peer. Invariant: frames are queued only while it is being opened."""

    def __init__(self, links: PeerLinks, peer: str, address: tuple[str, int]) -> None:
        self.peer = peer
        self.address = address
        self._links = links
        self._writer: asyncio.StreamWriter | None = None
        self._queue: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._backoff_until = 0.0
        self._sent_at = 0.0

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it until the connection is open."""
        self._sent_at = asyncio.get_running_loop().time()
        if self._writer is not None:
            self._writer.write(frame)
            self._links.traffic += len(frame)
            return
        if len(self._queue) < MAX_QUEUED_FRAMES:
            self._queue.append(frame)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()

    def end_backoff(self) -> None:
        """Let the next frame open the connection, whenever the last attempt failed."""
        self._backoff_until = 0.0

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        writer: asyncio.StreamWriter | None = None
        idle = False
        try:
            if self._is_backing_off(loop.time()):
                return
            async with InputTimeout(loop.time() + CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
            initial_data = self._links.hello + b"".join(self._queue)
            self._links.traffic += len(initial_data)
            writer.write(initial_data)
            self._queue.clear()
            self._writer = writer
            await self._keep_alive(reader, writer)
            idle = True
        except CONNECT_ERRORS:
            # Only a failure starts the backoff. If each message sent during the backoff restarted
            # it, steady traffic would keep the connection closed forever, even after the peer has
            # recovered.
            self._backoff_until = loop.time() + RECONNECT_BACKOFF_S
        finally:
            self._writer = None
            self._task = None
            dropped, self._queue = self._queue, []
            if writer is not None:
                writer.transport.abort()
            if not idle:
                self._links.handle_link_closed(self, len(dropped))

    def _is_backing_off(self, now: float) -> bool:
        return now < self._backoff_until

    async def _keep_alive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Check the connection with pings until it has been idle for the idle timeout.

        Raises `TimeoutError` or `ConnectionError` if a pong does not arrive.
        """
        loop = asyncio.get_running_loop()
        while loop.time() - self._sent_at < self._links.idle_timeout:
            writer.write(PING)
            self._links.traffic += len(PING) + len(PONG)
            async with InputTimeout(loop.time() + PONG_TIMEOUT_S):
                if not await reader.read(64):
                    raise ConnectionError("connection closed by the peer")
            await asyncio.sleep(PING_INTERVAL_S)


class PeerLinks:
    """Send messages to other instances.

    `on_lost` is called with the peer's id when a connection fails; `idle_timeout` is in seconds.
    """

    def __init__(
        self, own_id: str, secret: bytes, on_lost: OnLost, idle_timeout: float = IDLE_TIMEOUT_S
    ) -> None:
        self.idle_timeout = idle_timeout
        self.hello = make_hello(secret)
        self._authenticator = FrameAuthenticator(secret)
        self._own_id = own_id
        self._on_lost = on_lost
        self._links: dict[str, _Link] = {}
        # The last message sent and its frame: a heartbeat to all peers of a zone is encoded once.
        self._last_encoded: tuple[Message | None, bytes] = (None, b"")
        self._closed = False
        # Bytes sent and received on the connections that this instance opened.
        self.traffic = 0
        # Frames that were queued and not sent, since the runtime last reset the count.
        self.dropped = 0

    def send(self, peer: str, address: tuple[str, int], message: Message) -> None:
        """Send a message; if it cannot be sent, drop it and report the peer as lost."""
        link = self._links.get(peer)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[peer] = _Link(self, peer, address)
        if self._last_encoded[0] is not message:
            envelope = encode_frame(self._own_id, message)
            self._last_encoded = (message, self._authenticator.sign(envelope))
        frame = self._last_encoded[1]
        link.send(frame)

    def record_heard(self, peer: str) -> None:
        """Record that a message of a peer has arrived, so that it can be reached again.

        What is sent during a backoff is dropped. A peer that has just come back would miss the
        handover of its targets, and grant next to nothing until their reports end its probation.
        """
        link = self._links.get(peer)
        if link is not None:
            link.end_backoff()

    def handle_link_closed(self, link: _Link, dropped: int) -> None:
        """Record the dropped frames of a link that has failed, and report its peer as lost."""
        self.dropped += dropped
        if not self._closed and self._links.get(link.peer) is link:
            self._on_lost(link.peer)

    async def close(self) -> None:
        """Close every connection."""
        self._closed = True
        for link in self._links.values():
            link.close()
        await asyncio.sleep(0)
