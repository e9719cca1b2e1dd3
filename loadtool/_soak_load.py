"""Demand beyond what the targets of a soak run can do, and targets whose pace varies.

A client account sends six times its usual requests, then a route floods; in some runs a third of
the engines are away meanwhile. These callers send at a rate, however long the answers take.
"""

from __future__ import annotations

import asyncio
import copy
import random
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs

from loadtool._gateway_config import ACCOUNT, KEY, make_config
from loadtool._gateway_fleet import GatewayFleet
from loadtool._soak_caller import SoakCaller
from loadtool._soak_checks import Period, RequestOutcome, RunRecord
from loadtool._soak_faults import SECOND_KEY, SoakFaultInjector
from loadtool._soak_load_checks import (
    LoadRecord,
    LoadRoute,
    compute_share,
    find_load_violations,
    select_requests,
)
from standins._worker_types import Arrival

TARGETS_UNDER_LOAD: Final = 6
SLOTS: Final = 3
# As many for each slot as on deployment A of the specification.
QUEUE: Final = 3 * SLOTS
# Targets are up to 2.5 times slower for 0.6 s at a time, as on deployment B. The engines can then
# do 43 requests a second in the mean, the plain targets 65.
WORKER_FAULTS: Final[dict[str, Any]] = {
    "slots": SLOTS,
    "queue": QUEUE,
    "delay": 0.2,
    "slow_factor": 2.5,
    "slow_s": 0.6,
    "slow_interval_s": 2.4,
    "reports_pace": True,
}
NO_WORKER_FAULTS: Final[dict[str, Any]] = {
    "slots": 0,
    "queue": 0,
    "delay": 0.0,
    "slow_factor": 1.0,
    "reports_pace": False,
}
ROUTES: Final = {
    "read": LoadRoute("plain", 0),
    "book": LoadRoute("plain", 2),
    "chat": LoadRoute("llm", 0),
    "plan": LoadRoute("llm", 2),
}
# Accounts beside the one of the usual callers, by key.
ACCOUNTS: Final = {"key-of-the-millers": "millers", "key-of-the-weavers": "weavers"}
OBJECTIVE_MS: Final = 400
# Requests a second of each of these accounts by each route. The flood, from all of them together,
# is several times what the usual callers send by one route.
USUAL_RATE: Final = 2.0
SURGE_FACTOR: Final = 6.0
FLOOD_RATE: Final = 80.0
# Parts of a run: the load begins and ends, the surge ends, the flood begins. Both overlap.
LOAD_PART: Final = (0.2, 0.66)
SURGE_UNTIL_PART: Final = 0.46
FLOOD_SINCE_PART: Final = 0.38
# The first requests of a run meet instances that know nothing of the targets yet.
WARM_UP_S: Final = 0.5
AWAY_S: Final = 3.0
SESSIONS: Final = 20
MAX_OWN_TOKENS: Final = 8_000


def make_load_options() -> dict[str, Any]:
    """Return the options of a fleet under load; the contract switches admission control on."""
    return {
        "config_changes": _make_config_changes(),
        "settings_changes": {"contracts": ["pressure"]},
        "worker_slots": SLOTS,
    }


def _make_config_changes() -> dict[str, Any]:
    """Return the fields of the configuration that differ: priorities, accounts and slots."""
    config = copy.deepcopy(make_config())
    for route in config["routes"]:
        if route["name"] in ROUTES:
            route.update(priority=ROUTES[route["name"]].priority, sloMs=OBJECTIVE_MS)
    for service in config["services"]:
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    # An account with a priority of its own would have it on all routes.
    accounts = [{"name": ACCOUNT, "apiKeys": [KEY, SECOND_KEY]}]
    accounts += [{"name": name, "apiKeys": [key]} for key, name in ACCOUNTS.items()]
    return {"routes": config["routes"], "services": config["services"], "tenants": accounts}


@attrs.define(slots=True, frozen=True)
class LoadPlan:
    """What happens in a run, by its seed: periods are named after the account or the route."""

    calm: Period
    load: Period
    surge: Period
    flood: Period
    takes_engines_away: bool

    @classmethod
    def make(cls, chooser: random.Random, started: float, duration: float) -> LoadPlan:
        """Choose what happens in a run that starts at a Unix time."""
        since, until = (started + part * duration for part in LOAD_PART)
        return cls(
            Period("calm", started + WARM_UP_S, since),
            Period("load", since, until),
            Period(chooser.choice(list(ACCOUNTS)), since, started + SURGE_UNTIL_PART * duration),
            Period(chooser.choice(list(ROUTES)), started + FLOOD_SINCE_PART * duration, until),
            chooser.random() < 0.5,
        )

    def find_rate(self, key: str, kind: str, now: float) -> float:
        """Return the requests a second of an account by a route at a Unix time."""
        is_surging = key == self.surge.name and self.surge.since <= now < self.surge.until
        is_flooding = kind == self.flood.name and self.flood.since <= now < self.flood.until
        rate = USUAL_RATE * (SURGE_FACTOR if is_surging else 1.0)
        return rate + (FLOOD_RATE / len(ACCOUNTS) if is_flooding else 0.0)


