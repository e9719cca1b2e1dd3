"""A stand-in of a model engine: batches, caches prompt prefixes, starts cold, resumes, cancels.

Its words are a function of the prompt alone, so that a caller can check each byte. Reading a
prompt costs time by the token, less what the prefix cache holds; a cold engine reads slowly and
falls over (drops every request and stalls) when it gets more at once than it can bear.

Faults by `POST /admin/faults`: `turn_cold`, `crash_on` (a word: a request that holds it ends the
process), `cut_after` (the next stream is cut after that many bytes), `wrong_id` (the next answer
carries another id), `double_id`, `stall` (seconds before each head), `state` (reported state).
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import os
import time
import uuid
from collections import OrderedDict
from urllib.parse import unquote

import msgspec

from rhubarbbend.http import Exchange
from standins._server import StandIn, answer, read_query

BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4
KEEP_FINISHED = 10.0
EXIT_CRASHED = 70


class Message(msgspec.Struct):
    """One chat message."""

    role: str
    content: str


class ChatCall(msgspec.Struct):
    """Body of a chat completion."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int = 16


class Faults(msgspec.Struct):
    """What goes wrong at present."""

    crash_on: str = ""
    cut_after: int = -1
    wrong_id: bool = False
    stall: float = 0.0
    state: str = ""


class Stats(msgspec.Struct):
    """Figures since the start; times in Unix seconds."""

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
    last_request: float = 0.0


def make_words(messages: list[Message], count: int) -> list[str]:
    """Give the words that every engine answers to a prompt."""
    seed = hashlib.blake2b(digest_size=16)
    for message in messages:
        seed.update(f"{message.role}\0{message.content}\0".encode())
    base = seed.digest()
    return [
        hashlib.blake2b(base + i.to_bytes(4, "big"), digest_size=3).hexdigest() + " "
        for i in range(count)
    ]


