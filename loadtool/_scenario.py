"""The course of a run: phases, and what is done to the fleet in them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from loadtool._bound import EngineSpan
from loadtool._fleet import MeasuredFleet

WARM: Final = "warm"
STEADY: Final = "steady"
CHURN: Final = "churn"
ZONE_OUT: Final = "zone out"
ZONE_BACK: Final = "zone back"
SHARES: Final = {WARM: 0.2, STEADY: 0.25, CHURN: 0.3, ZONE_OUT: 0.125, ZONE_BACK: 0.125}
REPLACE_INTERVAL: Final = 10.0
# A leaving engine gets no new work after a few seconds; then it is stopped.
LEAVING_TIME: Final = 3.0


@attrs.define(slots=True, frozen=True)
class Phase:
    """A phase of the run, in seconds since the load began."""

    name: str
    begin: float
    end: float


def plan_phases(seconds: float) -> list[Phase]:
    """Divide a run into its phases."""
    phases: list[Phase] = []
    at = 0.0
    for name, share in SHARES.items():
        phases.append(Phase(name, at, at + share * seconds))
        at += share * seconds
    return phases


class Scenario:
    """Replaces engines during churn, then takes a zone out and back in."""

    def __init__(
        self,
        fleet: MeasuredFleet,
        phases: Sequence[Phase],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self.spans = {node.id: EngineSpan(node.id, 0.0) for node in fleet.list_engines()}
        self.zone = fleet.deployment.zones[-1]
        self.zone_engines: set[str] = set()
        self.out_at = 0.0
        self.back_at = 0.0
        self.back_asked_at = 0.0
        self._fleet = fleet
        self._phases = {phase.name: phase for phase in phases}
        self._now = now
        self._rng = random.Random(f"{seed}/scenario")

    async def run(self) -> None:
        """Do everything at its time."""
        await self._replace_engines(self._phases[CHURN])
        await self._wait(self._phases[ZONE_OUT].begin)
        await self._take_zone_out()
        await self._wait(self._phases[ZONE_BACK].begin)
        await self._take_zone_back()

    async def _wait(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now()))

    async def _replace_engines(self, phase: Phase) -> None:
        at = phase.begin
        while at + LEAVING_TIME < phase.end:
            await self._wait(at)
            await self._replace_one()
            at += REPLACE_INTERVAL

    async def _replace_one(self) -> None:
        old = self._rng.choice(sorted(self._fleet.list_engines(), key=lambda node: node.id))
        fresh = await self._fleet.start_replacement(old)
        self.spans[fresh.id] = EngineSpan(fresh.id, self._now())
        self.spans[old.id].end = self._now()
        await asyncio.sleep(LEAVING_TIME)
        await self._fleet.end_engine(old)

    async def _take_zone_out(self) -> None:
        nodes = [node for node in self._fleet.list_engines() if node.zone == self.zone]
        self.zone_engines = {node.id for node in nodes}
        await self._fleet.move_zone("out", self.zone)
        self.out_at = self._now()
        for name in self.zone_engines:
            self.spans[name].out_from = self.out_at

    async def _take_zone_back(self) -> None:
        # The zone gets work again from the moment that the change is accepted, which the command
        # tells only after it has seen it in force everywhere.
        self.back_asked_at = self._now()
        await self._fleet.move_zone("in", self.zone)
        self.back_at = self._now()
        for name in self.zone_engines:
            self.spans[name].out_until = self.back_at
