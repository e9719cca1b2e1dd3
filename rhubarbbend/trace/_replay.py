"""Feeds the events of a trace to a new core and compares the actions with the recorded ones."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO, Final

import attrs
import msgspec

from rhubarbbend.core import Core, events
from rhubarbbend.trace._format import (
    TRACE_SECRET,
    Line,
    TraceInvalid,
    decode_header,
    decode_line,
    decode_options,
    digest_actions,
)
from rhubarbbend.trace._redaction import redact_action

# Above the length of any recorded line; the longest ones hold a snapshot of a whole configuration.
MAX_LINE_BYTES: Final = 256 * 1024 * 1024


@attrs.define(slots=True, frozen=True)
class Difference:
    """The first event whose replayed actions differ from the recorded ones.

    `line` is its line number in the trace and `at` its time in seconds. `recorded` holds the
    recorded result. The other fields hold the replayed result: the redacted actions and their
    digest, or the class name of the exception that the core raised.
    """

    line: int
    at: float
    event: events.Event
    recorded: Line
    replayed_digest: str
    replayed_exception: str
    replayed_actions: list[Any]

    def __str__(self) -> str:
        recorded = self.recorded.raised or f"{self.recorded.count} actions {self.recorded.actions}"
        replayed = (
            self.replayed_exception
            or f"{len(self.replayed_actions)} actions {self.replayed_digest}"
        )
        lines = [
            f"line {self.line}, at {self.at:.6f}: {type(self.event).__name__}",
            f"  recorded: {recorded}",
            f"  replayed: {replayed}",
        ]
        lines.extend(f"    {msgspec.json.encode(tree).decode()}" for tree in self.replayed_actions)
        return "\n".join(lines)


@attrs.define(slots=True)
class ReplayReport:
    """The result of a replay: the numbers of events and actions, and the first difference if any.

    `truncated` is true if the last line of the trace is incomplete.
    """

    events: int = 0
    actions: int = 0
    truncated: bool = False
    difference: Difference | None = None


def replay_trace(path: Path) -> ReplayReport:
    """Replay a trace up to its end or the first difference and report the result.

    Raises `TraceInvalid` if the file is not a trace that can be replayed, and OSError if it cannot
    be read.
    """
    with path.open("rb") as file:
        header = decode_header(_read_line(file, 1))
        identity = msgspec.structs.replace(header.identity, secret=TRACE_SECRET)
        core = Core(identity, decode_options(header), header.seed)
        report = ReplayReport()
        for line_number, data in _iterate_lines(file, report):
            line, event = decode_line(data, line_number)
            report.difference = _replay_event(core, line_number, line, event)
            if report.difference is not None:
                return report
            report.events += 1
            report.actions += line.count
        return report


def _read_line(file: BinaryIO, line_number: int) -> bytes:
    data = file.readline(MAX_LINE_BYTES)
    if len(data) >= MAX_LINE_BYTES:
        raise TraceInvalid(f"line {line_number}: longer than {MAX_LINE_BYTES} bytes")
    return data


def _iterate_lines(file: BinaryIO, report: ReplayReport) -> Iterator[tuple[int, bytes]]:
    line_number = 1
    while True:
        line_number += 1
        data = _read_line(file, line_number)
        if not data:
            return
        if not data.endswith(b"\n"):
            # The process was killed while it wrote this line; all lines before it are complete.
            report.truncated = True
            return
        yield line_number, data


def _replay_event(
    core: Core, line_number: int, line: Line, event: events.Event
) -> Difference | None:
    replayed: list[Any] = []
    raised = ""
    try:
        replayed = [redact_action(action) for action in core.handle(event, line.at)]
    except Exception as error:
        # If the recorded core raised an exception, the replayed core must raise the same.
        raised = type(error).__name__
    digest = "" if raised else digest_actions(replayed)
    if digest == line.actions and raised == line.raised:
        return None
    return Difference(line_number, line.at, event, line, digest, raised, replayed)
