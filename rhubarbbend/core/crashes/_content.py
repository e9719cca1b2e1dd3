"""What of a request may be the cause when the targets that run it crash."""

from __future__ import annotations

from typing import Final

import msgspec


class Content(msgspec.Struct, frozen=True):
    """The possible causes in a request, each a key of `CrashLedger`.

    `digest` identifies the whole request. `parts` identify those parts of its prompt that other
    prompts may hold as well, within the service. Its `account` is the client account.
    """

    digest: str
    parts: tuple[str, ...] = ()
    account: str = ""


# A target that a part crashes ends within this time of beginning to answer; some of the answer may
# have come.
BEGIN_S: Final = 0.5
# Separates the service from the part; digests are hexadecimal.
PART_SEPARATOR: Final = "/"


def make_part_key(service: str, part: str) -> str:
    """Return the key of a part of a prompt; other services may answer on the same part."""
    return f"{service}{PART_SEPARATOR}{part}"


def is_part_key(cause: str) -> bool:
    """Return whether a key is that of a part and not of a whole request."""
    return PART_SEPARATOR in cause
