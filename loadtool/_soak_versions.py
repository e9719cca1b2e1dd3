"""Versions that come and go in a soak run while callers take streams up again, and the checks.

Engines are replaced by those of the next version, one after the other, without an order. Callers
break streams off after some events and take them up again at once, at any instance that is ready.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from typing import Any, Final

import attrs

from loadtool._gateway_config import HOST, KEY
from loadtool._gateway_fleet import ZONES, GatewayFleet
from loadtool._soak_checks import RequestOutcome, RunRecord
from rhubarbbend.http import Connection, HttpFailure

SERVICE: Final = "llm"
FIRST_VERSION: Final = "v1"
SEAL_PREFIX: Final = "seal-"
PATH_PREFIX: Final = "/chat/versions-"
# Engines of one version, and the time between two replacements and between two releases.
ENGINES: Final = 4
REPLACEMENT_S: Final = 0.5
RELEASE_PAUSE_S: Final = (1.0, 4.0)
DRAIN_S: Final = 2.0
CALLERS: Final = 12
EVENTS_READ: Final = 2
RESUMPTIONS: Final = 2
TIMEOUT_S: Final = 4.0
# From the users' rules: streams that may hold events of two versions, resumptions from which on
# the share of those that go on counts, and that share against the one of new streams.
MAX_MIXED: Final = 2
MIN_RESUMPTIONS: Final = 12
MIN_SHARE: Final = 0.5
MIN_TARGETS: Final = 2


@attrs.define(slots=True)
class VersionedStream:
    """A stream with the attempts that brought events of it, and the engine that sealed each."""

    attempt: str
    seals: dict[str, str] = attrs.Factory(dict)


@attrs.define(slots=True)
class Taking:
    """One attempt to begin a stream, or to take it up again; `engines` of its version served."""

    outcome: RequestOutcome
    engines: int = 0


class SoakVersions:
    """Releases versions, takes streams up again, and checks what comes of it."""

    def __init__(self, fleet: GatewayFleet, record: RunRecord, ready: set[str], seed: int) -> None:
        self._fleet = fleet
        self._record = record
        self._ready = ready
        self._random = random.Random(f"versions {seed}")
        self._versions: dict[str, str] = {}
        self._serving: list[str] = []
        self._streams: list[VersionedStream] = []
        self._begun: list[Taking] = []
        self._taken_up: list[Taking] = []

    async def run(self, until: float) -> None:
        """Release versions and send streams until a Unix time."""
        releasing = asyncio.create_task(self._release(until))
        await asyncio.gather(*(self._call(until) for _ in range(CALLERS)))
        await releasing

    # Versions.

    async def _release(self, until: float) -> None:
        number = 1
        while time.time() < until:
            number += 1
            old = list(self._serving)
            for count in range(ENGINES):
                name = f"v{number}-engine-{count}"
                zone = ZONES[count % len(ZONES)]
                version = f"v{number}"
                self._versions[name] = version
                self._record.zone_by_target[name] = zone
                await self._fleet.start_worker(name, SERVICE, zone, version=version)
                self._serving.append(name)
                if count < len(old):
                    await self._take_away(old[count])
                await asyncio.sleep(REPLACEMENT_S)
            await asyncio.sleep(self._random.uniform(*RELEASE_PAUSE_S))

    async def _take_away(self, name: str) -> None:
        """Let an engine leave: it drains first, or only its entry goes, or it crashes."""
        self._serving.remove(name)
        how = self._random.choice(("drain", "unregister", "crash"))
        if how == "drain":
            await self._fleet.register_worker(name, state="draining", version=self._versions[name])
        elif how == "crash":
            await self._fleet.workers[name].process.kill()
        asyncio.get_running_loop().create_task(self._end(name, 0.0 if how == "unregister" else 1.0))

    async def _end(self, name: str, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self._fleet.write_row("servers", name, None)
        await asyncio.sleep(DRAIN_S)
        await self._fleet.workers[name].process.kill()

    # Callers.

    async def _call(self, until: float) -> None:
        while time.time() < until:
            body = f"versions {self._random.randrange(1_000_000)}".encode()
            stream = VersionedStream(self._fleet.make_attempt_id())
            self._streams.append(stream)
            taking = await self._take(stream, stream.attempt, body, 0)
            self._begun.append(taking)
            events = taking.outcome.answer.count(b"\n\n")
            for _ in range(RESUMPTIONS if events else 0):
                attempt = self._fleet.make_attempt_id()
                taking = await self._take(stream, attempt, body, events)
                self._taken_up.append(taking)
                events += taking.outcome.answer.count(b"\n\n")
            await asyncio.sleep(self._random.uniform(0.05, 0.3))

    async def _take(self, stream: VersionedStream, attempt: str, body: bytes, last: int) -> Taking:
        """Begin a stream or take it up again, read some events and break it off."""
        names = sorted(self._ready) or list(self._fleet.instances)
        instance = self._random.choice(names)
        path = f"{PATH_PREFIX}{stream.attempt}/stream"
        outcome = RequestOutcome(attempt, "chat", instance, KEY, path, body, time.time())
        version = self._find_version(next(iter(stream.seals.values()), ""))
        engines = sum(self._find_version(name) == version for name in self._serving)
        self._record.outcomes.append(outcome)
        headers: dict[str, Any] = {} if not last else {"Resumes": stream.attempt}
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._receive(stream, outcome, headers, last)
        except (HttpFailure, TimeoutError):
            pass
        outcome.ended_at = time.time()
        return Taking(outcome, engines)

    async def _receive(
        self, stream: VersionedStream, outcome: RequestOutcome, headers: dict[str, Any], last: int
    ) -> None:
        address = self._fleet.instances[outcome.instance].front_address
        connection = await Connection.open(address)
        sent = {
            "Host": HOST,
            "Attempt-Id": outcome.id,
            "X-Api-Key": KEY,
            "Deadline-Ms": "3000",
            "Prefix-Hash": f"common:300,{stream.attempt.encode().hex()}:400,own:50",
            "Content-Length": str(len(outcome.body)),
            **headers,
            **({"Last-Event-Id": str(last)} if last else {}),
        }
        raw = [(name.encode(), value.encode()) for name, value in sent.items()]
        try:
            connection.send_raw(b"POST", outcome.path.encode(), raw, outcome.body)
            response = await connection.receive_head(TIMEOUT_S)
            outcome.status = response.status
            if response.status != 200:
                return
            async for part in connection.receive_body(TIMEOUT_S):
                outcome.answer += part
                seal = response.headers.get("response-seal", "").removeprefix(SEAL_PREFIX)
                stream.seals[outcome.id] = seal
                if outcome.answer.count(b"\n\n") >= EVENTS_READ:
                    outcome.was_left = True
                    return
        finally:
            connection.close()

    # Checks.

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        mixed = self._list_mixed()
        violations = [] if len(mixed) <= MAX_MIXED else [f"order: mixed streams {mixed[:9]}"]
        counted = [t for t in self._taken_up if self._is_counted(t)]
        if len(counted) >= MIN_RESUMPTIONS:
            went_on, began = _compute_share(counted), _compute_share(self._begun)
            if went_on < MIN_SHARE * began:
                violations.append(
                    f"lost: {went_on:.2f} of {len(counted)} went on, {began:.2f} begin"
                )
        return violations

    def _list_mixed(self) -> list[str]:
        """Return the streams that hold events of two versions, or were sent on to another one."""
        sent_on: dict[str, set[str]] = defaultdict(set)
        for name in self._fleet.instances:
            for line in self._fleet.read_log(name):
                if line["event"] == "sent" and line["resume_after"]:
                    sent_on[line["id"]].add(line["version"])
        mixed: list[str] = []
        for stream in self._streams:
            versions = {self._find_version(engine) for engine in stream.seals.values()}
            for attempt in stream.seals:
                versions |= sent_on[attempt]
            if len(versions) > 1:
                mixed.append(stream.attempt)
        return mixed

    def _find_version(self, engine: str) -> str:
        """Return an engine's version; those that the fleet started have the first one."""
        return self._versions.get(engine, FIRST_VERSION)

    def _is_counted(self, taking: Taking) -> bool:
        outcome = taking.outcome
        is_in_touch = self._record.is_undisturbed(outcome.instance, outcome.sent_at)
        return is_in_touch and taking.engines >= MIN_TARGETS

    def describe(self) -> str:
        """Return what became of the streams of the run as a line."""
        counted = [taking for taking in self._taken_up if self._is_counted(taking)]
        return (
            f"versions: {len(set(self._versions.values()))}, streams begun {len(self._begun)} "
            f"({_compute_share(self._begun):.2f}), taken up {len(self._taken_up)} "
            f"({_compute_share(self._taken_up):.2f}), of them while two of their version served "
            f"{len(counted)} ({_compute_share(counted):.2f}), mixed {len(self._list_mixed())}"
        )


def _compute_share(takings: list[Taking]) -> float:
    """Return the share that brought events, 1 if there are none."""
    served = sum(bool(taking.outcome.answer) for taking in takings)
    return served / len(takings) if takings else 1.0
