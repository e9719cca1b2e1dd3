"""Validation of idempotency keys, and encoding of reserved keys.

A reserved key is an idempotency key that an instance has issued in advance. It is signed and
contains its issuer and the issuer's incarnation. Only that incarnation may dispatch a command under
it, and it knows from memory whether it has done so. Commands therefore still run at most once while
the table service is unreachable.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

MAX_KEY_CHARS: Final = 200
RESERVED_PREFIX: Final = "rk1."
SIGNATURE_CHARS: Final = 24


class ReservedKey(msgspec.Struct, frozen=True):
    """The decoded content of a reserved key; `expires` in Unix seconds."""

    issuer: str
    incarnation: int
    number: int
    expires: int


def is_valid_key(key: str) -> bool:
    """Whether a key is printable ASCII without spaces, of 1 to MAX_KEY_CHARS characters."""
    return 0 < len(key) <= MAX_KEY_CHARS and all("!" <= char <= "~" for char in key)


def has_reserved_prefix(key: str) -> bool:
    """Whether a key has the prefix of reserved keys; its signature is not checked."""
    return key.startswith(RESERVED_PREFIX)


def _sign(secret: bytes, account: str, payload: str) -> str:
    digest = hmac.new(secret, f"{account}\0{payload}".encode(), hashlib.blake2b)
    return digest.hexdigest()[:SIGNATURE_CHARS]


def encode_reserved_key(secret: bytes, account: str, key: ReservedKey) -> str:
    """Encode a reserved key and sign it for one account."""
    payload = f"{RESERVED_PREFIX}{key.issuer}.{key.incarnation:x}.{key.number:x}.{key.expires:x}"
    return f"{payload}.{_sign(secret, account, payload)}"


def decode_reserved_key(secret: bytes, account: str, text: str) -> Result[ReservedKey, str]:
    """Decode a reserved key and check its signature; the failure is a description of the error."""
    payload, _, signature = text.rpartition(".")
    expected = _sign(secret, account, payload)
    if not hmac.compare_digest(signature.encode(), expected.encode()):
        return Failure("the signature of the reserved key does not match the account and payload")
    try:
        issuer, incarnation, number, expires = payload[len(RESERVED_PREFIX) :].rsplit(".", 3)
        return Success(ReservedKey(issuer, int(incarnation, 16), int(number, 16), int(expires, 16)))
    except ValueError:
        return Failure(
            "the reserved key is malformed: expected issuer, incarnation, number, expiry"
        )
