"""Feeds the events of a trace to a fresh core and compares the actions that come out."""

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

# Longer than any line of a recording: a whole configuration in one snapshot.
MAX_LINE_BYTES: Final = 256 * 1024 * 1024


@attrs.define(slots=True, frozen=True)
class Difference:
    """The first event whose actions differ. `given` holds the replayed actions, redacted."""

    line: int
    at: float
    event: events.Event
    recorded: Line
    digest: str
    raised: str
    given: list[Any]

    def __str__(self) -> str:
        recorded = self.recorded.raised or f"{self.recorded.count} actions {self.recorded.actions}"
        replayed = self.raised or f"{len(self.given)} actions {self.digest}"
        lines = [
            f"line {self.line}, at {self.at:.6f}: {type(self.event).__name__}",
            f"  recorded: {recorded}",
            f"  replayed: {replayed}",
        ]
        lines.extend(f"    {msgspec.json.encode(tree).decode()}" for tree in self.given)
        return "\n".join(lines)


@attrs.define(slots=True)
class ReplayReport:
    """What a replay found; `cut` says that the last line was written in part only."""

    events: int = 0
    actions: int = 0
    cut: bool = False
    difference: Difference | None = None


def replay_trace(path: Path) -> ReplayReport:
    """Replay a trace up to its end or the first difference; raises `TraceInvalid`, OSError."""
    with path.open("rb") as file:
        header = decode_header(_read_line(file, 1))
        identity = msgspec.structs.replace(header.identity, secret=TRACE_SECRET)
        core = Core(identity, decode_options(header), header.seed)
        report = ReplayReport()
        for number, data in _iterate_lines(file, report):
            line, event = decode_line(data, number)
            report.difference = _replay_event(core, number, line, event)
            if report.difference is not None:
                return report
            report.events += 1
            report.actions += line.count
        return report


def _read_line(file: BinaryIO, number: int) -> bytes:
    data = file.readline(MAX_LINE_BYTES)
    if len(data) >= MAX_LINE_BYTES:
        raise TraceInvalid(f"line {number}: longer than {MAX_LINE_BYTES} bytes")
    return data


def _iterate_lines(file: BinaryIO, report: ReplayReport) -> Iterator[tuple[int, bytes]]:
    number = 1
    while True:
        number += 1
        data = _read_line(file, number)
        if not data:
            return
        if not data.endswith(b"\n"):
            # The process was killed while it wrote; the events before are whole.
            report.cut = True
            return
        yield number, data


def _replay_event(core: Core, number: int, line: Line, event: events.Event) -> Difference | None:
    trees: list[Any] = []
    raised = ""
    try:
        trees = [redact_action(action) for action in core.handle(event, line.at)]
    except Exception as error:
        # A core that failed when it was recorded has to fail alike.
        raised = type(error).__name__
    digest = "" if raised else digest_actions(trees)
    if digest == line.actions and raised == line.raised:
        return None
    return Difference(number, line.at, event, line, digest, raised, trees)
