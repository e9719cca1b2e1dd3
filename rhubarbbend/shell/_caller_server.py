"""Serves callers: gives their requests to the core, and carries out its answers to them."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable

import msgspec

from rhubarbbend import codes
from rhubarbbend.codes import Verdict
from rhubarbbend.core import actions, events
from rhubarbbend.http import Exchange
from rhubarbbend.settings import LimitSettings
from rhubarbbend.shell._callers import OpenRequest
from rhubarbbend.shell._metrics import Metrics
from rhubarbbend.shell._requests import (
    HEALTH_PATH,
    KEYS_PATH,
    READY_PATH,
    digest_key,
    read_count,
    read_request,
    write_error,
)


class CallerServer:
    """The requests of callers. Invariant: each is in `open` until it is done."""

    def __init__(
        self, limits: LimitSettings, feed: Callable[[events.Event], None], metrics: Metrics
    ) -> None:
        self.open: dict[str, OpenRequest] = {}
        self.ready = False
        self._limits = limits
        self._feed = feed
        self._metrics = metrics
        self._key_futures: dict[str, asyncio.Future[actions.Action]] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; the handler of the callers' HTTP server."""
        path = exchange.target.partition("?")[0]
        if path == HEALTH_PATH:
            exchange.respond(200, [("Content-Type", "text/plain")], b"ok\n")
        elif path == READY_PATH:
            status, text = (200, b"ready\n") if self.ready else (503, b"not ready\n")
            exchange.respond(status, [("Content-Type", "text/plain")], text)
        elif path == KEYS_PATH:
            await self._serve_keys(exchange)
        else:
            await self._serve_request(exchange)

    async def _serve_request(self, exchange: Exchange) -> None:
        request = exchange.headers.get("x-request-id", "")
        if not request or len(request) > 100 or request in self.open or "/" in request:
            request = uuid.uuid4().hex
        limits = self._limits
        read = read_request(
            exchange, request, time.time(), limits.default_deadline, limits.max_deadline
        )
        event = read.value_or(None)
        if event is None:
            bad = read.failure()
            self._metrics.add(f"refused.{bad.code.name}")
            not_run = Verdict.NOT_RUN.value
            write_error(exchange, request, bad.code, not_run, not_run, 0.0, bad.detail)
            return
        opened = OpenRequest(
            request, exchange.method, exchange.target, exchange.headers, exchange.body, exchange
        )
        self.open[request] = opened
        try:
            self._feed(event)
            await self._wait_for_answer(opened, exchange)
        finally:
            self.open.pop(request, None)

    async def _wait_for_answer(self, opened: OpenRequest, exchange: Exchange) -> None:
        answered = asyncio.ensure_future(opened.done.wait())
        left = asyncio.ensure_future(exchange.closed.wait())
        try:
            await asyncio.wait((answered, left), return_when=asyncio.FIRST_COMPLETED)
            if not opened.done.is_set():
                self._feed(events.CallerLeft(opened.id))
        finally:
            answered.cancel()
            left.cancel()

    async def _serve_keys(self, exchange: Exchange) -> None:
        request = uuid.uuid4().hex
        count = exchange.headers.get("rhubarbbend-count", "1")
        event = events.KeysRequested(
            request,
            digest_key(exchange.headers.get("authorization", "")),
            read_count(count),
        )
        future: asyncio.Future[actions.Action] = asyncio.get_running_loop().create_future()
        self._key_futures[request] = future
        self._feed(event)
        action = await future
        if isinstance(action, actions.GiveKeys):
            body = msgspec.json.encode({"keys": action.keys})
            exchange.respond(200, [("Content-Type", "application/json")], body)
        elif isinstance(action, actions.Refuse):
            code = codes.find_error(action.code)
            write_error(exchange, request, code, action.verdict, action.attempt, action.retry_after)

    # Actions.

    def refuse(self, action: actions.Refuse) -> None:
        """Answer a request, or a question for keys, with an error."""
        future = self._key_futures.pop(action.request, None)
        if future is not None and not future.done():
            future.set_result(action)
        opened = self.open.get(action.request)
        if opened is not None:
            opened.refuse(action)

    def reply(self, action: actions.Reply) -> None:
        """Answer a request with a kept outcome."""
        opened = self.open.get(action.request)
        if opened is not None:
            opened.reply(action)

    def give_keys(self, action: actions.GiveKeys) -> None:
        """Answer a question for keys."""
        future = self._key_futures.pop(action.request, None)
        if future is not None and not future.done():
            future.set_result(action)

    def cut(self, action: actions.CutAnswer) -> None:
        """End a started answer so that its caller sees it is not whole."""
        opened = self.open.get(action.request)
        if opened is not None:
            opened.cut(action.code)
