"""Writes the structured log to standard output, one JSON object per line.

The rate of lines is limited, and writing never blocks on a slow reader. The lines are encoded with
msgspec: eliot, which rhubarbbend.shell uses, loads 55 modules and takes 3.0 MB of resident memory,
a tenth of what an instance of the gateway uses in total.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import deque
from typing import Any, Final

import msgspec

# Lines queued for a slow reader; at about 300 bytes a line this is 0.6 MB.
MAX_QUEUED_LINES: Final = 2_000
# Token bucket that limits the rate: the largest burst, and the sustained rate. A request writes two
# or three lines.
MAX_BURST_LINES: Final = 1_000.0
LINES_PER_S: Final = 300.0


class EventLog:
    """Writes log lines.

    Invariant: `write` never blocks. Lines that exceed the limits are dropped; `dropped_count`
    counts them, and a `lines_dropped` line with their number precedes the next line that is
    written.
    """

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._tokens = MAX_BURST_LINES
        self._refilled_at = 0.0
        self.dropped_count = 0
        self._reported_dropped = 0
        self._is_writer_registered = False
        os.set_blocking(descriptor, False)

    def write(self, event: str, now: float, **fields: Any) -> None:
        """Write a line about an event; `now` is its time by the event loop's clock."""
        if not self._acquire_token(now):
            self.dropped_count += 1
            return
        if self.dropped_count > self._reported_dropped:
            newly_dropped = self.dropped_count - self._reported_dropped
            self._reported_dropped = self.dropped_count
            self._enqueue("lines_dropped", now, {"count": newly_dropped})
        self._enqueue(event, now, fields)

    def close(self) -> None:
        """Write the queued lines, as far as the reader accepts them without blocking."""
        self._flush()

    def _acquire_token(self, now: float) -> bool:
        self._tokens = min(MAX_BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0 or len(self._queue) >= MAX_QUEUED_LINES:
            return False
        self._tokens -= 1.0
        return True

    def _enqueue(self, event: str, now: float, fields: dict[str, Any]) -> None:
        line = {
            "event": event,
            "time": round(time.time(), 4),
            "mono": round(now, 4),
            "instance": self._instance,
            **fields,
        }
        self._queue.append(msgspec.json.encode(line) + b"\n")
        if not self._is_writer_registered:
            self._flush()

    def _flush(self) -> None:
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._register_writer()
                return
            except OSError:
                # The reader has closed the pipe; the instance continues without a log.
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
            else:
                self._queue.popleft()
        self._unregister_writer()

    def _register_writer(self) -> None:
        if self._is_writer_registered:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self._flush)
            self._is_writer_registered = True
        except (RuntimeError, OSError):
            # There is no running event loop, or the output is a regular file. The next line is
            # written together with the queued ones.
            self._is_writer_registered = False

    def _unregister_writer(self) -> None:
        if self._is_writer_registered:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_writer_registered = False
