"""Event streams: whole events are passed on as they come, each once, across resumptions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from rhubarbbend.http import BodyRelay, Exchange

# An event that has not ended after so many bytes is no event.
MAX_EVENT: Final = 1_048_576
ID_FIELD: Final = b"id:"


def read_event_id(event: bytes) -> str:
    """Give the id that an event carries; empty without one."""
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("ascii", "replace")
    return ""


class EventRelay(BodyRelay):
    """Passes one caller's events on, from one target after the other.

    A target may stop in the middle of an event, and one that resumes a stream may repeat events.
    Passing bytes on as they come would join two halves of an event, which the caller cannot tell
    from a whole one; so only whole events pass, and only ids beyond the last one passed.
    Invariant: `last_id` is the id of the last event that was passed on.
    """

    def __init__(self, exchange: Exchange, start: Callable[[], None], last_id: str) -> None:
        self.last_id = last_id
        self.started = False
        # Whether the run that is being relayed has brought an event.
        self.has_begun = False
        self._exchange = exchange
        self._start = start
        self._buffer = bytearray()
        self._resumed = False
        self._on_begun: Callable[[], None] = lambda: None
        self._overlong = False

    def begin_run(self, resumed: bool, on_begun: Callable[[], None]) -> None:
        """Take a target's body from its beginning; `resumed` if it goes on where one was cut.

        `on_begun` is called with its first event.
        """
        self._buffer.clear()
        self._resumed = resumed
        self.has_begun = False
        self._on_begun = on_begun

    def write(self, data: bytes) -> None:
        """Take a part of the target's body."""
        if self._overlong:
            return
        self._buffer += data
        end = _find_end(self._buffer)
        if end < 0:
            self._overlong = len(self._buffer) > MAX_EVENT
            return
        block = bytes(self._buffer[:end])
        del self._buffer[:end]
        if not self.has_begun:
            self.has_begun = True
            self._on_begun()
        passed = self._select(block) if self._resumed else self._note_last(block)
        if not passed:
            return
        if not self.started:
            self.started = True
            self._start()
        self._exchange.write(passed)

    def is_whole(self) -> bool:
        """Whether the body ended with the end of an event."""
        return not self._overlong and not self._buffer.strip()

    def is_write_buffer_full(self) -> bool:
        """Whether the caller reads slower than events come."""
        return self._exchange.is_write_buffer_full()

    async def drain(self) -> None:
        """Wait for the caller."""
        await self._exchange.drain()

    def _note_last(self, block: bytes) -> bytes:
        """Pass a block on to the byte, and note the id of its last event."""
        for event in reversed(block.split(b"\n\n")):
            event_id = read_event_id(event)
            if event_id:
                self.last_id = event_id
                break
        return block

    def _select(self, block: bytes) -> bytes:
        """Give those events of a block of whole ones that the caller has not had."""
        passed: list[bytes] = []
        for event in block.split(b"\n\n"):
            if not event.strip():
                continue
            event_id = read_event_id(event)
            if event_id and not _is_after(event_id, self.last_id):
                continue
            self.last_id = event_id or self.last_id
            passed.append(event + b"\n\n")
        return b"".join(passed)


def _find_end(buffer: bytearray) -> int:
    """Give the length of the whole events at the beginning of a buffer; -1 if there is none."""
    end = buffer.rfind(b"\n\n")
    return -1 if end < 0 else end + 2


def _is_after(event_id: str, last_id: str) -> bool:
    if event_id.isdecimal() and last_id.isdecimal():
        return int(event_id) > int(last_id)
    return event_id != last_id
