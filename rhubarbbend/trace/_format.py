"""The trace file: JSON lines, the first of which holds what constructs the core.

Every later line is one event with its time, the number of actions it gave and their digest. The
types of the events are collected from the core, so that a new event or message needs nothing here.
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
# Replaces the fleet's secret, which no trace may hold.
TRACE_SECRET: Final = b"the public secret of every trace"
DIGEST_BYTES: Final = 8


class TraceInvalid(Exception):
    """A file that is no trace, or one that this program cannot read."""


class Header(msgspec.Struct, forbid_unknown_fields=True):
    """The first line: everything that the core is constructed from, but for the secret."""

    format: str
    version: int
    program: str
    identity: Identity
    options: dict[str, float | int | bool | str]
    seed: int


class Line(msgspec.Struct, forbid_unknown_fields=True):
    """One event. `actions` is empty and `raised` names the exception if the core failed."""

    at: float
    event: msgspec.Raw
    count: int
    actions: str
    raised: str = ""


class RecordedPeerSaid(msgspec.Struct, tag="PeerSaid", forbid_unknown_fields=True):
    """The recorded form of `PeerSaid`, whose message is one of the tagged message types."""

    sender: str
    message: Any


def _list_kinds(base: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    """List the types derived from a base, also by way of another."""
    found = set(base.__subclasses__())
    for kind in list(found):
        found.update(_list_kinds(kind))
    return sorted(found, key=lambda kind: kind.__name__)


def _unite(kinds: list[type[msgspec.Struct]]) -> Any:
    """Give the union of types that are only known at run time."""
    return functools.reduce(operator.or_, kinds)


def _make_decoders() -> tuple[msgspec.json.Decoder[Any], Any]:
    kinds = [kind for kind in _list_kinds(events.Event) if kind is not events.PeerSaid]
    said = [kind for kind in _list_kinds(messages.Message) if kind.__struct_config__.tag]
    return msgspec.json.Decoder(_unite([*kinds, RecordedPeerSaid])), _unite(said)


_EVENT_DECODER, _MESSAGE_TYPE = _make_decoders()
_HEADER_DECODER: Final = msgspec.json.Decoder(Header)
_LINE_DECODER: Final = msgspec.json.Decoder(Line)


def encode_header(program: str, identity: Identity, options: CoreOptions, seed: int) -> bytes:
    """Encode the first line; the secret is left out."""
    public = msgspec.structs.replace(identity, secret=b"")
    header = Header(FORMAT, FORMAT_VERSION, program, public, attrs.asdict(options), seed)
    return msgspec.json.encode(header) + b"\n"


def decode_header(data: bytes) -> Header:
    """Decode the first line; raises `TraceInvalid` if it is not one that can be replayed."""
    try:
        header = _HEADER_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TraceInvalid(f"line 1: no trace header: {error}") from error
    if header.format != FORMAT or header.version != FORMAT_VERSION:
        raise TraceInvalid(
            f"line 1: expected {FORMAT} version {FORMAT_VERSION}, "
            f"got {header.format} version {header.version}"
        )
    return header


def decode_options(header: Header) -> CoreOptions:
    """Give the core's options; raises `TraceInvalid` for options of another program version."""
    known = {field.name for field in attrs.fields(CoreOptions)}
    unknown = sorted(header.options.keys() - known)
    if unknown:
        raise TraceInvalid(
            f"line 1: options unknown to this version: {', '.join(unknown)}; "
            f"the trace was made by {header.program}"
        )
    return CoreOptions(**header.options)  # type: ignore[arg-type]


def decode_line(data: bytes, number: int) -> tuple[Line, events.Event]:
    """Decode a line after the first; raises `TraceInvalid`."""
    try:
        line = _LINE_DECODER.decode(data)
        event = _EVENT_DECODER.decode(line.event)
        if isinstance(event, RecordedPeerSaid):
            message = msgspec.convert(event.message, _MESSAGE_TYPE)
            event = events.PeerSaid(event.sender, message)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TraceInvalid(f"line {number}: {error}") from error
    assert isinstance(event, events.Event)
    return line, event


def digest_actions(redacted: list[Any]) -> str:
    """Digest the actions of one event, which have been redacted."""
    return hashlib.blake2b(msgspec.json.encode(redacted), digest_size=DIGEST_BYTES).hexdigest()
