"""The phases of a measured run and the changes made to the fleet in them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

import attrs

from loadtool._fleet import MeasuredFleet
from loadtool._reuse_bound import EngineSpan

WARM: Final = "warm"
STEADY: Final = "steady"
CHURN: Final = "churn"
ZONE_OUT: Final = "zone out"
ZONE_BACK: Final = "zone back"
# Share of each phase in the duration of the run.
PHASE_FRACTIONS: Final = {WARM: 0.2, STEADY: 0.25, CHURN: 0.3, ZONE_OUT: 0.125, ZONE_BACK: 0.125}
REPLACEMENT_INTERVAL_S: Final = 10.0
# Time from the registration of an engine as leaving, which stops new requests to it within a few
# seconds, to its stop.
LEAVING_GRACE_S: Final = 3.0


@attrs.define(slots=True, frozen=True)
class Phase:
    """A phase of the run; `begin` and `end` are in seconds since the load began."""

    name: str
    begin: float
    end: float


def plan_phases(seconds: float) -> list[Phase]:
    """Return the phases of a run that lasts so many seconds."""
    phases: list[Phase] = []
    at = 0.0
    for name, share in PHASE_FRACTIONS.items():
        phases.append(Phase(name, at, at + share * seconds))
        at += share * seconds
    return phases


class Scenario:
    """Replaces engines during churn, then takes a zone out of service and returns it.

    `spans` records when each engine could take requests.
    """

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
        self.out_of_service_at = 0.0
        self.in_service_at = 0.0
        self.in_service_requested_at = 0.0
        self._fleet = fleet
        self._phases = {phase.name: phase for phase in phases}
        self._now = now
        self._rng = random.Random(f"{seed}/scenario")

    async def run(self) -> None:
        """Make each change at its time."""
        await self._replace_engines(self._phases[CHURN])
        await self._sleep_until(self._phases[ZONE_OUT].begin)
        await self._take_zone_out_of_service()
        await self._sleep_until(self._phases[ZONE_BACK].begin)
        await self._return_zone_to_service()

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self._now()))

    async def _replace_engines(self, phase: Phase) -> None:
        at = phase.begin
        while at + LEAVING_GRACE_S < phase.end:
            await self._sleep_until(at)
            await self._replace_engine()
            at += REPLACEMENT_INTERVAL_S

    async def _replace_engine(self) -> None:
        old = self._rng.choice(sorted(self._fleet.list_engines(), key=lambda node: node.id))
        replacement = await self._fleet.start_replacement(old)
        self.spans[replacement.id] = EngineSpan(replacement.id, self._now())
        self.spans[old.id].end = self._now()
        await asyncio.sleep(LEAVING_GRACE_S)
        await self._fleet.remove_engine(old)

    async def _take_zone_out_of_service(self) -> None:
        nodes = [node for node in self._fleet.list_engines() if node.zone == self.zone]
        self.zone_engines = {node.id for node in nodes}
        await self._fleet.set_zone_service("out", self.zone)
        self.out_of_service_at = self._now()
        for name in self.zone_engines:
            self.spans[name].out_from = self.out_of_service_at

    async def _return_zone_to_service(self) -> None:
        # The zone gets requests again as soon as the change is accepted, but the command ends only
        # when all instances apply it. The time of the request is therefore kept as well.
        self.in_service_requested_at = self._now()
        await self._fleet.set_zone_service("in", self.zone)
        self.in_service_at = self._now()
        for name in self.zone_engines:
            self.spans[name].out_until = self.in_service_at
