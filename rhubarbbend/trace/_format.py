"""The format of trace files: a header line with the core's arguments, then one line per event.

All lines are JSON. Each event line holds an event, its time, and the number and digest of the
actions that the core returned. The event and message types are collected from the core's base
classes, so a new event or message type needs no change here.
"""

from __future__ import annotations

import functools
import hashlib
import operator
from typing import Any, Final

import attrs
import msgspec

from rhubarbbend.core import CoreOptions, Identity, events, messages

FORMAT: Final = "rhubarbbend-trace"
FORMAT_VERSION: Final = 1
# Signs the tickets and reserved keys of a trace instead of the fleet's secret, which must not be
# recorded.
TRACE_SECRET: Final = b"the public secret of every trace"
DIGEST_BYTES: Final = 8


class TraceInvalid(Exception):
    """A file is not a trace, or is a trace that this version of the program cannot replay."""


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line: all arguments with which the core is constructed, except the secret."""

    format: str
    version: int
    program: str
    identity: Identity
    options: dict[str, float | int | bool | str]
    seed: int


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """One event, handled `at` a time in seconds, with the `count` and digest of its `actions`.

    If the core raised an exception, `actions` is empty and `raised` is the exception's class name.
    """

    at: float
    event: msgspec.Raw
    count: int
    actions: str
    raised: str = ""


class RecordedPeerSaid(msgspec.Struct, tag="PeerSaid", forbid_unknown_fields=True):
    """The recorded form of `PeerSaid`; `message` is decoded later, by the tag of its type."""

    sender: str
    message: Any


def _list_subclasses(base: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    """Return all direct and indirect subclasses of a class, sorted by name."""
    found = set(base.__subclasses__())
    for subclass in list(found):
        found.update(_list_subclasses(subclass))
    return sorted(found, key=lambda subclass: subclass.__name__)


def _make_union(types: list[type[msgspec.Struct]]) -> Any:
    """Return the union of types that are only known at run time."""
    return functools.reduce(operator.or_, types)


def _make_decoders() -> tuple[msgspec.json.Decoder[Any], Any]:
    event_types = [t for t in _list_subclasses(events.Event) if t is not events.PeerSaid]
    message_types = [t for t in _list_subclasses(messages.Message) if t.__struct_config__.tag]
    return msgspec.json.Decoder(_make_union([*event_types, RecordedPeerSaid])), _make_union(
        message_types
    )


_EVENT_DECODER, _MESSAGE_TYPE = _make_decoders()
_HEADER_DECODER: Final = msgspec.json.Decoder(Header)
_LINE_DECODER: Final = msgspec.json.Decoder(Line)


def encode_header(program: str, identity: Identity, options: CoreOptions, seed: int) -> bytes:
    """Return the header line, without the fleet's secret."""
    public_identity = msgspec.structs.replace(identity, secret=b"")
    header = Header(FORMAT, FORMAT_VERSION, program, public_identity, attrs.asdict(options), seed)
    return msgspec.json.encode(header) + b"\n"


def decode_header(data: bytes) -> Header:
    """Decode the header line; raises `TraceInvalid` if it has another format or version."""
    try:
        header = _HEADER_DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceInvalid(f"line 1: invalid trace header: {error}") from error
    if header.format != FORMAT or header.version != FORMAT_VERSION:
        raise TraceInvalid(
            f"line 1: expected {FORMAT} version {FORMAT_VERSION}, "
            f"got {header.format} version {header.version}"
        )
    return header


def decode_options(header: Header) -> CoreOptions:
    """Return the core's options; raises `TraceInvalid` if this version lacks one of them."""
    known_options = {field.name for field in attrs.fields(CoreOptions)}
    unknown_options = sorted(header.options.keys() - known_options)
    if unknown_options:
        raise TraceInvalid(
            f"line 1: options unknown to this version: {', '.join(unknown_options)}; "
            f"the trace was recorded by version {header.program}"
        )
    return CoreOptions(**header.options)  # type: ignore[arg-type]


def decode_line(data: bytes, line_number: int) -> tuple[Line, events.Event]:
    """Decode an event line into the line and its event; raises `TraceInvalid` if it is invalid.

    `line_number` counts from 1 and is used in the error message only.
    """
    try:
        line = _LINE_DECODER.decode(data)
        event = _EVENT_DECODER.decode(line.event)
        if isinstance(event, RecordedPeerSaid):
            message = msgspec.convert(event.message, _MESSAGE_TYPE)
            event = events.PeerSaid(event.sender, message)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise TraceInvalid(f"line {line_number}: {error}") from error
    assert isinstance(event, events.Event)
    return line, event


def digest_actions(redacted_actions: list[Any]) -> str:
    """Return a hexadecimal digest of the redacted actions of one event."""
    return hashlib.blake2b(
        msgspec.json.encode(redacted_actions), digest_size=DIGEST_BYTES
    ).hexdigest()
