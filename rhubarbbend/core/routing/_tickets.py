"""Chat tickets: signed hints to the targets that hold a chat's context.

A ticket is opaque to callers. It is only a hint: a forged, old or lost one costs cache reuse and
nothing else, so a short signature is enough. The signature covers the account and the chat, so a
ticket is not valid for another chat.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import Final

import msgspec
from returns.maybe import Maybe, Nothing, Some

from rhubarbbend.decoding import decode_msgpack

SIGNATURE_BYTES: Final = 8
MAX_TICKET_CHARS: Final = 1_024


class ContextLocation(msgspec.Struct, frozen=True, array_like=True):
    """A target that holds a chat's context.

    `boot_id` identifies one run of the target, `at` is the Unix time at which the target was used,
    `tokens` the number of tokens held.
    """

    target: str
    boot_id: str
    at: float
    tokens: int


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """The places that hold a chat's context, the latest first; at most two are kept."""

    places: tuple[ContextLocation, ...]


def _sign(secret: bytes, account: str, chat: str, payload: bytes) -> bytes:
    scope = f"{account}\0{chat}\0".encode()
    return hmac.new(secret, scope + payload, hashlib.blake2b).digest()[:SIGNATURE_BYTES]


def encode_ticket(secret: bytes, account: str, chat: str, ticket: Ticket) -> str:
    """Encode and sign a ticket for one chat of one account."""
    payload = msgspec.msgpack.encode(ticket)
    signature = _sign(secret, account, chat, payload)
    return base64.urlsafe_b64encode(signature + payload).decode("ascii").rstrip("=")


def decode_ticket(secret: bytes, account: str, chat: str, text: str) -> Maybe[Ticket]:
    """Decode a ticket; return Nothing if it is malformed, forged or of another chat."""
    if len(text) > MAX_TICKET_CHARS:
        return Nothing
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        payload = raw[SIGNATURE_BYTES:]
        if not hmac.compare_digest(raw[:SIGNATURE_BYTES], _sign(secret, account, chat, payload)):
            return Nothing
        return Some(decode_msgpack(payload, type=Ticket))
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return Nothing
