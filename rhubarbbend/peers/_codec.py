"""Encodes and decodes peer messages with Thrift's C codec.

The schema is read once; its field tables are attached to the typed message classes of the core,
so that the codec fills those directly and no second set of classes has to be kept in step.
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
SCHEMA: Final = "peers.thrift"
LENGTH_BYTES: Final = 4
SEAL_BYTES: Final = 8
SEAL_CONTEXT: Final = b"rhubarbbend peer frame 1"


class FrameError(Exception):
    """A frame that is no valid envelope of one message."""


class FrameSeal:
    """Signs frames with the fleet's secret.

    The decoder trusts lengths inside a frame: a damaged one can keep it busy for minutes, in
    which the instance does nothing else. Nothing reaches the decoder that was not sealed by an
    instance of the fleet and has not arrived as it was.
    """

    def __init__(self, secret: bytes) -> None:
        self._key = hmac.new(secret, SEAL_CONTEXT, hashlib.blake2b).digest()

    def close(self, frame: bytes) -> bytes:
        """Seal a frame: four bytes of length, then the seal, then the envelope."""
        data = frame[LENGTH_BYTES:]
        seal = self._sign(data)
        return (len(data) + SEAL_BYTES).to_bytes(LENGTH_BYTES, "big") + seal + data

    def open(self, frame: bytes) -> bytes:
        """Give the envelope of a frame without its length; raises `FrameError` if damaged."""
        data = frame[SEAL_BYTES:]
        if not hmac.compare_digest(frame[:SEAL_BYTES], self._sign(data)):
            raise FrameError("the seal does not fit")
        return data

    def _sign(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=SEAL_BYTES, key=self._key).digest()


class Envelope:
    """A frame's content: the sender and one message."""

    thrift_spec: dict[int, Any] = {}

    def __init__(self) -> None:
        self.sender = ""


def _load_schema() -> Any:
    text = resources.files("rhubarbbend.schema").joinpath(SCHEMA)
    with text.open("r", encoding="utf-8") as source:
        return thriftpy2.load_fp(source, "rhubarbbend_peers_thrift")


def _bind(entry: Any, classes: dict[str, type]) -> Any:
    """Replace the schema's classes in a field's type by the typed messages of the same name."""
    if isinstance(entry, tuple):
        return tuple(_bind(part, classes) for part in entry)
    if isinstance(entry, type) and entry.__name__ in classes:
        return classes[entry.__name__]
    return entry


def _bind_classes() -> dict[str, type[Message]]:
    schema = _load_schema()
    classes = {
        name: kind
        for name, kind in vars(messages).items()
        if isinstance(kind, type) and issubclass(kind, Message) and kind is not Message
    }
    for name, kind in classes.items():
        spec = getattr(schema, name).thrift_spec
        kind.thrift_spec = {  # type: ignore[attr-defined]
            number: _bind(entry, classes) for number, entry in spec.items()
        }
    Envelope.thrift_spec = {
        number: _bind(entry, classes) for number, entry in schema.Envelope.thrift_spec.items()
    }
    for entry in Envelope.thrift_spec.values():
        if entry[0] == TType.STRUCT:
            setattr(Envelope, entry[1], None)
    return {kind.FIELD: kind for kind in classes.values() if kind.FIELD}


_FIELDS: Final = _bind_classes()


def encode_frame(sender: str, message: Message) -> bytes:
    """Encode a message as a frame that is not sealed: four bytes of length, then the envelope."""
    envelope = Envelope()
    envelope.sender = sender
    setattr(envelope, message.FIELD, message)
    buffer = TCyMemoryBuffer()
    TCyBinaryProtocol(buffer).write_struct(envelope)
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode_frame(data: bytes) -> tuple[str, Message]:
    """Decode an envelope without its length, which an instance of the fleet has sealed.

    Raises `FrameError` if it is not one message.
    """
    envelope = Envelope()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(data)).read_struct(envelope)
    except (ProtocolError, ValueError, EOFError, MemoryError, TypeError, OverflowError) as error:
        raise FrameError(str(error)) from error
    except Exception as error:
        # The C codec raises transport errors of its own for truncated input.
        raise FrameError(f"{type(error).__name__}: {error}") from error
    found = [getattr(envelope, field) for field in _FIELDS]
    present = [message for message in found if message is not None]
    if len(present) != 1 or not envelope.sender:
        raise FrameError("expected a sender and exactly one message")
    return envelope.sender, present[0]
