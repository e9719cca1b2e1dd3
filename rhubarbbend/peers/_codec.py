"""Encode and decode messages between instances with Thrift's C codec.

The schema is read once. Its field tables are attached to the typed message classes of the core, so
the codec fills those classes directly and no second set of classes has to be kept in sync.
"""

from __future__ import annotations

import hashlib
import hmac
from importlib import resources
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol.cybin import ProtocolError, TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TCyMemoryBuffer

from rhubarbbend.core import messages
from rhubarbbend.core.messages import Message

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
SCHEMA_FILE: Final = "peers.thrift"
LENGTH_BYTES: Final = 4
TAG_BYTES: Final = 8
TAG_CONTEXT: Final = b"rhubarbbend peer frame 1"


class FrameError(Exception):
    """A frame is not a valid envelope of exactly one message, or fails authentication."""


class FrameAuthenticator:
    """Authenticate frames with a keyed hash (the tag) derived from the fleet's secret.

    The decoder trusts the lengths inside a frame: a corrupted length can keep it busy for minutes,
    during which the instance does nothing else. Only frames that an instance of the fleet has
    signed, and that arrived unchanged, may reach the decoder.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hmac.new(secret, TAG_CONTEXT, hashlib.blake2b).digest()

    def sign(self, frame: bytes) -> bytes:
        """Return the signed frame: four bytes of length, then the tag, then the envelope."""
        data = frame[LENGTH_BYTES:]
        tag = self._compute_tag(data)
        return (len(data) + TAG_BYTES).to_bytes(LENGTH_BYTES, "big") + tag + data

    def verify(self, frame: bytes) -> bytes:
        """Verify a signed frame without its length prefix and return its envelope.

        Raises `FrameError` if the tag does not match.
        """
        data = frame[TAG_BYTES:]
        if not hmac.compare_digest(frame[:TAG_BYTES], self._compute_tag(data)):
            raise FrameError("frame rejected: its tag does not match its content")
        return data

    def _compute_tag(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=self._key).digest()


class Envelope:
    """The content of a frame: the sender and one message."""

    thrift_spec: dict[int, Any] = {}

    def __init__(self) -> None:
        self.sender = ""


def _load_schema() -> Any:
    resource = resources.files("rhubarbbend.schema").joinpath(SCHEMA_FILE)
    with resource.open("r", encoding="utf-8") as source:
        return thriftpy2.load_fp(source, "rhubarbbend_peers_thrift")


def _bind_type(entry: Any, classes: dict[str, type]) -> Any:
    """Replace the schema's classes in a field's type by the message classes of the same name."""
    if isinstance(entry, tuple):
        return tuple(_bind_type(part, classes) for part in entry)
    if isinstance(entry, type) and entry.__name__ in classes:
        return classes[entry.__name__]
    return entry


def _bind_classes() -> dict[str, type[Message]]:
    schema = _load_schema()
    classes = {
        name: message_class
        for name, message_class in vars(messages).items()
        if isinstance(message_class, type)
        and issubclass(message_class, Message)
        and message_class is not Message
    }
    for name, message_class in classes.items():
        spec = getattr(schema, name).thrift_spec
        message_class.thrift_spec = {  # type: ignore[attr-defined]
            field_id: _bind_type(entry, classes) for field_id, entry in spec.items()
        }
    Envelope.thrift_spec = {
        field_id: _bind_type(entry, classes)
        for field_id, entry in schema.Envelope.thrift_spec.items()
    }
    for entry in Envelope.thrift_spec.values():
        if entry[0] == TType.STRUCT:
            setattr(Envelope, entry[1], None)
    return {
        message_class.FIELD: message_class
        for message_class in classes.values()
        if message_class.FIELD
    }


_CLASSES_BY_FIELD: Final = _bind_classes()


def encode_frame(sender: str, message: Message) -> bytes:
    """Encode a message as an unsigned frame: four bytes of length, then the envelope."""
    envelope = Envelope()
    envelope.sender = sender
    setattr(envelope, message.FIELD, message)
    buffer = TCyMemoryBuffer()
    TCyBinaryProtocol(buffer).write_struct(envelope)
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_frame(data: bytes) -> tuple[str, Message]:
    """Decode an envelope, without length prefix, and return its sender and message.

    The tag must have been verified before. Raises `FrameError` if the envelope does not hold a
    sender and exactly one message.
    """
    envelope = Envelope()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(data)).read_struct(envelope)
    except (ProtocolError, ValueError, EOFError, MemoryError, TypeError, OverflowError) as error:
        raise FrameError(str(error)) from error
    except Exception as error:
        # For truncated input, the C codec raises its own transport errors.
        raise FrameError(f"{type(error).__name__}: {error}") from error
    found = [getattr(envelope, field) for field in _CLASSES_BY_FIELD]
    present = [message for message in found if message is not None]
    if len(present) != 1 or not envelope.sender:
        raise FrameError("expected a sender and exactly one message")
    return envelope.sender, present[0]
