"""The HTTP server that the stand-ins share: dispatch by path, and JSON responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from rhubarbbend.http import Exchange, HttpServer, ServerLimits

Handler = Callable[[Exchange], Awaitable[None]]

JSON_HEADERS = [("Content-Type", "application/json")]


def respond_json(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Send `value` as a JSON response."""
    exchange.respond(status, JSON_HEADERS, msgspec.json.encode(value))


def respond_paused(exchange: Exchange, pause_s: float) -> None:
    """Reject a request and ask its sender to send nothing for so many seconds."""
    request_id = exchange.headers.get("x-request-id", "")
    headers = [("X-Request-Id", request_id), ("Retry-After", f"{pause_s:g}")]
    exchange.respond(503, headers, b"")


def read_query(exchange: Exchange) -> dict[str, str]:
    """Return the query parameters of a request; of a repeated name, the last value counts."""
    query = parse_qs(urlsplit(exchange.target).query, keep_blank_values=True)
    return {name: values[-1] for name, values in query.items()}


class StandIn:
    """Base class of the stand-ins.

    Requests below `/admin/` go to `handle_admin`, all others to `handle`; subclasses override
    both.
    """

    def __init__(self) -> None:
        self.server = HttpServer(self._dispatch, ServerLimits(max_body_bytes=64 * 1024 * 1024))

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections; port 0 picks a free one. Return the port in use."""
        return await self.server.listen(host, port)

    async def _dispatch(self, exchange: Exchange) -> None:
        path = urlsplit(exchange.target).path
        if path.startswith("/admin/"):
            await self.handle_admin(exchange, path.removeprefix("/admin/"))
        else:
            await self.handle(exchange, path)

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Handle a request sent by the fleet."""
        raise NotImplementedError

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Handle a request sent by a test: inject faults or return statistics.

        `name` is the path after `/admin/`.
        """
        raise NotImplementedError
