"""Stand-in for a plain service.

It counts the executions of each idempotency key, so that a test can detect a command that was
executed twice. `POST /admin/faults` injects faults: `delay` (seconds before each execution),
`hold` (seconds between the execution and its response), `crash_before` and `crash_after` (the
process exits at the next command, before or after its execution is counted), `silent` (the next
command is executed but gets no response), `crash_on` (the process exits when a request body
contains this text), `state` (the state that the load report shows), `pause_s` (requests are
rejected with 503 and a `Retry-After` of so many seconds), `leaving` (responses say so). The file
given by `--journal` keeps one line for each execution, so that the counts survive a crash.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
import uuid
from collections import Counter
from pathlib import Path

import msgspec

from rhubarbbend.http import Exchange
from standins._server import StandIn, respond_json, respond_paused

EXIT_CRASHED = 70
# How long a command that gets no response is held, when `silent` is set.
HANG_TIMEOUT_S = 60.0


class Faults(msgspec.Struct):
    """The faults that are active now."""

    delay: float = 0.0
    hold: float = 0.0
    crash_before: bool = False
    crash_after: bool = False
    silent: bool = False
    crash_on: str = ""
    state: str = ""
    pause_s: float = 0.0
    leaving: bool = False


class Stats(msgspec.Struct):
    """Statistics since the process started; times are Unix seconds."""

    boot_id: str
    requests: int = 0
    running: int = 0
    max_running: int = 0
    last_request: float = 0.0
    rejected: int = 0


class PlainService(StandIn):
    """A service with commands (any method but GET) and lookups (GET)."""

    def __init__(self, options: argparse.Namespace) -> None:
        super().__init__()
        self._options = options
        self._faults = Faults(delay=options.delay)
        self._stats = Stats(uuid.uuid4().hex[:12])
        self._runs: Counter[str] = Counter()
        self._journal = Path(options.journal) if options.journal else None

    async def handle(self, exchange: Exchange, path: str) -> None:
        """Handle a command, a lookup or a request for the load report."""
        if path == "/v1/load":
            load_report = {
                "boot_id": self._stats.boot_id,
                "state": self._faults.state or "ready",
                "running": self._stats.running,
                "slots": self._options.slots,
                "age": 0.0,
                "models": [],
            }
            respond_json(exchange, load_report)
            return
        stats = self._stats
        stats.requests += 1
        stats.running += 1
        stats.max_running = max(stats.max_running, stats.running)
        stats.last_request = time.time()
        try:
            if self._faults.crash_on and self._faults.crash_on.encode() in exchange.body:
                os._exit(EXIT_CRASHED)
            if self._faults.pause_s:
                stats.rejected += 1
                respond_paused(exchange, self._faults.pause_s)
            elif exchange.method == "GET":
                await self._handle_lookup(exchange, path)
            else:
                await self._handle_command(exchange, path)
        finally:
            stats.running -= 1

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Return execution counts or statistics, or change the faults."""
        if name == "runs":
            respond_json(exchange, dict(self._runs))
        elif name == "stats":
            respond_json(exchange, self._stats)
        elif name == "faults":
            for field, value in msgspec.json.decode(exchange.body).items():
                setattr(self._faults, field, value)
            respond_json(exchange, self._faults)
        else:
            respond_json(exchange, {"error": "no such path"}, 404)

    async def _handle_lookup(self, exchange: Exchange, path: str) -> None:
        await asyncio.sleep(self._faults.delay)
        self._respond(exchange, {"path": path, "free": len(path) % 2 == 0})

    async def _handle_command(self, exchange: Exchange, path: str) -> None:
        key = exchange.headers.get("idempotency-key", "")
        await asyncio.sleep(self._faults.delay)
        if self._faults.crash_before:
            os._exit(EXIT_CRASHED)
        self._record_run(key)
        if self._faults.crash_after:
            os._exit(EXIT_CRASHED)
        await asyncio.sleep(self._faults.hold)
        if self._faults.silent:
            self._faults.silent = False
            await asyncio.sleep(HANG_TIMEOUT_S)
        size = len(exchange.body)
        self._respond(exchange, {"path": path, "key": key, "done": True, "size": size})

    def _record_run(self, key: str) -> None:
        self._runs[key] += 1
        if self._journal is not None:
            with self._journal.open("a", encoding="utf-8") as journal:
                journal.write(key + "\n")

    def _respond(self, exchange: Exchange, value: object) -> None:
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", exchange.headers.get("x-request-id", "")),
            *([("Server-Leaving", "1")] if self._faults.leaving else []),
        ]
        exchange.respond(200, headers, msgspec.json.encode(value))


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the command-line options of a plain service; `--delay` is in seconds."""
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--delay", type=float, default=0.005)
    parser.add_argument("--journal", default="")


def make_service(options: argparse.Namespace) -> PlainService:
    """Make a plain service from its command-line options."""
    return PlainService(options)
