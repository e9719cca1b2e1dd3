"""Relays server-sent events from targets to a caller: complete events only, and each one once.

A stream that is cut off may be resumed at another target; the caller sees one stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from rhubarbbend.core.limits import HeldKind
from rhubarbbend.http import BodyRelay, EndlessAnswer, Exchange, SendStage, TrickleDetector

# Data that contains no end of an event within this size is not an event stream.
MAX_EVENT_BYTES: Final = 1_048_576
# Line ends between two events are no event themselves. More of them than this are no event stream.
MAX_BLANK_BYTES: Final = 1_024
LINE_ENDS: Final = b"\r\n"
# Incomplete events up to this size are not counted as held: most are parts of one packet.
UNCOUNTED_EVENT_BYTES: Final = 4_096
ID_FIELD: Final = b"id:"


def read_event_id(event: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
    return ""


class EventRelay(BodyRelay):
    """Relays the events of one stream to its caller, from each target that serves it in turn.

    A target may stop in the middle of an event, and a target that resumes a stream may repeat
    events. If bytes were forwarded as they arrive, two halves of an event could be joined, which
    the caller cannot distinguish from one event. Therefore only complete events are forwarded and,
    after a resumption, only those with ids after the last forwarded one.
    Invariant: `last_id` is the id of the last event that was forwarded.
    """

    def __init__(self, exchange: Exchange, send_head: Callable[[], None], last_id: str) -> None:
        self.last_id = last_id
        # Whether the response head has been sent to the caller.
        self.started = False
        # Whether an event has been received from the current target.
        self.has_received_event = False
        # The number of complete events received from the current target.
        self.event_count = 0
        self._exchange = exchange
        self._send_head = send_head
        self._buffer = bytearray()
        self._is_resumed = False
        self._on_first_event: Callable[[], None] = lambda: None
        self._trickle = TrickleDetector()
        self._is_counted = False

    def begin_response(self, is_resumed: bool, on_first_event: Callable[[], None]) -> None:
        """Prepare to relay the body of a target's response from its beginning.

        `is_resumed` is whether it continues a stream that was cut off. `on_first_event` is called
        when its first complete event has been received.
        """
        self._buffer.clear()
        self._trickle.reset()
        if self._exchange.buffer.kind is HeldKind.ANSWER:
            self._exchange.buffer.kind = HeldKind.STREAM
        self._is_resumed = is_resumed
        self.has_received_event = False
        self.event_count = 0
        self._on_first_event = on_first_event

    def write(self, data: bytes) -> None:
        """Accept a part of the target's body and forward the events that it completes.

        Raise `EndlessAnswer` if what it sends instead may never become an event.
        """
        searched = len(self._buffer)
        self._buffer += data
        end = _find_end_of_events(self._buffer, searched)
        if end < 0 or not self._buffer[:end].strip(LINE_ENDS):
            self._check_incomplete(len(data))
            return
        self._trickle.reset()
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._count_incomplete()
        self.event_count += events.lstrip(LINE_ENDS).count(b"\n\n")
        if not self.has_received_event:
            self.has_received_event = True
            self._on_first_event()
        output = (
            self._select_new_events(events) if self._is_resumed else self._record_last_id(events)
        )
        if not output:
            return
        if not self.started:
            self.started = True
            self._send_head()
        self._exchange.write(output)

    def is_complete(self) -> bool:
        """Return whether the body received so far ends at the end of an event."""
        return not self._buffer.strip()

    def flush(self) -> None:
        """Forward the line ends after the last event, since a body is passed on unchanged."""
        if self._buffer and not self._is_resumed:
            self._exchange.write(bytes(self._buffer))
        self._buffer.clear()

    def is_write_buffer_full(self) -> bool:
        """Return whether the caller reads more slowly than events arrive."""
        return self._exchange.is_write_buffer_full()

    async def drain(self) -> None:
        """Wait until the caller has read enough of the forwarded events."""
        await self._exchange.drain()

    def _check_incomplete(self, received: int) -> None:
        """Check an event of which another part was received, but not its end."""
        size = len(self._buffer)
        now = asyncio.get_running_loop().time()
        continues = size > received
        is_blank = size > MAX_BLANK_BYTES and not self._buffer.strip(LINE_ENDS)
        is_too_long = size > MAX_EVENT_BYTES or is_blank
        is_endless = self._trickle.record(now, received, continues) or is_too_long
        if is_endless:
            self._buffer.clear()
        self._count_incomplete()
        if is_endless:
            raise EndlessAnswer(SendStage.RESPONSE, "an event without end")

    def _count_incomplete(self) -> None:
        """Count an event that is not complete as held, if it is large."""
        size = len(self._buffer)
        if size > UNCOUNTED_EVENT_BYTES or self._is_counted:
            self._is_counted = size > UNCOUNTED_EVENT_BYTES
            self._exchange.buffer.record_pending(size if self._is_counted else 0)

    def _record_last_id(self, events: bytes) -> bytes:
        """Record the last id in a block of complete events and return the block unchanged."""
        for event in reversed(events.split(b"\n\n")):
            event_id = read_event_id(event)
            if event_id:
                self.last_id = event_id
                break
        return events

    def _select_new_events(self, events: bytes) -> bytes:
        """Return those events of a block that the caller has not received yet."""
        output: list[bytes] = []
        for event in events.split(b"\n\n"):
            if not event.strip():
                continue
            event_id = read_event_id(event)
            if event_id and not _is_after(event_id, self.last_id):
                continue
            self.last_id = event_id or self.last_id
            output.append(event + b"\n\n")
        return b"".join(output)


def _find_end_of_events(buffer: bytearray, searched: int) -> int:
    """Return the length of the complete events at the start of a buffer, -1 if there are none.

    The first `searched` bytes hold no end of an event; a large one may come in very many parts.
    """
    end = buffer.rfind(b"\n\n", max(0, searched - 1))
    return -1 if end < 0 else end + 2


def _is_after(event_id: str, last_id: str) -> bool:
    if event_id.isdecimal() and last_id.isdecimal():
        return _make_order(event_id) > _make_order(last_id)
    return event_id != last_id


def _make_order(digits: str) -> tuple[int, str]:
    """Return a key that orders whole numbers of any length; `int` refuses very long ones."""
    significant = digits.lstrip("0")
    return len(significant), significant
