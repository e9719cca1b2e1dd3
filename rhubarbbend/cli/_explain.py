"""Builds the timeline of one request from the logs of the instances that handled it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

import msgspec

from rhubarbbend.decoding import decode_json

# Log lines about no request are included from this long before the request's first line. It is the
# longest time that a change can take to reach an instance, plus a margin.
CONTEXT_S: Final = 3.0
# Fields that a line of the timeline shows in its prefix or by its position, not among the others.
PREFIX_FIELDS: Final = frozenset({"event", "time", "mono", "instance", "id"})


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log; `time` is in Unix seconds by the clock of its instance."""

    event: str
    time: float
    instance: str
    fields: dict[str, Any]

    @property
    def content(self) -> str:
        """The digest of the content of the request that the line is about, empty if not stated."""
        value = self.fields.get("content") or self.fields.get("digest") or ""
        return value if isinstance(value, str) else ""

    @property
    def part(self) -> str:
        """The part of prompts that crashes targets, as the line says; empty if not stated."""
        value = self.fields.get("part") or ""
        return value.rpartition("/")[2] if isinstance(value, str) else ""

    @property
    def parts(self) -> set[str]:
        """All parts of prompts that the line names."""
        named = self.fields.get("parts")
        return {self.part, *(named if isinstance(named, list) else ())} - {""}

    @property
    def request(self) -> str:
        """The id of the request that the line is about, or an empty string if there is none."""
        value = self.fields.get("id", "")
        return value if isinstance(value, str) else ""


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines, ignoring any text that a log collector put before the JSON of a line.

    Lines that are not in the log format, such as those of a traceback, are skipped: they have no
    request id.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            value = decode_json(text[start:])
        except msgspec.MsgspecError:
            continue
        if not isinstance(value, dict) or not {"event", "time", "instance"} <= value.keys():
            continue
        yield LogLine(str(value["event"]), float(value["time"]), str(value["instance"]), value)


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of log files; raises OSError if a file cannot be read."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_lines(file)
    return lines


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the formatted timeline of a request; empty if no line is about it.

    The timeline also holds lines about no request from the instances that handled this one, logged
    during the request and shortly before it: they show what an instance had learned, for instance
    about failures, when it chose a target. If the request was refused for crashes of targets, or
    lost one, lines of all instances about the same content, or the part of its prompt for which it
    was refused, are shown, however old. If it continues a stream, the lines about the request that
    began that stream are shown too.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in all_lines if line.request == request]
    if not request_lines:
        return []
    instances = {line.instance for line in request_lines}
    contents = {line.content for line in request_lines} - {""}
    refused_parts = {line.part for line in request_lines} - {""}
    related = {request, *(str(line.fields.get("resumes") or "") for line in request_lines)} - {""}
    start, end = request_lines[0].time - CONTEXT_S, request_lines[-1].time
    timeline = [
        line
        for line in all_lines
        if line.request in related
        or line.content in contents
        or not refused_parts.isdisjoint(line.parts)
        or (not line.request and line.instance in instances and start <= line.time <= end)
    ]
    origin = request_lines[0].time
    return [_format_line(line, origin, line.request == request) for line in timeline]


def _format_line(line: LogLine, origin: float, is_about_request: bool) -> str:
    fields = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in PREFIX_FIELDS and value is not None
    ]
    if line.request and not is_about_request:
        fields.insert(0, f"id={line.request}")
    mark = "*" if is_about_request else " "
    offset = (line.time - origin) * 1000.0
    return f"{mark} {offset:+9.1f} ms  {line.instance:<20} {line.event:<18} {' '.join(fields)}"