class SoakLoad:
    """Sends the load of a run and checks what comes of it."""

    def __init__(
        self,
        fleet: GatewayFleet,
        faults: SoakFaultInjector,
        record: RunRecord,
        ready: set[str],
        seed: int,
        duration: float,
    ) -> None:
        self._fleet = fleet
        self._faults = faults
        self._record = record
        self._ready = ready
        self._random = random.Random(f"load {seed}")
        self._plan = LoadPlan.make(self._random, record.started, duration)
        self._idle_callers: list[SoakCaller] = []
        self._sendings: set[asyncio.Task[None]] = set()
        zones = {name: node.settings["zone"] for name, node in fleet.instances.items()}
        accounts = {KEY: ACCOUNT, SECOND_KEY: ACCOUNT, **ACCOUNTS}
        ended_at = record.started + duration
        self._load = LoadRecord(
            self._plan.calm, self._plan.load, ended_at, dict(ROUTES), accounts, zones
        )

    async def run(self, until: float) -> None:
        """Send requests until a Unix time; then let the targets work as usual again."""
        await self._fleet.add_default_worker_faults(**WORKER_FAULTS)
        away = asyncio.create_task(self._take_engines_away())
        await asyncio.gather(
            *(self._send_by(key, kind, until) for key in ACCOUNTS for kind in ROUTES)
        )
        await asyncio.gather(away, *self._sendings)
        for caller in self._idle_callers:
            caller.close()
        for name, node in self._fleet.workers.items():
            if node.process.running and not node.process.frozen:
                await self._fleet.set_worker_faults(name, **NO_WORKER_FAULTS)

    async def _take_engines_away(self) -> None:
        """End a third of the engines when the flood begins; others follow some seconds later."""
        if not self._plan.takes_engines_away:
            return
        await asyncio.sleep(self._plan.flood.since - time.time())
        # The usual faults affect only the first three engines.
        count = TARGETS_UNDER_LOAD
        lost = [f"engine-{number}" for number in range(count - count // 3, count)]
        await asyncio.gather(*(self._fleet.workers[name].process.kill() for name in lost))
        await asyncio.gather(*(self._faults.replace_ended(name, AWAY_S) for name in lost))

    async def _send_by(self, key: str, kind: str, until: float) -> None:
        while (now := time.time()) < until:
            sending = asyncio.create_task(self._send(key, kind))
            self._sendings.add(sending)
            sending.add_done_callback(self._sendings.discard)
            await asyncio.sleep(self._random.expovariate(self._plan.find_rate(key, kind, now)))

    async def _send(self, key: str, kind: str) -> None:
        number = self._random.randrange(1_000_000)
        path, body, prompt = f"/{kind}/{number}", f"{kind} {number}".encode(), ""
        if ROUTES[kind].service == "llm":
            own = min(MAX_OWN_TOKENS, int(50 * self._random.paretovariate(1.0)))
            session = self._random.randrange(SESSIONS)
            path, prompt = f"{path}/stream", f"common:300,{session:x}:900,{number:x}:{own}"
        body = b"" if kind == "read" else body
        attempt = self._fleet.make_attempt_id()
        outcome = RequestOutcome(attempt, kind, "", key, path, body, 0.0, prompt=prompt)
        if not self._idle_callers:
            caller = SoakCaller(self._fleet, self._record, self._ready, f"load {attempt}")
            self._idle_callers.append(caller)
        caller = self._idle_callers.pop()
        await caller.send(outcome)
        self._idle_callers.append(caller)

    def find_violations(self) -> list[str]:
        """Return a line for each violated guarantee."""
        return find_load_violations(self._record, self._load, self._fleet.read_arrivals())

    def describe(self) -> str:
        """Return what happened and what was served as a line."""
        plan = self._plan
        requests = select_requests(self._record, plan.load.since, plan.load.until)
        served = {
            kind: round(compute_share([r for r in requests if r.kind == kind]), 2)
            for kind in ROUTES
        }
        away = ", a third of the engines away" if plan.takes_engines_away else ""
        return (
            f"load: account {ACCOUNTS[plan.surge.name]} surged, route {plan.flood.name} flooded"
            f"{away}; served {compute_share(requests):.2f} of {len(requests)}, by route {served}; "
            f"{_describe_arrivals(self._fleet.read_arrivals(), plan.load)}"
        )


def _describe_arrivals(arrivals: Sequence[Arrival], load: Period) -> str:
    """Return how much the targets rejected, and what they never started, under the load."""
    within = [arrival for arrival in arrivals if load.since <= arrival.at < load.until]
    rejected = sum(not arrival.ran and not arrival.waited for arrival in within)
    given_up = sum(not arrival.ran and arrival.waited for arrival in within)
    return f"targets got {len(within)}, rejected {rejected}, never started {given_up}"
