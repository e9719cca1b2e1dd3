"""The HTTP frame that every stand-in shares: routes by method and path, JSON in and out."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from rhubarbbend.http import Exchange, HttpServer, ServerLimits

Handler = Callable[[Exchange], Awaitable[None]]

JSON_HEADERS = [("Content-Type", "application/json")]


def answer(exchange: Exchange, value: Any, status: int = 200) -> None:
    """Answer with JSON."""
    exchange.respond(status, JSON_HEADERS, msgspec.json.encode(value))


def read_query(exchange: Exchange) -> dict[str, str]:
    """Read the query of a request, the last value of each name."""
    query = parse_qs(urlsplit(exchange.target).query, keep_blank_values=True)
    return {name: values[-1] for name, values in query.items()}


class StandIn:
    """A stand-in's server. Subclasses override `handle`; `/admin/` goes to `handle_admin`."""

    def __init__(self) -> None:
        self.server = HttpServer(self._dispatch, ServerLimits(max_body_bytes=64 * 1024 * 1024))

    async def listen(self, host: str, port: int) -> int:
        """Start to accept; returns the port in use."""
        return await self.server.listen(host, port)

    async def _dispatch(self, exchange: Exchange) -> None:
        path = urlsplit(exchange.target).path
        if path.startswith("/admin/"):
            await self.handle_admin(exchange, path.removeprefix("/admin/"))
        else:
            await self.handle(exchange, path)

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Answer a request of the fleet."""
        raise NotImplementedError

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Answer a request of a test: faults and figures."""
        raise NotImplementedError
