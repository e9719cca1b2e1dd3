"""Reads the pause that a server asks its client for with a rejection."""

from __future__ import annotations

import re
from typing import Final

from rhubarbbend.http._connection import Response

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
