"""What an instance and its helper tell one another in the headers of a detour.

A detour is the caller's own request, sent to the helper's address for other instances. Callers do
not reach that address.
"""

from __future__ import annotations

import msgspec

from rhubarbbend.codes import ErrorCode, Verdict, find_error
from rhubarbbend.core.detours import ReachNotice
from rhubarbbend.decoding import decode_json

# On the request: `DetourTerms` as JSON. Callers cannot set it: it is read only at the address for
# other instances, and the sender leaves out any header of this name that the caller sent.
TERMS_HEADER = b"rhubarbbend-detour"
# On a response that is the helper's own: `DetourRefusal` as JSON. A target's answer has none.
REFUSAL_HEADER = b"rhubarbbend-detour-refused"

# On a response that is a target's: the target's id, if it has said that it is about to leave.
LEAVING_HEADER = b"rhubarbbend-detour-leaving"

RawHeaders = list[tuple[bytes, bytes]]


class DetourTerms(msgspec.Struct, frozen=True):
    """What a helper must know of a request beside what the caller sent.

    `config_version` is the version by which the sender admitted the request. `targets` is how many
    targets it was already sent to, `origin` the origin of the stream that it continues.
    """

    sender: str
    config_version: int
    targets: int
    origin: int | None = None


class DetourRefusal(msgspec.Struct, frozen=True):
    """Why a helper has no answer of a target.

    `code` is the name of the error, `targets` the number of targets that the request was sent to by
    now, by both instances. A helper that does not reach the request's service says so in `reach`,
    and which others do not, as far as it knows: the sender may have missed their notices.
    """

    code: str
    verdict: Verdict
    targets: int
    reach: list[ReachNotice] = []

    @property
    def error(self) -> ErrorCode:
        """The error that the caller gets."""
        return find_error(self.code)


def add_terms(headers: RawHeaders, terms: DetourTerms) -> RawHeaders:
    """Return the headers of a detour: the caller's, and the terms."""
    own = [(name, value) for name, value in headers if name.lower() != TERMS_HEADER]
    return [*own, (TERMS_HEADER, msgspec.json.encode(terms))]


def is_detour(headers: dict[str, str]) -> bool:
    """Return whether a request that came from another instance is a detour."""
    return TERMS_HEADER.decode() in headers


def read_terms(headers: dict[str, str]) -> DetourTerms | None:
    """Return the terms of a detour, None if there are none. Raise `MsgspecError` if invalid."""
    text = headers.get(TERMS_HEADER.decode())
    return None if text is None else decode_json(text, type=DetourTerms)


def read_leaving_target(headers: dict[str, str]) -> str:
    """Return the id of the target that has said that it leaves; empty if none has."""
    return headers.get(LEAVING_HEADER.decode(), "")


def remove_own_headers(headers: RawHeaders) -> RawHeaders:
    """Return the headers of a response without those that are meant for this instance."""
    return [(name, value) for name, value in headers if name.lower() != LEAVING_HEADER]


def read_refusal(headers: dict[str, str]) -> DetourRefusal | None:
    """Return a helper's refusal; None if the response is a target's. Raise `MsgspecError`."""
    text = headers.get(REFUSAL_HEADER.decode())
    return None if text is None else decode_json(text, type=DetourRefusal)
