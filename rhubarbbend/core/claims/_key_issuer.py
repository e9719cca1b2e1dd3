"""Issues reserved keys, and reads what those of the fleet say."""

from __future__ import annotations

from returns.result import Success

from rhubarbbend import codes
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._keys import ReservedKey, decode_reserved, encode_reserved
from rhubarbbend.core.requests._requests import Request


class KeyIssuer:
    """Invariant: no two keys of one incarnation have the same number."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._next_number = 0

    def issue(self, account: str, count: int, now: float) -> list[str]:
        """Issue keys for an account."""
        identity = self._context.identity
        lifetime = self._context.options.reserved_lifetime
        expires = int(self._context.read_wall(now) + lifetime)
        keys: list[str] = []
        for _ in range(count):
            self._next_number += 1
            key = ReservedKey(identity.instance, identity.incarnation, self._next_number, expires)
            keys.append(encode_reserved(identity.secret, account, key))
        self._context.count(codes.RESERVED_ISSUED, count)
        return keys

    def read(self, request: Request) -> ReservedKey | None:
        """Read a request's key; None if it is not one of this fleet for the account."""
        found = decode_reserved(
            self._context.identity.secret, request.account.name, request.arrived.key
        )
        return found.unwrap() if isinstance(found, Success) else None

    def is_own(self, key: ReservedKey) -> bool:
        """Whether this very incarnation issued a key."""
        identity = self._context.identity
        return key.issuer == identity.instance and key.incarnation == identity.incarnation

    def is_expired(self, key: ReservedKey, now: float) -> bool:
        """Whether a key's record may have been forgotten."""
        return key.expires < self._context.read_wall(now)
