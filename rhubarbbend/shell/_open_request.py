"""Requests of callers that have no final response yet."""

from __future__ import annotations

import asyncio

from rhubarbbend import codes
from rhubarbbend.core import actions
from rhubarbbend.http import BodyRelay, Exchange, Response
from rhubarbbend.shell._requests import (
    REPLAYED_HEADER,
    REQUEST_HEADER,
    TICKET_HEADER,
    VERDICT_HEADER,
    write_error,
)

STREAM_ERROR = b'event: error\ndata: {"error":{"code":"%s"}}\n\n'
FORWARDED_RESPONSE_HEADERS = ("content-type", "cache-control", "location", "etag")


class OpenRequest(BodyRelay):
    """A caller's request that has no final response yet.

    `exchange` is None for a command that another instance asked this one to run under a reserved
    key. `relayed` counts the bytes of the body relayed so far. Invariant: once `done` is set,
    nothing more is written to the exchange.
    """

    __slots__ = ("id", "method", "path", "headers", "body", "exchange", "done", "relayed", "stream")

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        exchange: Exchange | None,
    ) -> None:
        self.id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.exchange = exchange
        self.done = asyncio.Event()
        self.relayed = 0
        self.stream = False

    @property
    def can_respond(self) -> bool:
        """Whether a response can still be written."""
        return self.exchange is not None and not self.done.is_set()

    def start(self, response: Response, ticket: str) -> None:
        """Start to relay a target's response; has no effect if it has started already."""
        if not self.can_respond:
            return
        assert self.exchange is not None
        if self.exchange.started:
            return
        headers = [
            (name, response.headers[name])
            for name in FORWARDED_RESPONSE_HEADERS
            if name in response.headers
        ]
        headers.append((REQUEST_HEADER, self.id))
        if ticket:
            headers.append((TICKET_HEADER, ticket))
        self.stream = "text/event-stream" in response.headers.get("content-type", "")
        length = response.headers.get("content-length")
        if length is not None:
            headers.append(("Content-Length", length))
        self.exchange.start(response.status, headers)

    def write(self, data: bytes) -> None:
        """Relay a chunk of the body."""
        if self.can_respond:
            assert self.exchange is not None
            self.exchange.write(data)
        self.relayed += len(data)

    def is_write_buffer_full(self) -> bool:
        """Return whether the caller reads more slowly than its response arrives."""
        return (
            self.can_respond and self.exchange is not None and self.exchange.is_write_buffer_full()
        )

    async def drain(self) -> None:
        """Wait until a slow caller has caught up."""
        if self.can_respond:
            assert self.exchange is not None
            await self.exchange.drain()

    def finish(self) -> None:
        """End a relayed response that is complete."""
        if self.can_respond:
            assert self.exchange is not None
            self.exchange.finish()
        self.done.set()

    def refuse(self, action: actions.Refuse) -> None:
        """Respond with an error, or abort a response that has started."""
        if self.can_respond:
            assert self.exchange is not None
            if self.exchange.started:
                self.abort(action.code)
                return
            code = codes.find_error(action.code)
            write_error(
                self.exchange, self.id, code, action.verdict, action.attempt, action.retry_after
            )
        self.done.set()

    def reply(self, action: actions.Reply) -> None:
        """Respond with a complete outcome."""
        if self.can_respond:
            assert self.exchange is not None
            headers = [
                ("Content-Type", action.content_type or "application/octet-stream"),
                (REQUEST_HEADER, self.id),
                (VERDICT_HEADER, codes.Verdict.RAN.value),
            ]
            if action.replayed:
                headers.append((REPLAYED_HEADER, "true"))
            self.exchange.respond(action.status, headers, action.body)
        self.done.set()

    def abort(self, code: str) -> None:
        """End a started response without its final chunk; a stream gets an error event first."""
        if self.can_respond:
            assert self.exchange is not None
            if self.stream:
                self.exchange.write(STREAM_ERROR % code.encode())
            self.exchange.abort_after_flush()
        self.done.set()
