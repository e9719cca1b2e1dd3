"""Connections between instances.

Each instance sends on connections that it opened and receives on those that others opened. A
connection can go silent for good while new ones work, so each is proven by a ping every second;
one whose pong does not come is closed and opened anew at the next message.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
from collections.abc import Callable
from typing import Final

from rhubarbbend.core.messages import Message
from rhubarbbend.peers._codec import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameSeal,
    decode_frame,
    encode_frame,
)

PING_INTERVAL: Final = 0.5
PONG_TIMEOUT: Final = 1.5
CONNECT_TIMEOUT: Final = 1.0
RECONNECT_HOLD: Final = 0.5
# A connection that has carried no message for this long is closed, in seconds: with hundreds of
# instances in other zones the pings of idle ones would cost more than all that is said.
IDLE_LIMIT: Final = 15.0
MAX_QUEUED_FRAMES: Final = 10_000
HELLO_BYTES: Final = 32
# A frame of length zero asks for a pong, a single byte on the way back.
PING: Final = b"\0\0\0\0"
PONG: Final = b"\1"
HELLO_CONTEXT: Final = b"rhubarbbend peer hello 1"

OnMessage = Callable[[str, Message], None]
OnBadFrame = Callable[[], None]
OnLost = Callable[[str], None]


def make_hello(secret: bytes) -> bytes:
    """Make the proof of membership that opens each connection."""
    return hmac.new(secret, HELLO_CONTEXT, hashlib.blake2b).digest()[:HELLO_BYTES]


class PeerListener:
    """Receives messages of other instances."""

    def __init__(self, secret: bytes, on_message: OnMessage, on_bad_frame: OnBadFrame) -> None:
        self._hello = make_hello(secret)
        self._seal = FrameSeal(secret)
        self._on_message = on_message
        self._on_bad_frame = on_bad_frame
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        # Bytes both ways on the connections that others opened.
        self.traffic = 0

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; returns the port in use."""
        self._server = await asyncio.start_server(self._accept, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    def count_open(self) -> int:
        """Count the connections that others have opened and not closed."""
        return len(self._tasks)

    async def close(self) -> None:
        """Close the socket and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._receive(reader, writer)
        except FrameError:
            self._on_bad_frame()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TimeoutError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            hello = await reader.readexactly(HELLO_BYTES)
        self.traffic += HELLO_BYTES
        if not hmac.compare_digest(hello, self._hello):
            raise FrameError("not of this fleet")
        while True:
            length = int.from_bytes(await reader.readexactly(4), "big")
            if length == 0:
                writer.write(PONG)
                self.traffic += len(PING) + len(PONG)
                continue
            if length > MAX_FRAME_BYTES:
                raise FrameError("frame too large")
            data = await reader.readexactly(length)
            self.traffic += length + 4
            sender, message = decode_frame(self._seal.open(data))
            self._on_message(sender, message)


class _Link:
    """A connection to one peer. Invariant: frames queue only while it is being opened."""

    def __init__(self, links: PeerLinks, peer: str, address: tuple[str, int]) -> None:
        self.peer = peer
        self.address = address
        self._links = links
        self._writer: asyncio.StreamWriter | None = None
        self._queue: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._hold_until = 0.0
        self._sent_at = 0.0

    def send(self, frame: bytes) -> None:
        """Send a frame now, or once the connection is open."""
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

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        writer: asyncio.StreamWriter | None = None
        idle = False
        try:
            if self._is_held(loop.time()):
                return
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self.address)
            opening = self._links.hello + b"".join(self._queue)
            self._links.traffic += len(opening)
            writer.write(opening)
            self._queue.clear()
            self._writer = writer
            await self._keep_alive(reader, writer)
            idle = True
        except (OSError, TimeoutError):
            # Set by a failure alone: if each message that is held back put it off again, steady
            # traffic would keep the connection closed for good after the peer has come back.
            self._hold_until = loop.time() + RECONNECT_HOLD
        finally:
            self._writer = None
            self._task = None
            dropped, self._queue = self._queue, []
            if writer is not None:
                writer.transport.abort()
            if not idle:
                self._links.report_lost(self, len(dropped))

    def _is_held(self, now: float) -> bool:
        return now < self._hold_until

    async def _keep_alive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Prove the connection by pings until it has been idle for long."""
        loop = asyncio.get_running_loop()
        while loop.time() - self._sent_at < self._links.idle_limit:
            writer.write(PING)
            self._links.traffic += len(PING) + len(PONG)
            async with asyncio.timeout(PONG_TIMEOUT):
                if not await reader.read(64):
                    raise ConnectionError("closed by the peer")
            await asyncio.sleep(PING_INTERVAL)


class PeerLinks:
    """Sends messages to other instances."""

    def __init__(
        self, own_id: str, secret: bytes, on_lost: OnLost, idle_limit: float = IDLE_LIMIT
    ) -> None:
        self.idle_limit = idle_limit
        self.hello = make_hello(secret)
        self._seal = FrameSeal(secret)
        self._own_id = own_id
        self._on_lost = on_lost
        self._links: dict[str, _Link] = {}
        # A heartbeat goes to every peer of a zone: it is encoded once.
        self._last: tuple[Message | None, bytes] = (None, b"")
        self._closed = False
        # Bytes both ways on the connections that this instance opened.
        self.traffic = 0
        self.dropped = 0

    def send(self, peer: str, address: tuple[str, int], message: Message) -> None:
        """Send a message; one that cannot be delivered is dropped and the peer reported lost."""
        link = self._links.get(peer)
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = self._links[peer] = _Link(self, peer, address)
        if self._last[0] is not message:
            envelope = encode_frame(self._own_id, message)
            self._last = (message, self._seal.close(envelope))
        frame = self._last[1]
        link.send(frame)

    def report_lost(self, link: _Link, dropped: int) -> None:
        """Take note of a connection that has ended; called by the link."""
        self.dropped += dropped
        if not self._closed and self._links.get(link.peer) is link:
            self._on_lost(link.peer)

    async def close(self) -> None:
        """Close every connection."""
        self._closed = True
        for link in self._links.values():
            link.close()
        await asyncio.sleep(0)
