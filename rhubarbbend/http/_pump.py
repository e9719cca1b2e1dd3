"""Moves the body of a response to whoever relays it, in the loop's turn that received each part."""

from __future__ import annotations

import abc
import asyncio
from typing import Final

import h11

from rhubarbbend.http._failures import (
    REASON_CLOSED,
    REASON_NO_PROGRESS,
    HttpFailure,
    SendStage,
)
from rhubarbbend.http._protocol import ClientProtocol

# A body is looked at again after this many seconds at the earliest.
MIN_WATCH: Final = 0.05


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


class BodyPatience(abc.ABC):
    """Decides how long a body may make no progress."""

    @abc.abstractmethod
    def extend(self, silence: float) -> float:
        """Give for how many seconds more to wait after so many of silence; 0: not any longer."""


class FixedPatience(BodyPatience):
    """Waits for a fixed time."""

    def __init__(self, limit: float) -> None:
        self._limit = limit

    def extend(self, silence: float) -> float:
        """Give what is left of it."""
        return self._limit - silence


class BodyPump:
    """Moves one body from a protocol to a relay. Invariant: `ended` is settled exactly once."""

    def __init__(
        self,
        conn: h11.Connection,
        protocol: ClientProtocol,
        relay: BodyRelay,
        ended: asyncio.Future[None],
        patience: BodyPatience,
    ) -> None:
        self._conn = conn
        self._protocol = protocol
        self._relay = relay
        self._ended = ended
        self._patience = patience
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
        more = self._patience.extend(self._loop.time() - self._protocol.last_received)
        if self._holding is None and more <= 0.0:
            self._fail(REASON_NO_PROGRESS)
            return
        self._timer = self._loop.call_later(max(more, MIN_WATCH), self._check_progress)

    def _fail(self, reason: str) -> None:
        if not self._ended.done():
            self._ended.set_exception(HttpFailure(SendStage.RESPONSE, reason))
