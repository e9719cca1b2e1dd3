"""Tells the story of one request from the logs of the instances that it met."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

# What an instance came to believe this long before the request's first line is shown with it:
# the longest time for which a change can still be on its way to an instance, with some room.
CONTEXT_SECONDS: Final = 3.0
# Fields that stand at the beginning of a line of the story, or in its place in time.
FRAME: Final = frozenset({"event", "time", "mono", "instance", "id"})


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log; `time` is Unix time as its instance saw it."""

    event: str
    time: float
    instance: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """The id of the request that the line is about; empty if it is about none."""
        found = self.fields.get("id", "")
        return found if isinstance(found, str) else ""


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines; whatever a collector put before the JSON of a line is left out.

    Lines that are no log lines, as a traceback's, are passed over: they have no id.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            value = msgspec.json.decode(text[start:])
        except msgspec.MsgspecError:
            continue
        if not isinstance(value, dict) or not {"event", "time", "instance"} <= value.keys():
            continue
        yield LogLine(str(value["event"]), float(value["time"]), str(value["instance"]), value)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Read log files; raises OSError for one that cannot be read."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_lines(file)
    return lines


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Give the story of a request in order of time; empty if no line is about it.

    With its own lines come those that tell what the instances it met learned or lost meanwhile
    and shortly before, since that decided where it went.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in all_lines if line.request == request]
    if not own:
        return []
    met = {line.instance for line in own}
    first, last = own[0].time - CONTEXT_SECONDS, own[-1].time
    story = [
        line
        for line in all_lines
        if line.request == request
        or (not line.request and line.instance in met and first <= line.time <= last)
    ]
    origin = own[0].time
    return [_render(line, origin, line.request == request) for line in story]


def _render(line: LogLine, origin: float, is_own: bool) -> str:
    fields = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in FRAME and value is not None
    ]
    mark = "*" if is_own else " "
    offset = (line.time - origin) * 1000.0
    return f"{mark} {offset:+9.1f} ms  {line.instance:<20} {line.event:<18} {' '.join(fields)}"
