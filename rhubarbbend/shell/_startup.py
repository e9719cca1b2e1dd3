"""What the runtime of an instance is set up with, by its settings."""

from __future__ import annotations

import contextlib
import sys
import time
from pathlib import Path
from typing import Any

from rhubarbbend.core import Core, Identity
from rhubarbbend.http import ServerLimits, compute_max_connections
from rhubarbbend.settings import Settings
from rhubarbbend.trace import Recorder


def make_identity(settings: Settings, secret: bytes) -> Identity:
    """Return who an instance is; each start of it is another incarnation."""
    own = settings.instance
    return Identity(
        instance=own.id,
        zone=own.zone,
        host=own.host,
        port=own.http_port,
        peer_port=own.peer_port,
        incarnation=time.time_ns() // 1_000_000,
        secret=secret,
    )


def open_recorder(settings: Settings, core: Core, identity: Identity, seed: int) -> Recorder | None:
    """Return the recorder of a run, None if none is to be recorded."""
    record = settings.record
    if not record.file:
        return None
    return Recorder(Path(record.file), record.max_bytes, core, identity, settings.core, seed)


def make_server_limits(settings: Settings) -> ServerLimits:
    """Return the limits of callers' connections."""
    limits = settings.limits
    return ServerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout=limits.head_timeout,
        body_timeout=limits.body_timeout,
        max_connections=min(limits.max_connections, compute_max_connections(limits.memory)),
    )


def open_log(settings: Settings) -> contextlib.AbstractContextManager[Any]:
    """Return the file to which the log goes."""
    if settings.log.file == "-":
        return contextlib.nullcontext(sys.stderr)
    return open(settings.log.file, "a", encoding="utf-8")  # noqa: SIM115  (a context manager)
