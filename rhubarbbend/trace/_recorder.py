"""Writes every event that a core handles to a file, bounded in size."""

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
    """Stands between the shell and the core. Invariant: the file never exceeds `max_bytes`.

    A file that is full, or cannot be written, ends the recording and nothing else: an instance
    serves on. What is in the file by then replays, since a trace is replayed from its start.
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
        self._left = max_bytes
        self._file: BinaryIO | None = open(path, "wb", BUFFER_BYTES)  # noqa: SIM115  (kept open)
        self._write(encode_header(VERSION, identity, options, seed))

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Let the core handle an event and record both."""
        if self._file is None:
            return self._core.handle(event, now)
        # The core may keep and change what it is given, so the event is encoded before.
        recorded = msgspec.Raw(msgspec.json.encode(self._redactor.redact(event)))
        try:
            given = self._core.handle(event, now)
        except Exception as error:
            self._write_line(Line(now, recorded, 0, "", type(error).__name__))
            self.flush()
            raise
        # The shell adds bodies to some actions, so they are digested before it has them.
        digest = digest_actions([redact_action(action) for action in given])
        self._write_line(Line(now, recorded, len(given), digest))
        return given

    def flush(self) -> None:
        """Write out what is buffered."""
        if self._file is not None:
            try:
                self._file.flush()
            except OSError as error:
                self._give_up(str(error))

    def close(self) -> None:
        """End the recording."""
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
        if len(data) > self._left:
            self._give_up("the file has reached record.max_bytes")
            return
        self._left -= len(data)
        try:
            self._file.write(data)
        except OSError as error:
            self._give_up(str(error))

    def _give_up(self, reason: str) -> None:
        file, self._file = self._file, None
        eliot.log_message("recording_ended", reason=reason)
        if file is not None:
            try:
                file.close()
            except OSError:
                # Its buffer could not be written either; the instance serves on without.
                pass
