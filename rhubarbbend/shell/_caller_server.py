"""Serve callers: pass their requests to the core, and carry out its actions on their responses."""

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
from rhubarbbend.shell._metrics import Metrics
from rhubarbbend.shell._open_request import OpenRequest
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
    """Serve the requests of callers.

    Invariant: a request is in `open_requests` until it is done.
    """

    def __init__(
        self, limits: LimitSettings, submit_event: Callable[[events.Event], None], metrics: Metrics
    ) -> None:
        self.open_requests: dict[str, OpenRequest] = {}
        self.ready = False
        self._limits = limits
        self._submit_event = submit_event
        self._metrics = metrics
        self._key_futures: dict[str, asyncio.Future[actions.Action]] = {}

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request. This is the request handler of the HTTP server for callers."""
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
        if not request or len(request) > 100 or request in self.open_requests or "/" in request:
            request = uuid.uuid4().hex
        limits = self._limits
        result = read_request(
            exchange, request, time.time(), limits.default_deadline, limits.max_deadline
        )
        event = result.value_or(None)
        if event is None:
            error = result.failure()
            self._metrics.add(f"refused.{error.code.name}")
            not_run = Verdict.NOT_RUN.value
            write_error(exchange, request, error.code, not_run, not_run, 0.0, error.detail)
            return
        open_request = OpenRequest(
            request, exchange.method, exchange.target, exchange.headers, exchange.body, exchange
        )
        self.open_requests[request] = open_request
        try:
            self._submit_event(event)
            await self._wait_for_response(open_request, exchange)
        finally:
            self.open_requests.pop(request, None)

    async def _wait_for_response(self, open_request: OpenRequest, exchange: Exchange) -> None:
        response_done = asyncio.ensure_future(open_request.done.wait())
        caller_left = asyncio.ensure_future(exchange.closed.wait())
        try:
            await asyncio.wait((response_done, caller_left), return_when=asyncio.FIRST_COMPLETED)
            if not open_request.done.is_set():
                self._submit_event(events.CallerLeft(open_request.id))
        finally:
            response_done.cancel()
            caller_left.cancel()

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
        self._submit_event(event)
        action = await future
        if isinstance(action, actions.GiveKeys):
            body = msgspec.json.encode({"keys": action.keys})
            exchange.respond(200, [("Content-Type", "application/json")], body)
        elif isinstance(action, actions.Refuse):
            code = codes.find_error(action.code)
            write_error(exchange, request, code, action.verdict, action.attempt, action.retry_after)

    # Actions.

    def refuse(self, action: actions.Refuse) -> None:
        """Respond with an error to a request, or to a request for reserved keys."""
        future = self._key_futures.pop(action.request, None)
        if future is not None and not future.done():
            future.set_result(action)
        open_request = self.open_requests.get(action.request)
        if open_request is not None:
            open_request.refuse(action)

    def reply(self, action: actions.Reply) -> None:
        """Respond to a request with a stored outcome."""
        open_request = self.open_requests.get(action.request)
        if open_request is not None:
            open_request.reply(action)

    def send_keys(self, action: actions.GiveKeys) -> None:
        """Respond to a request for reserved keys."""
        future = self._key_futures.pop(action.request, None)
        if future is not None and not future.done():
            future.set_result(action)

    def abort(self, action: actions.CutAnswer) -> None:
        """Abort a response that has started, so that its caller detects that it is incomplete."""
        open_request = self.open_requests.get(action.request)
        if open_request is not None:
            open_request.abort(action.code)
