"""What a faulty worker sends without end: bytes that are no response, or belong to none."""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec

from standins._worker_responses import encode_headers, make_stray_response
from standins._worker_types import Faults

FLOOD_WRITE_BYTES: Final = 65_536


class Flood(msgspec.Struct, frozen=True):
    """The bytes of a flood: the lines of a head, the headers of the response, and what follows.

    Without `status_line` there is no head; `filling` is repeated.
    """

    status_line: bytes
    filling: bytes
    headers: tuple[tuple[str, str], ...] = ()
    begins_body: bytes = b"\r\n"


OK: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = (("Transfer-Encoding", "chunked"),)
EVENTS: Final = (("Content-Type", "text/event-stream"),)
FLOODS: Final[dict[str, Flood]] = {
    "garbage": Flood(b"", b"\x00"),
    "informational": Flood(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "header": Flood(OK, b"a", begins_body=b"X-Long: "),
    "body": Flood(OK, b"a"),
    "chunk extension": Flood(OK, b"a", CHUNKED, b"\r\n5;"),
    "event": Flood(OK, b"a", EVENTS, b"\r\nid: 1\ndata: "),
    "chunked event": Flood(OK, b"1\r\na\r\n", (*EVENTS, *CHUNKED), b"\r\n"),
    "rejection": Flood(b"HTTP/1.1 503 Full\r\n", b"a", (("Not-Executed", "1"),)),
    "misdirection": Flood(b"HTTP/1.1 421 Misdirected\r\n", b"a", (("Instance-Id", "another"),)),
    "stray responses": Flood(b"", make_stray_response()),
    "after the response": Flood(OK, b"a", (("Content-Length", "0"),)),
}


async def send_flood(
    writer: asyncio.StreamWriter, faults: Faults, headers: list[tuple[str, str]]
) -> bool:
    """Send the flood that `faults` name until the connection is closed."""
    flood = FLOODS[faults.flood]
    if flood.status_line:
        head = encode_headers([*headers, *flood.headers])
        writer.write(flood.status_line + head + flood.begins_body)
    if not faults.flood_gap:
        filling = flood.filling * (FLOOD_WRITE_BYTES // len(flood.filling))
        while True:
            writer.write(filling)
            await writer.drain()
    while True:
        for value in flood.filling:
            writer.write(bytes((value,)))
            await writer.drain()
            await asyncio.sleep(faults.flood_gap)
