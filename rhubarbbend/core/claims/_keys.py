"""Idempotency keys: their limits, and reserved keys, which name the instance that may run them.

A reserved key is issued beforehand and carries its issuer and the issuer's incarnation, signed.
Only that incarnation may dispatch a command under it, and it knows from memory whether it has;
so commands go on at most once while the table service cannot be reached.
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
    """What a reserved key says; `expires` in Unix seconds."""

    issuer: str
    incarnation: int
    number: int
    expires: int


def is_valid_key(key: str) -> bool:
    """Whether a key fits: printable ASCII without spaces, of bounded length."""
    return 0 < len(key) <= MAX_KEY_CHARS and all("!" <= char <= "~" for char in key)


def is_reserved(key: str) -> bool:
    """Whether a key claims to be a reserved one."""
    return key.startswith(RESERVED_PREFIX)


def _sign(secret: bytes, account: str, payload: str) -> str:
    digest = hmac.new(secret, f"{account}\0{payload}".encode(), hashlib.blake2b)
    return digest.hexdigest()[:SIGNATURE_CHARS]


def encode_reserved(secret: bytes, account: str, key: ReservedKey) -> str:
    """Write and sign a reserved key for one account."""
    payload = f"{RESERVED_PREFIX}{key.issuer}.{key.incarnation:x}.{key.number:x}.{key.expires:x}"
    return f"{payload}.{_sign(secret, account, payload)}"


def decode_reserved(secret: bytes, account: str, text: str) -> Result[ReservedKey, str]:
    """Read a reserved key; the failure says what is wrong with it."""
    payload, _, signature = text.rpartition(".")
    expected = _sign(secret, account, payload)
    if not hmac.compare_digest(signature.encode(), expected.encode()):
        return Failure("the signature does not fit")
    try:
        issuer, incarnation, number, expires = payload[len(RESERVED_PREFIX) :].rsplit(".", 3)
        return Success(ReservedKey(issuer, int(incarnation, 16), int(number, 16), int(expires, 16)))
    except ValueError:
        return Failure("the key is malformed")
