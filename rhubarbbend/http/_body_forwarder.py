"""Forwards a response body to a relay, each part in the event loop iteration that received it."""

from __future__ import annotations

import abc
import asyncio
import math
from typing import Final

import h11

from rhubarbbend.http._failures import (
    REASON_CLOSED,
    REASON_NO_PROGRESS,
    HttpFailure,
    SendStage,
)
from rhubarbbend.http._protocol import ClientProtocol, Sink
from rhubarbbend.http._receive_limits import FramingMonitor, make_failure

# The shortest interval between two checks of whether a body makes progress.
MIN_CHECK_INTERVAL_S: Final = 0.05
# A check that is late by more than this shows that this process did not run. The event loop of a
# busy process is often late by less, which counts as silence.
MIN_STALL_S: Final = 0.1


class BodyRelay(abc.ABC):
    """Receives a body part by part and passes it on.

    Hooks: `write` is called for each part and must not block; it raises `HttpFailure` if the body
    cannot be what it should be, and is not called again. If `is_write_buffer_full` returns
    True, reading the body is paused until `drain` has returned.
    """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Accept a part of the body."""

    @abc.abstractmethod
    def is_write_buffer_full(self) -> bool:
        """Return whether too much accepted data is not sent yet."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Wait until enough of the accepted data is sent."""


class BodyTimeoutPolicy(abc.ABC):
    """Decides how long to wait for a body that makes no progress."""

    @abc.abstractmethod
    def compute_remaining(self, silence: float) -> float:
        """Return how many more seconds to wait after `silence` seconds without data.

        The body fails if the result is 0 or negative.
        """


class FixedTimeoutPolicy(BodyTimeoutPolicy):
    """Allows a fixed time without progress, in seconds."""

    def __init__(self, limit: float) -> None:
        self._limit = limit

    def compute_remaining(self, silence: float) -> float:
        """Return the rest of the fixed time."""
        return self._limit - silence


class SilenceClock:
    """Measures the silence of a peer, without the time in which this process did not run.

    What the peer sent meanwhile may not have arrived yet. `check_at` is when the silence is to be
    measured next; a check that is much later shows that the event loop did not run.
    """

    def __init__(self) -> None:
        self.check_at = math.inf
        self._last_received_at = -math.inf
        self._stalled_s = 0.0

    def measure(self, last_received_at: float, now: float) -> float:
        """Return the seconds of silence since `last_received_at` that count."""
        if last_received_at != self._last_received_at:
            self._last_received_at = last_received_at
            self._stalled_s = 0.0
        began_at = max(self.check_at, last_received_at)
        if now - began_at > MIN_STALL_S:
            self._stalled_s += now - began_at
        return now - last_received_at - self._stalled_s


class BodyForwarder(Sink):
    """Forwards a body from a protocol to a relay. Invariant: `ended` is completed at most once."""

    def __init__(
        self,
        conn: h11.Connection,
        protocol: ClientProtocol,
        relay: BodyRelay,
        ended: asyncio.Future[None],
        timeout_policy: BodyTimeoutPolicy,
    ) -> None:
        self._conn = conn
        self._protocol = protocol
        self._relay = relay
        self._ended = ended
        self._timeout_policy = timeout_policy
        self._loop = ended.get_loop()
        self._framing = FramingMonitor()
        # When the last part of the body came. Bytes that carry none, such as a chunk extension, are
        # no progress.
        self._progressed_at = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._silence = SilenceClock()
        self._drain_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Forward the data received so far, then each part as it arrives."""
        self._protocol.last_received_at = self._progressed_at = self._loop.time()
        self._check_progress()
        self._parse()
        self._protocol.set_sink(self)

    def stop(self) -> None:
        """Stop forwarding and leave the connection to its next reader."""
        self._protocol.set_sink(None)
        if self._progress_timer is not None:
            self._progress_timer.cancel()
        if self._drain_task is not None:
            self._drain_task.cancel()

    def receive(self, data: bytes) -> None:
        """Parse received bytes."""
        self._parse_received(data)

    def handle_end(self, error: Exception | None) -> None:
        """Fail the body, or end it after an orderly end if it has neither a length nor chunks."""
        if error is None:
            self._parse_received(b"")
        else:
            self._fail(str(error) or REASON_CLOSED)

    def _parse_received(self, data: bytes) -> None:
        """Parse received bytes; empty after an orderly end of the connection."""
        if self._ended.done():
            return
        try:
            self._conn.receive_data(data)
            self._framing.record_received(self._loop.time(), len(data))
        except HttpFailure as failure:
            self._end_with(failure)
            return
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._fail(str(error))
            return
        self._parse()

    def _parse(self) -> None:
        try:
            while not self._ended.done():
                event = self._conn.next_event()
                if isinstance(event, h11.Data):
                    self._framing.record_data()
                    self._progressed_at = self._loop.time()
                    self._relay.write(bytes(event.data))
                elif event is h11.NEED_DATA:
                    break
                elif isinstance(event, h11.EndOfMessage):
                    self._ended.set_result(None)
                else:
                    self._fail(REASON_CLOSED)
        except HttpFailure as failure:
            self._end_with(failure)
        except h11.RemoteProtocolError as error:
            self._end_with(make_failure(SendStage.RESPONSE, error))
        if (
            self._drain_task is None
            and not self._ended.done()
            and self._relay.is_write_buffer_full()
        ):
            self._drain_task = self._loop.create_task(self._apply_backpressure())

    async def _apply_backpressure(self) -> None:
        """Pause reading until the relay has drained (backpressure).

        Without it, the data for a slow receiver would fill the memory of the instance.
        """
        self._protocol.pause_reading()
        try:
            await self._relay.drain()
        except OSError:
            # The receiver has disconnected; the code that watches it ends the request.
            return
        finally:
            self._drain_task = None
        self._protocol.last_received_at = self._progressed_at = self._loop.time()
        self._protocol.resume_reading()

    def _check_progress(self) -> None:
        """Fail a body that makes no progress, unless reading it is paused."""
        remaining = MIN_CHECK_INTERVAL_S
        if self._drain_task is None:
            silence = self._silence.measure(self._progressed_at, self._loop.time())
            remaining = self._timeout_policy.compute_remaining(silence)
        if remaining <= 0.0:
            self._fail(REASON_NO_PROGRESS)
            return
        delay = max(remaining, MIN_CHECK_INTERVAL_S)
        self._silence.check_at = self._loop.time() + delay
        self._progress_timer = self._loop.call_later(delay, self._check_progress)

    def _fail(self, reason: str) -> None:
        self._end_with(HttpFailure(SendStage.RESPONSE, reason))

    def _end_with(self, failure: HttpFailure) -> None:
        if not self._ended.done():
            self._ended.set_exception(failure)
