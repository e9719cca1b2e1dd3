"""A stand-in of a plain service: counts how often each key was run, so that a double run shows.

Faults by `POST /admin/faults`: `delay` (seconds before each run), `hold` (seconds between the run
and its answer), `crash_before`, `crash_after` (end the process at the next command, before or
after its run is counted), `silent` (the next command runs and is not answered). Counts survive a
crash in the file given by `--journal`.
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
from standins._server import StandIn, answer

EXIT_CRASHED = 70
HANG_SECONDS = 60.0


class Faults(msgspec.Struct):
    """What goes wrong at present."""

    delay: float = 0.0
    hold: float = 0.0
    crash_before: bool = False
    crash_after: bool = False
    silent: bool = False
    crash_on: str = ""
    state: str = ""


class Stats(msgspec.Struct):
    """Figures since the start; times in Unix seconds."""

    boot_id: str
    requests: int = 0
    running: int = 0
    max_running: int = 0
    last_request: float = 0.0


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
        """Serve the fleet."""
        if path == "/v1/load":
            report = {
                "boot_id": self._stats.boot_id,
                "state": self._faults.state or "ready",
                "running": self._stats.running,
                "slots": self._options.slots,
                "age": 0.0,
                "models": [],
            }
            answer(exchange, report)
            return
        stats = self._stats
        stats.requests += 1
        stats.running += 1
        stats.max_running = max(stats.max_running, stats.running)
        stats.last_request = time.time()
        try:
            if self._faults.crash_on and self._faults.crash_on.encode() in exchange.body:
                os._exit(EXIT_CRASHED)
            if exchange.method == "GET":
                await self._look_up(exchange, path)
            else:
                await self._run(exchange, path)
        finally:
            stats.running -= 1

    async def handle_admin(self, exchange: Exchange, name: str) -> None:
        """Serve a test."""
        if name == "runs":
            answer(exchange, dict(self._runs))
        elif name == "stats":
            answer(exchange, self._stats)
        elif name == "faults":
            for field, value in msgspec.json.decode(exchange.body).items():
                setattr(self._faults, field, value)
            answer(exchange, self._faults)
        else:
            answer(exchange, {"error": "no such path"}, 404)

    async def _look_up(self, exchange: Exchange, path: str) -> None:
        await asyncio.sleep(self._faults.delay)
        self._answer(exchange, {"path": path, "free": len(path) % 2 == 0})

    async def _run(self, exchange: Exchange, path: str) -> None:
        key = exchange.headers.get("idempotency-key", "")
        await asyncio.sleep(self._faults.delay)
        if self._faults.crash_before:
            os._exit(EXIT_CRASHED)
        self._count(key)
        if self._faults.crash_after:
            os._exit(EXIT_CRASHED)
        await asyncio.sleep(self._faults.hold)
        if self._faults.silent:
            self._faults.silent = False
            await asyncio.sleep(HANG_SECONDS)
        digest = len(exchange.body)
        self._answer(exchange, {"path": path, "key": key, "done": True, "size": digest})

    def _count(self, key: str) -> None:
        self._runs[key] += 1
        if self._journal is not None:
            with self._journal.open("a", encoding="utf-8") as journal:
                journal.write(key + "\n")

    def _answer(self, exchange: Exchange, value: object) -> None:
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", exchange.headers.get("x-request-id", "")),
        ]
        exchange.respond(200, headers, msgspec.json.encode(value))


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the service's options."""
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--delay", type=float, default=0.005)
    parser.add_argument("--journal", default="")


def make_service(options: argparse.Namespace) -> PlainService:
    """Make a service from its options."""
    return PlainService(options)
