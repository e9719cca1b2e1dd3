"""What the stand-in for workers is told, what it reports, and what it responds."""

from __future__ import annotations

import hashlib

import msgspec


class Faults(msgspec.Struct):
    """The faults that are active now, and the timing of responses (times in seconds)."""

    delay: float = 0.0
    events: int = 5
    event_gap: float = 0.02
    # Respond with this status instead of 200; the request has been executed.
    status: int = 0
    # Respond that the request was not executed.
    reject: bool = False
    # With `reject`: ask the sender to send no requests for this time.
    pause_s: float = 0.0
    # State in each response that this worker is about to leave.
    leaving: bool = False
    # Run at most so many requests at once and reject the others; -1: any number.
    room: int = -1
    # Run at most so many requests at once; so many more wait, the ones with the lowest
    # `Request-Priority` first, and the others are rejected. 0: any number runs.
    slots: int = 0
    queue: int = 0
    # Work, the delay included, takes so many times as long for `slow_s` in each `slow_interval_s`;
    # all the time if that is 0. State the pace in `Server-Load`.
    slow_factor: float = 1.0
    slow_s: float = 0.0
    slow_interval_s: float = 0.0
    reports_pace: bool = False
    # State in each response that this worker falls over if it rejects more requests in a second.
    brittle: int = 0
    # Accept requests and never respond.
    hang: bool = False
    # Break a stream off after so many events, -1: never; in the middle of the next event or before
    # it, by closing the connection or by a reset. What would look whole otherwise is always reset.
    cut_after: int = -1
    cut_inside: bool = True
    cut_by_reset: bool = False
    # Stop sending after so many events but keep the connection open; -1: never.
    stall_after: int = -1
    # Send a response with another request's id before each response (`stray`) or after it
    # (`extra`), with the status `stray_status`.
    stray: bool = False
    extra: bool = False
    stray_status: int = 200
    # Break a response off in its head: send so many bytes of it, or all but so many if negative,
    # and end the connection as `cut_by_reset` says.
    head_cut: int | None = None
    # Send bytes that are not HTTP (`garbage`), or a response without the `Response-Seal` header.
    garbage: bool = False
    # Send this kind of bytes without end (`standins._worker_floods`) instead of a response, or
    # after it: as fast as they are read, or one each `flood_gap` seconds.
    flood: str = ""
    flood_gap: float = 0.0
    unsealed: bool = False
    # Break a plain response off in the middle of its body (`truncate`), by closing the connection
    # or as `cut_by_reset` says; send bodies and streams without a length or chunks, which end when
    # the connection closes (`unframed`).
    truncate: bool = False
    unframed: bool = False
    # Respond before the request body has been read, and read it afterwards.
    early: bool = False
    # Exit the process when a request body contains this text; before the response or, in a stream,
    # after so many events.
    crash_on: str = ""
    crash_after_events: int = -1
    # Exit the process as well when a part of a prompt other than its last one has one of these ids;
    # wait this long before, in which other requests run.
    crash_on_parts: list[str] = []
    crash_delay: float = 0.0
    # Fall silent instead of exiting: connections stay open and carry nothing any longer.
    crash_silently: bool = False
    # Reset new connections beyond this number, so many seconds after they were accepted; -1: accept
    # any number.
    max_connections: int = -1
    reset_delay: float = 0.0
    # The same number from each of these Unix times on, in order.
    connection_limits: list[tuple[float, int]] = []
    # Instead of exiting, close all connections and be at once a new incarnation with this id.
    reborn_as: str = ""
    # Close a connection when a second request arrives on it, without executing that request.
    drop_idle: bool = False
    # Lengthen each response body and each event to at least so many bytes.
    body_bytes: int = 0
    event_bytes: int = 0
    # Reset the connection if its receiver takes nothing of a response for this long; 0: never. The
    # kernel then holds little of it.
    unread_timeout: float = 0.0
    # Start each stream at its first event, even if the request asks to resume it.
    repeat_events: bool = False

    def find_max_connections(self, at: float) -> int:
        """Return the number beyond which new connections are reset at a Unix time."""
        begun = [limit for since, limit in self.connection_limits if since <= at]
        return begun[-1] if begun else self.max_connections


class ReceivedRequest(msgspec.Struct):
    """A request that this worker received; `ran` says whether it was executed."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: str
    ran: bool
    instance: str = ""


def make_unserved(headers: dict[str, str], body: bytes) -> ReceivedRequest:
    """Return a request whose response was sent before its body was read."""
    attempt_id = headers.get("attempt-id", "")
    return ReceivedRequest(attempt_id, "", "", headers, body.decode("latin-1"), False)


class Arrival(msgspec.Struct):
    """A line of the arrivals file: a worker received a request at Unix time `at`.

    `pause_s` is the pause that the worker asked for in its response, `leaving` whether it said that
    it leaves, `crashes` whether the request makes it crash, `waited` whether it waited for a slot.
    """

    id: str
    worker: str
    at: float
    ran: bool
    method: str
    target: str
    account: str
    pause_s: float = 0.0
    leaving: bool = False
    crashes: bool = False
    waited: bool = False


class Stats(msgspec.Struct):
    """Statistics since the process started; `runs` counts executions by attempt id."""

    seen: list[ReceivedRequest] = []
    runs: dict[str, int] = {}
    running: int = 0
    most_running: int = 0
    cancelled: int = 0


def make_stream_event(body: bytes, number: int, size: int = 0) -> bytes:
    """Return event `number` of the stream that responds to a request with this body.

    It is lengthened to at least `size` bytes by a comment.
    """
    data = hashlib.blake2b(body + str(number).encode(), digest_size=6).hexdigest()
    event = f"id: {number}\ndata: {data}\n\n".encode()
    return event if len(event) >= size else b":" + b"." * (size - len(event) - 2) + b"\n" + event


def make_response_body(body: bytes, target: str, size: int = 0) -> bytes:
    """Return the whole response body to a request with this body and target.

    It is lengthened to at least `size` bytes.
    """
    digest = hashlib.blake2b(body + target.encode(), digest_size=32).hexdigest().encode()
    return digest.ljust(size, b".")
