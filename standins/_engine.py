"""Stand-in for a model engine: slots, a prefix cache, cold start, resumed and cancelled streams.

The words of a completion depend only on the prompt, so that a caller can check each byte.
Prefill takes time for each prompt token that is not in the prefix cache. A cold engine prefills
more slowly, and when it gets more concurrent requests than it can handle it is overloaded: it
drops all of them and stalls.

`POST /admin/faults` injects faults: `turn_cold` (clear the cache and be cold again), `crash_on`
(the process exits when a request contains this text), `cut_after` (the next response is cut after
so many bytes), `wrong_id` (the next response carries another request id), `stall` (seconds added
before each prefill), `state` (the state that the load report shows), `pause_s` (requests are
rejected with 503 and a `Retry-After` of so many seconds), `leaving` (responses say so).
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
import uuid
from urllib.parse import unquote

import msgspec

from rhubarbbend.http import Exchange
from standins._prompts import (
    CHARS_PER_TOKEN,
    ChatRequest,
    PrefixCache,
    make_completion_words,
)
from standins._server import StandIn, read_query, respond_json, respond_paused

FINISHED_RUN_RETENTION_S = 10.0
EXIT_CRASHED = 70


class Faults(msgspec.Struct):
    """The faults that are active now."""

    crash_on: str = ""
    cut_after: int = -1
    wrong_id: bool = False
    stall: float = 0.0
    state: str = ""
    pause_s: float = 0.0
    leaving: bool = False


class Stats(msgspec.Struct):
    """Statistics since the process started; times are Unix seconds.

    `fell_over` counts how often a cold engine was overloaded.
    """

    boot_id: str
    requests: int = 0
    finished: int = 0
    running: int = 0
    max_running: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    fell_over: int = 0
    cancelled: int = 0
    resumed: int = 0
    rejected: int = 0
    last_request: float = 0.0


class Run:
    """The execution of one request: the response bytes so far, and whether they are complete.

    A streamed run outlives its connection, so that the caller can resume the stream.
    """

    def __init__(self, request: ChatRequest, request_id: str) -> None:
        self.request = request
        self.request_id = request_id
        self.data = bytearray()
        self.changed = asyncio.Event()
        self.done = False
        self.failed = False
        self.ended_at = 0.0
        self.task: asyncio.Task[None] | None = None

    def add(self, data: bytes) -> None:
        """Append to the response."""
        self.data += data
        self.changed.set()

    def end(self, failed: bool) -> None:
        """Mark the response as complete, or as failed."""
        self.done = True
        self.failed = failed
        self.ended_at = time.time()
        self.changed.set()


class Engine(StandIn):
    """A model engine; its options are described at `add_options`."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self._options = options
        self._faults = Faults()
        self._stats = Stats(uuid.uuid4().hex[:12])
        self._cache = PrefixCache(options.cache_tokens)
        self._slots = asyncio.Semaphore(options.slots)
        self._runs: dict[str, Run] = {}
        self._cold_requests_left = options.cold_requests
        self._stalled_until = 0.0
        self._running_history: list[tuple[float, int]] = [(0.0, 0)]

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Handle a chat completion, a request for the load report, or one for an earlier run."""
        if path == "/v1/chat/completions":
            await self._handle_chat(exchange)
        elif path == "/v1/load":
            self._send_load_report(exchange)
        elif path.startswith("/v1/requests/"):
            await self._handle_run_request(exchange, path.removeprefix("/v1/requests/"))
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Return statistics, reset the highest concurrency, or change the faults."""
        if name == "stats":
            respond_json(exchange, self._stats)
        elif name == "reset_max":
            self._stats.max_running = self._stats.running
            respond_json(exchange, {})
        elif name == "faults":
            changes = msgspec.json.decode(exchange.body)
            if changes.pop("turn_cold", False):
                self._cold_requests_left = self._options.cold_requests
                self._cache.clear()
            for field, value in changes.items():
                setattr(self._faults, field, value)
            respond_json(exchange, self._faults)
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    def _send_load_report(self, exchange: Exchange) -> None:
        """Report the load as it was `report_lag` seconds ago."""
        now = time.time()
        lag: float = self._options.report_lag
        running = 0
        for at, count in self._running_history:
            if at <= now - lag:
                running = count
        report = {
            "boot_id": self._stats.boot_id,
            "state": self._faults.state or "ready",
            "running": running,
            "slots": self._options.slots,
            "age": lag,
            "models": self._options.models.split(",") if self._options.models else [],
        }
        respond_json(exchange, report)

    def _record_running(self, delta: int) -> None:
        stats = self._stats
        stats.running += delta
        stats.max_running = max(stats.max_running, stats.running)
        now = time.time()
        self._running_history.append((now, stats.running))
        while (
            len(self._running_history) > 2
            and self._running_history[1][0] < now - self._options.report_lag
        ):
            self._running_history.pop(0)

    async def _handle_chat(self, exchange: Exchange) -> None:
        try:
            request = msgspec.json.decode(exchange.body, type=ChatRequest)
        except msgspec.MsgspecError as error:
            respond_json(exchange, {"error": str(error)}, 400)
            return
        if self._faults.pause_s:
            self._stats.rejected += 1
            respond_paused(exchange, self._faults.pause_s)
            return
        request_id = exchange.headers.get("x-request-id", uuid.uuid4().hex)
        if self._faults.crash_on and self._faults.crash_on.encode() in exchange.body:
            # Exit with a delay, so that concurrent requests are running when the process exits.
            asyncio.get_running_loop().call_later(0.05, os._exit, EXIT_CRASHED)
        run = Run(request, request_id)
        self._runs[request_id] = run
        self._expire_finished_runs()
        run.task = asyncio.get_running_loop().create_task(self._generate(run))
        await self._send_response(exchange, run)

    def _expire_finished_runs(self) -> None:
        expiry_time = time.time() - FINISHED_RUN_RETENTION_S
        for request_id, run in list(self._runs.items()):
            if run.done and run.ended_at < expiry_time:
                del self._runs[request_id]

    async def _generate(self, run: Run) -> None:
        stats = self._stats
        stats.requests += 1
        stats.last_request = time.time()
        self._record_running(1)
        try:
            if self._cold_requests_left > 0 and stats.running > self._options.cold_bears:
                self._drop_all_runs()
            async with self._slots:
                cached = await self._prefill(run)
                await self._generate_words(run, cached)
            stats.finished += 1
            self._cold_requests_left = max(0, self._cold_requests_left - 1)
            run.end(failed=False)
        except asyncio.CancelledError:
            run.end(failed=True)
        finally:
            self._record_running(-1)

    def _drop_all_runs(self) -> None:
        """Cancel all runs and stall: a cold engine got too many concurrent requests."""
        self._stats.fell_over += 1
        self._stalled_until = time.time() + 2.0
        for run in self._runs.values():
            if run.task is not None and not run.done:
                run.task.cancel()

    async def _prefill(self, run: Run) -> int:
        text = "".join(f"{m.role}\0{m.content}\0" for m in run.request.messages)
        tokens = len(text) // CHARS_PER_TOKEN
        cached = self._cache.insert_and_count_hits(text)
        self._stats.prompt_tokens += tokens
        self._stats.cached_tokens += cached
        rate = self._options.prefill_rate
        if self._cold_requests_left > 0:
            rate /= self._options.cold_factor
        stall = max(0.0, self._stalled_until - time.time()) + self._faults.stall
        await asyncio.sleep(stall + (tokens - cached) / rate)
        return cached

    async def _generate_words(self, run: Run, cached: int) -> None:
        words = make_completion_words(run.request.messages, run.request.max_tokens)
        token_time = self._options.token_time
        usage = {
            "prompt_tokens": sum(len(m.content) for m in run.request.messages) // CHARS_PER_TOKEN,
            "completion_tokens": len(words),
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        if run.request.stream:
            for word in words:
                await asyncio.sleep(token_time)
                run.add(_make_chunk(run, {"content": word}, None, None))
                self._stats.completion_tokens += 1
            run.add(_make_chunk(run, {}, "stop", usage) + b"data: [DONE]\n\n")
            return
        await asyncio.sleep(token_time * len(words))
        self._stats.completion_tokens += len(words)
        message = {"role": "assistant", "content": "".join(words)}
        body = {
            "id": run.request_id,
            "object": "chat.completion",
            "model": run.request.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": usage,
        }
        run.add(msgspec.json.encode(body))

    async def _send_response(self, exchange: Exchange, run: Run) -> None:
        if not run.request.stream:
            await self._wait_until_done(exchange, run)
            if run.failed or exchange.closed.is_set():
                self._cancel(run)
                exchange.abort()
                return
            body = bytes(run.data)
            exchange.start(200, self._make_response_headers(run, len(body)))
            cut_after = self._consume_cut_after()
            if cut_after >= 0:
                exchange.write(body[:cut_after])
                exchange.abort_after_flush()
                return
            exchange.write(body)
            exchange.finish()
            return
        await self._send_stream(exchange, run, 0)

    def _consume_cut_after(self) -> int:
        cut_after, self._faults.cut_after = self._faults.cut_after, -1
        return cut_after

    def _make_response_headers(self, run: Run, length: int = -1) -> list[tuple[str, str]]:
        request_id = run.request_id
        if self._faults.wrong_id:
            self._faults.wrong_id = False
            request_id = "another-" + request_id
        content_type = "text/event-stream" if run.request.stream else "application/json"
        response_headers = [("Content-Type", content_type), ("X-Request-Id", request_id)]
        if self._faults.leaving:
            response_headers.append(("Server-Leaving", "1"))
        if length >= 0:
            response_headers.append(("Content-Length", str(length)))
        return response_headers

    async def _send_stream(self, exchange: Exchange, run: Run, offset: int) -> None:
        while not run.data and not run.done:
            await self._wait_for_change(exchange, run)
            if exchange.closed.is_set():
                break
        exchange.start(200, self._make_response_headers(run))
        cut_after = self._consume_cut_after()
        while not exchange.closed.is_set():
            end = len(run.data)
            if cut_after >= 0 and end >= cut_after:
                exchange.write(bytes(run.data[offset:cut_after]))
                exchange.abort_after_flush()
                return
            if end > offset:
                exchange.write(bytes(run.data[offset:end]))
                offset = end
                await exchange.drain()
            elif run.done:
                if run.failed:
                    exchange.abort()
                else:
                    exchange.finish()
                return
            else:
                await self._wait_for_change(exchange, run)

    async def _wait_for_change(self, exchange: Exchange, run: Run) -> None:
        run.changed.clear()
        if run.done:
            return
        changed = asyncio.ensure_future(run.changed.wait())
        closed = asyncio.ensure_future(exchange.closed.wait())
        await asyncio.wait((changed, closed), return_when=asyncio.FIRST_COMPLETED)
        changed.cancel()
        closed.cancel()

    async def _wait_until_done(self, exchange: Exchange, run: Run) -> None:
        while not run.done and not exchange.closed.is_set():
            await self._wait_for_change(exchange, run)

    async def _handle_run_request(self, exchange: Exchange, subpath: str) -> None:
        request_id, _, action = subpath.partition("/")
        run = self._runs.get(unquote(request_id))
        if run is None:
            respond_json(exchange, {"error": "no such request"}, 404)
        elif exchange.method == "DELETE":
            self._cancel(run)
            respond_json(exchange, {})
        elif action == "stream":
            self._stats.resumed += 1
            await self._send_stream(exchange, run, int(read_query(exchange).get("offset", "0")))
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    def _cancel(self, run: Run) -> None:
        if run.task is not None and not run.done:
            self._stats.cancelled += 1
            run.task.cancel()


def _make_chunk(run: Run, delta: object, finish: str | None, usage: object) -> bytes:
    chunk: dict[str, object] = {
        "id": run.request_id,
        "object": "chat.completion.chunk",
        "model": run.request.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options of an engine.

    `--cache-tokens` is the size of the prefix cache, `--prefill-rate` is in tokens per second,
    `--token-time` is the seconds for each completion word. The engine is cold for its first
    `--cold-requests` requests: then more than `--cold-bears` concurrent requests overload it, and
    its prefill is slower by `--cold-factor`. `--report-lag` is the age of load reports in seconds.
    """
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--cache-tokens", type=int, default=60_000)
    parser.add_argument("--prefill-rate", type=float, default=20_000.0)
    parser.add_argument("--token-time", type=float, default=0.004)
    parser.add_argument("--cold-requests", type=int, default=0)
    parser.add_argument("--cold-bears", type=int, default=2)
    parser.add_argument("--cold-factor", type=float, default=4.0)
    parser.add_argument("--report-lag", type=float, default=0.3)
    parser.add_argument("--models", default="")


def make_engine(options: argparse.Namespace) -> Engine:
    """Make an engine from its command-line options."""
    return Engine(options)
