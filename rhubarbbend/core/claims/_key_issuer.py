"""Issues reserved keys, and decodes and checks those that instances of the fleet have issued."""

from __future__ import annotations

from returns.result import Success

from rhubarbbend import codes
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._keys import ReservedKey, decode_reserved_key, encode_reserved_key
from rhubarbbend.core.requests._request import Request


class KeyIssuer:
    """Issuer of this instance's reserved keys.

    Invariant: no two keys of one incarnation have the same number.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._next_number = 0

    def issue(self, account: str, count: int, now: float) -> list[str]:
        """Return `count` new keys for an account, valid for `reserved_lifetime` from now on."""
        identity = self._context.identity
        lifetime = self._context.options.reserved_lifetime
        expires = int(self._context.to_unix_time(now) + lifetime)
        keys: list[str] = []
        for _ in range(count):
            self._next_number += 1
            key = ReservedKey(identity.instance, identity.incarnation, self._next_number, expires)
            keys.append(encode_reserved_key(identity.secret, account, key))
        self._context.count(codes.RESERVED_ISSUED, count)
        return keys

    def decode(self, request: Request) -> ReservedKey | None:
        """Decode a request's key; None unless this fleet issued it for the request's account."""
        decoded = decode_reserved_key(
            self._context.identity.secret, request.account.name, request.arrival.key
        )
        return decoded.unwrap() if isinstance(decoded, Success) else None

    def is_own(self, key: ReservedKey) -> bool:
        """Whether the current incarnation of this instance issued a key."""
        identity = self._context.identity
        return key.issuer == identity.instance and key.incarnation == identity.incarnation

    def is_expired(self, key: ReservedKey, now: float) -> bool:
        """Whether a key has expired; its record may then have been evicted."""
        return key.expires < self._context.to_unix_time(now)
