"""A caller of a soak run: sends random requests and records their outcomes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Final

from loadtool._gateway_config import HOST, KEY
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_checks import RequestOutcome, RunRecord
from loadtool._soak_crowd import SoakCrowd
from loadtool._soak_faults import SECOND_KEY
from rhubarbbend.http import Connection, HttpFailure

CALLER_TIMEOUT_S: Final = 4.0
DEADLINE_MS: Final = "2000"
REQUEST_KINDS: Final = ("read", "read", "book", "chat", "chat", "plan")
SECOND_KEY_FRACTION: Final = 0.2
PREFIX_SESSION_COUNT: Final = 20


class SoakCaller:
    """A caller with one connection at a time, which it keeps as long as it can be used."""

    def __init__(
        self,
        fleet: GatewayFleet,
        record: RunRecord,
        ready: set[str],
        seed: str,
        crowd: SoakCrowd | None = None,
    ) -> None:
        self._crowd = crowd
        self._fleet = fleet
        self._record = record
        self._ready = ready
        self._random = random.Random(seed)
        self._connection: Connection | None = None
        self._instance = ""

    async def run(self, until: float) -> None:
        """Send one request after the other until a Unix time."""
        while time.time() < until:
            await self.send_request()
            await asyncio.sleep(self._random.uniform(0.02, 0.25))
        self.close()

    def close(self) -> None:
        """Close the connection that is kept."""
        if self._connection is not None:
            self._connection.close()

    async def send_request(self, instance: str = "", kind: str = "") -> RequestOutcome:
        """Send one request and return its outcome.

        It goes to `instance` over a new connection, or over the present connection if there is no
        `instance`. Without a `kind` it is of a random kind.
        """
        kind = kind or self._random.choice(REQUEST_KINDS)
        return await self.send(make_random_outcome(self._fleet, self._random, kind), instance)

    async def send(self, outcome: RequestOutcome, instance: str = "") -> RequestOutcome:
        """Send a request that was prepared, and return its outcome."""
        connection = await self._acquire_connection(instance)
        outcome.instance = self._instance
        outcome.sent_at = time.time()
        if connection is None:
            outcome.ended_at = outcome.sent_at
            return outcome
        self._record.outcomes.append(outcome)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self._send_and_receive(connection, outcome)
        except (HttpFailure, TimeoutError):
            connection.close()
        outcome.ended_at = time.time()
        if outcome.complete and connection.make_reusable():
            self._connection = connection
        else:
            connection.close()
        return outcome

    async def _acquire_connection(self, instance: str) -> Connection | None:
        kept_connection, self._connection = self._connection, None
        leaves = self._crowd is not None and self._crowd.wants_new_connection()
        if kept_connection is not None and not (kept_connection.closed or instance or leaves):
            return kept_connection
        if kept_connection is not None:
            kept_connection.close()
        names = sorted(self._ready) or list(self._fleet.instances)
        choose = self._random.choice if self._crowd is None else self._crowd.choose
        self._instance = instance or choose(names)
        try:
            return await Connection.open(self._fleet.instances[self._instance].front_address, 1.0)
        except HttpFailure:
            return None

    async def _send_and_receive(self, connection: Connection, outcome: RequestOutcome) -> None:
        headers = make_headers(outcome, self._random)
        raw_headers = [(name.encode(), value.encode()) for name, value in headers.items()]
        method = b"POST" if outcome.body else b"GET"
        connection.send_raw(method, outcome.path.encode(), raw_headers, outcome.body)
        response = await connection.receive_head(CALLER_TIMEOUT_S)
        outcome.status = response.status
        outcome.sealed = "response-seal" in response.headers
        async for part in connection.receive_body(CALLER_TIMEOUT_S):
            outcome.answer += part
        outcome.complete = True


def make_random_outcome(fleet: GatewayFleet, chooser: random.Random, kind: str) -> RequestOutcome:
    """Return the outcome of a request of a kind that is still to be sent."""
    number = chooser.randrange(1_000_000)
    key = SECOND_KEY if chooser.random() < SECOND_KEY_FRACTION else KEY
    path = f"/{kind}/{number}"
    if kind in ("chat", "plan"):
        path += "/stream"
    body = b"" if kind == "read" else f"{kind} {number}".encode()
    return RequestOutcome(fleet.make_attempt_id(), kind, "", key, path, body, 0.0)


def make_headers(outcome: RequestOutcome, chooser: random.Random) -> dict[str, str]:
    """Return the headers of a request; its prompt is chosen if it has none."""
    headers = {
        "Host": HOST,
        "Attempt-Id": outcome.id,
        "X-Api-Key": outcome.key,
        "Deadline-Ms": DEADLINE_MS,
        "Content-Length": str(len(outcome.body)),
    }
    if outcome.kind in ("chat", "plan"):
        session = chooser.randrange(PREFIX_SESSION_COUNT)
        outcome.prompt = outcome.prompt or f"common:300,{session:x}:900,own:50"
        headers["Prefix-Hash"] = outcome.prompt
    return headers
