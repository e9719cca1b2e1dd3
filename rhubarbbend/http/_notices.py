"""Reads what servers say in their responses of the requests that may follow."""

from __future__ import annotations

import re
from typing import Final

from rhubarbbend.http._connection import Response

LEAVING_HEADER: Final = "server-leaving"
BRITTLE_HEADER: Final = "server-brittle"
COUNT_PATTERN: Final = re.compile(r"\d{1,6}", re.ASCII)
UNAVAILABLE_STATUS: Final = 503
SECONDS_PATTERN: Final = re.compile(r"\d{1,6}(\.\d*)?", re.ASCII)


def read_pause(response: Response) -> float | None:
    """Return the seconds for which a server wants no requests of this client; None without them.

    Only a 503 asks for a pause of all requests; with another status, Retry-After is about the one
    request. Dates are not read, since the two clocks may differ.
    """
    text = response.headers.get("retry-after", "").strip()
    if response.status != UNAVAILABLE_STATUS or not SECONDS_PATTERN.fullmatch(text):
        return None
    return float(text)


def read_brittle(response: Response) -> int | None:
    """Return how many rejections a second a server bears; None if it says none."""
    text = response.headers.get(BRITTLE_HEADER, "").strip()
    return int(text) if COUNT_PATTERN.fullmatch(text) else None


def read_leaving(response: Response) -> bool:
    """Return whether a server is about to end and wants no new requests."""
    return response.headers.get(LEAVING_HEADER, "").strip() == "1"
