"""Finds the targets of a service that may get a request now, and why the others may not."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from rhubarbbend.core._pauses import PauseTracker
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.placement._brittle import BrittleTracker
from rhubarbbend.core.placement._connection_limits import ConnectionLimitTracker
from rhubarbbend.core.placement._health import HealthTracker
from rhubarbbend.core.placement._loads import LoadTracker
from rhubarbbend.core.shares import ColdTargetShare

# Of the connections that a target accepts from all instances together, this fraction is divided
# among the instances. The rest is left for idle connections and for instances that the others do
# not know of yet.
CONNECTION_FRACTION: Final = 0.8
MIN_CONNECTIONS: Final = 2


class Rejection(enum.Enum):
    """Why a target cannot get a request now; logged with a refusal."""

    UNREACHABLE = "unreachable"
    # The target has asked for a pause, or has just returned from one.
    PAUSED = "paused"
    # The request was at this target before.
    TRIED = "tried"
    CONNECTIONS = "connections"
    # It accepts no more connections, and this instance uses all that it has.
    FULL = "full"
    COLD = "cold"
    # Like all others, it is at the load bound.
    LOAD = "load"


def compute_max_connections(service: Service, instances: int) -> int:
    """Return the number of requests that one of `instances` may have at a target of a service."""
    share = service.max_connections * CONNECTION_FRACTION / max(1, instances)
    return max(MIN_CONNECTIONS, int(share))


def admit_all(target: Target) -> bool:
    """Admit every target of a service to a request."""
    return True


class Candidates:
    """The targets of a service that are considered for a request, and their loads.

    `eligible` are those of `targets` that can get the request; `rejections` counts the others.
    `failing` are the ids of targets to be avoided if there are others. `bound` is the load from
    which on requests spill over to other targets.
    """

    __slots__ = ("targets", "eligible", "loads", "mean", "bound", "failing", "rejections", "admits")

    def __init__(
        self, targets: list[Target], loads: dict[str, float], admits: Callable[[Target], bool]
    ) -> None:
        self.targets = targets
        self.admits = admits
        self.eligible: list[Target] = []
        self.loads = loads
        self.mean = sum(loads.values()) / len(loads) if loads else 0.0
        self.bound = math.inf
        self.failing: set[str] = set()
        self.rejections: Counter[Rejection] = Counter()

    def is_below_bound(self, target: Target) -> bool:
        """Return whether a target may get one more request within the load bound."""
        return self.loads[target.id] < self.bound


class CandidateFinder:
    """Finds candidates. Invariant: a target that must not receive requests is never eligible."""

    def __init__(
        self,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: HealthTracker,
        cold: ColdTargetShare,
        pauses: PauseTracker,
        brittle: BrittleTracker,
        limits: ConnectionLimitTracker,
    ) -> None:
        self._brittle = brittle
        self._limits = limits
        self._registry = registry
        self._loads = loads
        self._health = health
        self._cold = cold
        self._pauses = pauses

    def find(
        self,
        service: Service,
        excluded: set[str],
        instances: Sequence[str],
        admits: Callable[[Target], bool],
        now: float,
        avoids_unreachable: bool = False,
    ) -> Candidates:
        """Return the candidates for a request that was at the `excluded` targets before.

        If `avoids_unreachable`, the request is not used to try an unreachable target.
        """
        available = self._registry.list_available(service.name, now)
        targets = [t for t in available if admits(t) and not self._health.is_displaced(t.id)]
        found = Candidates(targets, self._estimate_loads(service, now), admits)
        found.failing = self._health.list_failing([target.id for target in targets], now)
        max_requests = compute_max_connections(service, len(instances))
        for target in targets:
            rejection = self._find_rejection(
                service, target, excluded, max_requests, instances, now
            )
            if rejection is None and avoids_unreachable and self._health.is_unreachable(target.id):
                rejection = Rejection.UNREACHABLE
            if rejection is None:
                found.eligible.append(target)
            else:
                found.rejections[rejection] += 1
        return found

    def _find_rejection(
        self,
        service: Service,
        target: Target,
        excluded: set[str],
        max_requests: int,
        instances: Sequence[str],
        now: float,
    ) -> Rejection | None:
        """Return why a target cannot receive a request now; None if it can."""
        if target.id in excluded and self._health.is_unreachable(target.id):
            return Rejection.UNREACHABLE
        if not self._pauses.may_send(target.id, now):
            return Rejection.PAUSED
        own = self._loads.count_own(target.id)
        limit = self._limits.find_limit(target.id, now)
        if limit is not None and own >= limit:
            return Rejection.FULL
        if target.id in excluded:
            return Rejection.TRIED
        if self._health.is_blocked(target.id, now):
            return Rejection.UNREACHABLE
        if own >= max_requests:
            return Rejection.CONNECTIONS
        if target.is_cold(now) and not self._may_send_cold(service, target, instances, now):
            return Rejection.COLD
        return None

    def _estimate_loads(self, service: Service, now: float) -> dict[str, float]:
        """Estimate the loads of a service's targets, also in zones that are out of service.

        Draining targets no longer count towards their service, nor do displaced ones, which have
        ended. The targets of a zone that is out of service are idle and lower the bound on the
        others: with the mean of the remaining targets alone, a hot key would load its engine beyond
        the bound.
        """
        targets = self._registry.list_not_draining(service.name)
        is_brittle = self._brittle.is_brittle(service.name, now)
        has_peer_counts = service.engine is not None or is_brittle
        return {
            target.id: self._loads.estimate(target.id, has_peer_counts, now)
            for target in targets
            if not self._health.is_displaced(target.id)
        }

    def _may_send_cold(
        self, service: Service, target: Target, instances: Sequence[str], now: float
    ) -> bool:
        if service.cold_rate <= 0.0:
            return True
        share = self._cold.compute_share(target.id, service.cold_rate, instances)
        return self._cold.has_room(target.id, share, now)