class PrefixCache:
    """Blocks of prompt prefixes, least recently used out first. Capacity in tokens."""

    def __init__(self, capacity: int) -> None:
        self._capacity = max(1, capacity * CHARS_PER_TOKEN // BLOCK_CHARS)
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def read(self, text: str) -> int:
        """Look up a prompt, keep its blocks, and give how many of its tokens were held."""
        digest = hashlib.blake2b(digest_size=12)
        held = 0
        hit = True
        for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(text[start : start + BLOCK_CHARS].encode())
            block = digest.digest()
            if block in self._blocks:
                self._blocks.move_to_end(block)
                held += BLOCK_CHARS // CHARS_PER_TOKEN if hit else 0
            else:
                hit = False
                self._blocks[block] = None
        while len(self._blocks) > self._capacity:
            self._blocks.popitem(last=False)
        return held

    def count_held(self, text: str) -> int:
        """Count the tokens of a prompt that are held, without reading it."""
        digest = hashlib.blake2b(digest_size=12)
        held = 0
        for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(text[start : start + BLOCK_CHARS].encode())
            if digest.digest() not in self._blocks:
                break
            held += BLOCK_CHARS // CHARS_PER_TOKEN
        return held

    @property
    def size(self) -> int:
        """Blocks held."""
        return len(self._blocks)

    def clear(self) -> None:
        """Forget everything."""
        self._blocks.clear()


class Run:
    """One request: the bytes of its answer so far, and whether they are all there."""

    def __init__(self, call: ChatCall, request: str) -> None:
        self.call = call
        self.request = request
        self.data = bytearray()
        self.changed = asyncio.Event()
        self.done = False
        self.failed = False
        self.ended_at = 0.0
        self.task: asyncio.Task[None] | None = None

    def add(self, data: bytes) -> None:
        """Append to the answer."""
        self.data += data
        self.changed.set()

    def end(self, failed: bool) -> None:
        """Finish the answer."""
        self.done = True
        self.failed = failed
        self.ended_at = time.time()
        self.changed.set()


class Engine(StandIn):
    """One engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self._options = options
        self._faults = Faults()
        self._stats = Stats(uuid.uuid4().hex[:12])
        self._cache = PrefixCache(options.cache_tokens)
        self._slots = asyncio.Semaphore(options.slots)
        self._runs: dict[str, Run] = {}
        self._cold_left = options.cold_requests
        self._stalled_until = 0.0
        self._reports: list[tuple[float, int]] = [(0.0, 0)]

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Serve the fleet."""
        if path == "/v1/chat/completions":
            await self._chat(exchange)
        elif path == "/v1/load":
            self._report(exchange)
        elif path.startswith("/v1/requests/"):
            await self._serve_run(exchange, path.removeprefix("/v1/requests/"))
        else:
            answer(exchange, {"error": "no such path"}, 404)

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Serve a test."""
        if name == "stats":
            answer(exchange, self._stats)
        elif name == "reset_max":
            self._stats.max_running = self._stats.running
            answer(exchange, {})
        elif name == "faults":
            changes = msgspec.json.decode(exchange.body)
            if changes.pop("turn_cold", False):
                self._cold_left = self._options.cold_requests
                self._cache.clear()
            for field, value in changes.items():
                setattr(self._faults, field, value)
            answer(exchange, self._faults)
        else:
            answer(exchange, {"error": "no such path"}, 404)

    def _report(self, exchange: Exchange) -> None:
        """Report the load as it was `report_lag` seconds ago."""
        now = time.time()
        lag: float = self._options.report_lag
        running = 0
        for at, count in self._reports:
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
        answer(exchange, report)

    def _note_running(self, by: int) -> None:
        stats = self._stats
        stats.running += by
        stats.max_running = max(stats.max_running, stats.running)
        now = time.time()
        self._reports.append((now, stats.running))
        while len(self._reports) > 2 and self._reports[1][0] < now - self._options.report_lag:
            self._reports.pop(0)

    async def _chat(self, exchange: Exchange) -> None:
        try:
            call = msgspec.json.decode(exchange.body, type=ChatCall)
        except msgspec.MsgspecError as error:
            answer(exchange, {"error": str(error)}, 400)
            return
        request = exchange.headers.get("x-request-id", uuid.uuid4().hex)
        if self._faults.crash_on and self._faults.crash_on.encode() in exchange.body:
            # A moment later, so that requests beside it are running when the process ends.
            asyncio.get_running_loop().call_later(0.05, os._exit, EXIT_CRASHED)
        run = Run(call, request)
        self._runs[request] = run
        self._drop_old_runs()
        run.task = asyncio.get_running_loop().create_task(self._generate(run))
        await self._send_answer(exchange, run)

    def _drop_old_runs(self) -> None:
        oldest = time.time() - KEEP_FINISHED
        for request, run in list(self._runs.items()):
            if run.done and run.ended_at < oldest:
                del self._runs[request]

    async def _generate(self, run: Run) -> None:
        stats = self._stats
        stats.requests += 1
        stats.last_request = time.time()
        self._note_running(1)
        try:
            if self._cold_left > 0 and stats.running > self._options.cold_bears:
                self._fall_over()
            async with self._slots:
                cached = await self._read_prompt(run)
                await self._write_words(run, cached)
            stats.finished += 1
            self._cold_left = max(0, self._cold_left - 1)
            run.end(failed=False)
        except asyncio.CancelledError:
            run.end(failed=True)
        finally:
            self._note_running(-1)

    def _fall_over(self) -> None:
        """Drop everything and stall: a cold engine got more than it can bear."""
        self._stats.fell_over += 1
        self._stalled_until = time.time() + 2.0
        for run in self._runs.values():
            if run.task is not None and not run.done:
                run.task.cancel()

    async def _read_prompt(self, run: Run) -> int:
        text = "".join(f"{m.role}\0{m.content}\0" for m in run.call.messages)
        tokens = len(text) // CHARS_PER_TOKEN
        cached = self._cache.read(text)
        self._stats.prompt_tokens += tokens
        self._stats.cached_tokens += cached
        rate = self._options.prefill_rate
        if self._cold_left > 0:
            rate /= self._options.cold_factor
        stall = max(0.0, self._stalled_until - time.time()) + self._faults.stall
        await asyncio.sleep(stall + (tokens - cached) / rate)
        return cached

    async def _write_words(self, run: Run, cached: int) -> None:
        words = make_words(run.call.messages, run.call.max_tokens)
        step = self._options.token_time
        usage = {
            "prompt_tokens": sum(len(m.content) for m in run.call.messages) // CHARS_PER_TOKEN,
            "completion_tokens": len(words),
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        if run.call.stream:
            for word in words:
                await asyncio.sleep(step)
                run.add(_make_chunk(run, {"content": word}, None, None))
                self._stats.completion_tokens += 1
            run.add(_make_chunk(run, {}, "stop", usage) + b"data: [DONE]\n\n")
            return
        await asyncio.sleep(step * len(words))
        self._stats.completion_tokens += len(words)
        message = {"role": "assistant", "content": "".join(words)}
        body = {
            "id": run.request,
            "object": "chat.completion",
            "model": run.call.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": usage,
        }
        run.add(msgspec.json.encode(body))

    async def _send_answer(self, exchange: Exchange, run: Run) -> None:
        if not run.call.stream:
            await self._wait_done(exchange, run)
            if run.failed or exchange.closed.is_set():
                self._cancel(run)
                exchange.abort()
                return
            body = bytes(run.data)
            exchange.start(200, self._make_head(run, len(body)))
            cut = self._take_cut()
            if cut >= 0:
                exchange.write(body[:cut])
                exchange.abort_after_flush()
                return
            exchange.write(body)
            exchange.finish()
            return
        await self._send_stream(exchange, run, 0)

    def _take_cut(self) -> int:
        cut, self._faults.cut_after = self._faults.cut_after, -1
        return cut

    def _make_head(self, run: Run, length: int = -1) -> list[tuple[str, str]]:
        request = run.request
        if self._faults.wrong_id:
            self._faults.wrong_id = False
            request = "another-" + request
        kind = "text/event-stream" if run.call.stream else "application/json"
        head = [("Content-Type", kind), ("X-Request-Id", request)]
        if length >= 0:
            head.append(("Content-Length", str(length)))
        return head

    async def _send_stream(self, exchange: Exchange, run: Run, offset: int) -> None:
        while not run.data and not run.done:
            await self._wait_change(exchange, run)
            if exchange.closed.is_set():
                break
        exchange.start(200, self._make_head(run))
        cut = self._take_cut()
        while not exchange.closed.is_set():
            end = len(run.data)
            if cut >= 0 and end >= cut:
                exchange.write(bytes(run.data[offset:cut]))
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
                await self._wait_change(exchange, run)

    async def _wait_change(self, exchange: Exchange, run: Run) -> None:
        run.changed.clear()
        if run.done:
            return
        changed = asyncio.ensure_future(run.changed.wait())
        closed = asyncio.ensure_future(exchange.closed.wait())
        await asyncio.wait((changed, closed), return_when=asyncio.FIRST_COMPLETED)
        changed.cancel()
        closed.cancel()

    async def _wait_done(self, exchange: Exchange, run: Run) -> None:
        while not run.done and not exchange.closed.is_set():
            await self._wait_change(exchange, run)

    async def _serve_run(self, exchange: Exchange, rest: str) -> None:
        request, _, what = rest.partition("/")
        run = self._runs.get(unquote(request))
        if run is None:
            answer(exchange, {"error": "no such request"}, 404)
        elif exchange.method == "DELETE":
            self._cancel(run)
            answer(exchange, {})
        elif what == "stream":
            self._stats.resumed += 1
            await self._send_stream(exchange, run, int(read_query(exchange).get("offset", "0")))
        else:
            answer(exchange, {"error": "no such path"}, 404)

    def _cancel(self, run: Run) -> None:
        if run.task is not None and not run.done:
            self._stats.cancelled += 1
            run.task.cancel()


def _make_chunk(run: Run, delta: object, finish: str | None, usage: object) -> bytes:
    chunk: dict[str, object] = {
        "id": run.request,
        "object": "chat.completion.chunk",
        "model": run.call.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the engine's options; rates are in tokens a second, times in seconds."""
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
    """Make an engine from its options."""
    return Engine(options)
