"""Records every event that a core handles, and a digest of its actions, in a trace file."""

from __future__ import annotations

from pathlib import Path
from typing import BinaryIO, Final

import eliot
import msgspec

from rhubarbbend import VERSION
from rhubarbbend.core import Core, CoreOptions, Identity, actions, events
from rhubarbbend.trace._format import Line, digest_actions, encode_header
from rhubarbbend.trace._redaction import EventRedactor, redact_action

BUFFER_BYTES: Final = 256 * 1024


class Recorder:
    """Wraps a core and records what it handles. Invariant: the file never exceeds `max_bytes`.

    If the file is full or cannot be written, only the recording ends; the instance continues to
    serve requests. The events recorded so far can still be replayed, because a replay starts at the
    beginning of the trace.
    """

    def __init__(
        self,
        path: Path,
        max_bytes: int,
        core: Core,
        identity: Identity,
        options: CoreOptions,
        seed: int,
    ) -> None:
        self._core = core
        self._redactor = EventRedactor(identity.secret, self._find_account)
        self._remaining_bytes = max_bytes
        self._file: BinaryIO | None = open(path, "wb", BUFFER_BYTES)  # noqa: SIM115  (kept open)
        self._write(encode_header(VERSION, identity, options, seed))

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Pass an event to the core, record it with the resulting actions, and return the actions.

        An exception of the core is recorded by its class name and raised again.
        """
        if self._file is None:
            return self._core.handle(event, now)
        # The core may keep and modify the event, so it is encoded before the core handles it.
        recorded = msgspec.Raw(msgspec.json.encode(self._redactor.redact(event)))
        try:
            returned_actions = self._core.handle(event, now)
        except Exception as error:
            self._write_line(Line(now, recorded, 0, "", type(error).__name__))
            self.flush()
            raise
        # The shell adds bodies to some actions after this returns, so the digest is taken now.
        digest = digest_actions([redact_action(action) for action in returned_actions])
        self._write_line(Line(now, recorded, len(returned_actions), digest))
        return returned_actions

    def flush(self) -> None:
        """Write buffered lines to the file."""
        if self._file is not None:
            try:
                self._file.flush()
            except OSError as error:
                self._end_recording(str(error))

    def close(self) -> None:
        """Flush and close the file; later events are handled without being recorded."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    def _find_account(self, key_digest: str) -> str:
        account = self._core.context.configuration.accounts.get(key_digest)
        return "" if account is None else account.name

    def _write_line(self, line: Line) -> None:
        self._write(msgspec.json.encode(line) + b"\n")

    def _write(self, data: bytes) -> None:
        if self._file is None:
            return
        if len(data) > self._remaining_bytes:
            self._end_recording(
                "the next line would make the trace file larger than record.max_bytes"
            )
            return
        self._remaining_bytes -= len(data)
        try:
            self._file.write(data)
        except OSError as error:
            self._end_recording(str(error))

    def _end_recording(self, reason: str) -> None:
        file, self._file = self._file, None
        eliot.log_message("recording_ended", reason=reason)
        if file is not None:
            try:
                file.close()
            except OSError:
                # Closing flushes the buffer, which may fail too. The recording has ended anyway.
                pass
