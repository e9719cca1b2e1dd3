"""Tells the keepers of a stream its origin, and asks them for it.

A notice is one datagram to each keeper that is told, sent before the first event is passed on. It
may be lost: then the other keeper knows, or the instance that began the stream.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.streams import list_keepers, select_told
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._peers import STREAMS_PATH, PeerClient
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Clock, State

# In a notice: the stream's origin is not certain any more.
UNCERTAIN_ORIGIN: Final = 0


class StreamNotice(msgspec.Struct, frozen=True, array_like=True):
    """Tells a keeper the origin of a stream; `sender` is the hash of the sender's name."""

    sender: int
    stream: int
    origin: int


class StreamQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks a keeper for the origin of a stream."""

    stream: int


class StreamReply(msgspec.Struct, frozen=True, array_like=True):
    """The origin of a stream, None if the keeper does not know it."""

    origin: int | None


class KeeperFindings(msgspec.Struct):
    """What the keepers of a stream replied: the origin and the keeper that knew it, if any did.

    If `replied` is less than `asked`, an instance that may know the stream could not be asked.
    """

    asked: int
    replied: int = 0
    origin: int | None = None
    keeper: str = ""


class StreamKeepers:
    """The other instances that keep origins of streams."""

    def __init__(self, state: State, peers: PeerClient, clock: Clock) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        # Sends a datagram to another instance; set by the instance.
        self.send_notice: Callable[[bytes, Address], None] = lambda data, address: None
        # Hashes of senders whose notices are rejected. Each is logged once until one is accepted.
        self._rejected: set[int] = set()

    def tell(self, key: int, origin: int) -> None:
        """Tell the keepers of a stream its origin."""
        own = self._state.settings
        notice = StreamNotice(_hash_name(own.instance), key, origin)
        data = msgspec.msgpack.encode(notice)
        for name in select_told(key, self._state.instance_zones, own.zone):
            row = self._state.instances[name]
            if name != own.instance:
                self.send_notice(data, (row.host, row.port))
                self._state.metrics.increment_counter(codes.STREAMS_TOLD)

    def decode_notice(self, data: bytes, address: Address) -> StreamNotice | None:
        """Return the notice in a datagram, None if it cannot be from another instance."""
        try:
            notice = decode_msgpack(data, type=StreamNotice)
        except msgspec.MsgspecError:
            self._state.metrics.increment_counter(codes.PEER_FRAMES_BAD)
            return None
        known = self._state.list_senders(self._clock())
        senders = [row for name, row in known.items() if _hash_name(name) == notice.sender]
        if any(row.may_send_from(*address[:2]) for row in senders):
            self._rejected.discard(notice.sender)
            return notice
        self._state.metrics.increment_counter(codes.STREAM_NOTICES_REJECTED)
        if notice.sender not in self._rejected:
            self._rejected.add(notice.sender)
            self._state.event_log.write(
                "stream_notices_rejected",
                self._clock(),
                origin=f"{address[0]}:{address[1]}",
                is_listed=bool(senders),
            )
        return None

    async def ask(self, key: int) -> KeeperFindings:
        """Ask all keepers of a stream; return when the first one that knows it has replied."""
        query = msgspec.msgpack.encode(StreamQuery(key))
        names = list_keepers(key, self._state.instance_zones)
        others = [name for name in names if name != self._state.settings.instance]
        asking = [asyncio.create_task(self._ask(name, query)) for name in others]
        self._state.metrics.increment_counter(codes.STREAMS_ASKED, len(asking))
        findings = KeeperFindings(len(others))
        try:
            for answer in asyncio.as_completed(asking):
                name, reply = await answer
                if reply is None:
                    continue
                findings.replied += 1
                if reply.origin is not None:
                    findings.origin, findings.keeper = reply.origin, name
                    break
        finally:
            for task in asking:
                task.cancel()
        return findings

    async def _ask(self, name: str, query: bytes) -> tuple[str, StreamReply | None]:
        row = self._state.instances[name]
        reply = await self._peers.ask((row.host, row.port), STREAMS_PATH, query)
        if not reply:
            return name, None
        try:
            return name, decode_msgpack(reply, type=StreamReply)
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", self._clock(), reason=str(error))
            return name, None


def _hash_name(name: str) -> int:
    return zlib.crc32(name.encode())
