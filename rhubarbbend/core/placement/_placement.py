"""Chooses the target of a request.

A request with a prompt goes to the target that the prompt's parts were last sent to. If that target
is unknown, it goes to the prompt's home, the first target in rendezvous order of the prompt's
affinity key. Every instance computes the same home, so the parts of a prompt are processed by one
engine and found in its cache again. If a target is unreachable, cold, failing or above the load
bound, the request goes to the next target in the order. It then names the target that has the parts
cached, and the engine fetches them from there, which costs a fraction of processing them again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Final

from rhubarbbend.core._pauses import PauseTracker
from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.capacity import NO_PROMPT, FirstEventEstimator, UnreadTokens
from rhubarbbend.core.catalog import Service
from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.placement._brittle import BrittleTracker
from rhubarbbend.core.placement._candidates import (
    CandidateFinder,
    Candidates,
    Rejection,
    admit_all,
)
from rhubarbbend.core.placement._choices import Choice, PlacementOptions, Reason
from rhubarbbend.core.placement._connection_limits import ConnectionLimitTracker
from rhubarbbend.core.placement._expected_time import (
    CachedPrompt,
    ExpectedTimeSelector,
    RouteKey,
    count_unread,
)
from rhubarbbend.core.placement._health import HealthTracker
from rhubarbbend.core.placement._loads import LoadTracker
from rhubarbbend.core.placement._overload import (
    PROPAGATION_TIME_S,
    Headroom,
    RequestRate,
    compute_spillover_bound,
)
from rhubarbbend.core.placement._prompt_locations import PromptLocationTracker
from rhubarbbend.core.placement._prompts import Prompt
from rhubarbbend.core.placement._sources import SourceFinder
from rhubarbbend.core.shares import ColdTargetShare

# A request is rejected because of load only if the counts of at least this fraction of the other
# instances are known: an instance that is cut off from them cannot compute the mean load.
MIN_KNOWN_PEERS_FRACTION: Final = 0.5
# Requests with the same prompt are divided among the targets that have it cached only if the load
# of the latest one is more than this many requests above the mean.
BALANCED_SLACK: Final = 1.0
# A target of another zone is chosen only if the target of this instance's zone holds at least this
# many requests more.
ZONE_ADVANTAGE: Final = 0.75
# A request that is sent more than this time after its target was chosen is counted again in the
# target's cold share, at the time when it is sent.
SLOW_CONNECT_S: Final = 0.02


class Placement:
    """Chooses the target of each request.

    Invariant: a target that must not receive requests is never chosen.
    """

    def __init__(
        self,
        options: PlacementOptions,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: HealthTracker,
        cold: ColdTargetShare,
        pauses: PauseTracker,
        brittle: BrittleTracker,
        limits: ConnectionLimitTracker | None = None,
    ) -> None:
        self._brittle = brittle
        self._limits = limits or ConnectionLimitTracker()
        self._options = options
        self._registry = registry
        self._loads = loads
        self._health = health
        self._cold = cold
        self._pauses = pauses
        self._finder = CandidateFinder(registry, loads, health, cold, pauses, brittle, self._limits)
        self.prompt_locations = PromptLocationTracker()
        self._sources = SourceFinder(
            options.sources, registry, loads, health, self.prompt_locations
        )
        self.estimator = FirstEventEstimator(loads.capacity)
        self._expected_time = ExpectedTimeSelector(self.estimator)
        self._instances: Sequence[str] = ()  # As of the latest choice.
        self._rates: dict[str, RequestRate] = {}
        # For the log of a rejection: the number of targets rejected at the last choice, by reason.
        self.last_rejections: Mapping[Rejection, int] = {}

    def set_options(self, options: PlacementOptions) -> None:
        """Replace the options."""
        self._options = options
        self._sources.set_options(options.sources)

    def choose(
        self,
        service: Service,
        prompt: Prompt | None,
        excluded: set[str],
        instances: Sequence[str],
        random: Random,
        now: float,
        admits: Callable[[Target], bool] = admit_all,
        avoids_unreachable: bool = False,
        route: str = "",
        objective: float = 0.0,
    ) -> Choice | None:
        """Choose a target; return None if no target of the service can take the request now.

        `excluded` holds the ids of the targets that were already tried for this request.
        `instances` are all instances that share the bounds on connections and cold targets.
        `admits` returns whether a target may get this request. If `avoids_unreachable`, it is not
        used to try an unreachable target. `route` is the name of the request's route, and
        `objective` its latency objective.
        """
        self._instances = instances
        candidates = self._finder.find(
            service, excluded, instances, admits, now, avoids_unreachable
        )
        self.last_rejections = candidates.rejections
        if self._brittle.is_brittle(service.name, now):
            expected = self._record_arrival(service, len(instances), now)
            self._keep_with_room(candidates, instances, expected, now)
        if not candidates.eligible:
            return None
        candidates.bound = compute_spillover_bound(
            self._options.load_factor, candidates.mean, service
        )
        key = RouteKey(service.name, route, self._options.zone, objective)
        if service.engine is None:
            return self._choose_by_load(candidates, key, random, now)
        headroom = self._compute_headroom(candidates, bool(excluded), now)
        expected = self._record_arrival(service, len(instances), now)
        if headroom is not None and not headroom.admits(expected, random):
            candidates.rejections[Rejection.LOAD] = len(candidates.eligible)
            return None
        if prompt is None or not prompt.parts:
            return self._choose_by_load(candidates, key, random, now)
        return self._choose_by_prompt(candidates, key, prompt, headroom, random, now)

    def find_alternatives(
        self,
        service: Service,
        excluded: set[str],
        instances: Sequence[str],
        now: float,
        admits: Callable[[Target], bool] = admit_all,
        avoids_unreachable: bool = True,
    ) -> Candidates:
        """Find the targets that can take a request that was at `excluded` before.

        If `avoids_unreachable`, only those of which it is known that they can be reached.
        """
        candidates = self._finder.find(
            service, excluded, instances, admits, now, avoids_unreachable
        )
        if self._brittle.is_brittle(service.name, now):
            expected = self._estimate_unseen(service, len(instances), now)
            self._keep_with_room(candidates, instances, expected, now)
        return candidates

    def _keep_with_room(
        self, candidates: Candidates, instances: Sequence[str], expected: float, now: float
    ) -> None:
        """Reject the candidates of a brittle service that may have no room for a request.

        `expected` requests reach other instances before their counts arrive. This holds for repeats
        too: a request that is rejected counts, whoever sends it.
        """
        eligible = candidates.eligible
        candidates.eligible = self._brittle.select_with_room(
            eligible,
            candidates.loads,
            {target.id: self._loads.count_own(target.id) for target in eligible},
            instances,
            expected,
            self._loads.has_counts_of_fraction(MIN_KNOWN_PEERS_FRACTION, now),
            now,
        )
        if len(candidates.eligible) < len(eligible):
            candidates.rejections[Rejection.LOAD] = len(eligible) - len(candidates.eligible)

    def record_chosen(self, target: Target, now: float) -> None:
        """Record that a request is about to be sent to a target."""
        self._cold.record_sent(target.id, now)

    def record_sent(
        self, choice: Choice, prompt: Prompt | None, chosen_at: float, now: float
    ) -> None:
        """Record that a request was sent at `now` to the target chosen for it at `chosen_at`."""
        target = choice.target
        if now - chosen_at > SLOW_CONNECT_S:
            self._cold.record_sent(target.id, now)
        if prompt is not None and prompt.parts:
            known = self._sources.list_holders(prompt, now)
            is_moved = choice.reason is not Reason.HOME or choice.source is not None
            # A move away from a slow target lasts for a moment; others still find the prompt there.
            is_lasting = is_moved and choice.reason is not Reason.SOONER
            is_unexpected = is_lasting and target not in known[:1]
            self.prompt_locations.record_sent(prompt.affinity_key, target.id, is_unexpected, now)

    def has_cached(self, prompt: Prompt, target: Target, now: float) -> bool:
        """Return whether a target probably has the shared parts of a prompt cached."""
        return target in self._sources.list_holders(prompt, now)

    def compute_pause_left(self, service: Service, now: float) -> float:
        """Return the seconds until the first pause of a service's targets ends; 0 without one."""
        targets = self._registry.list_available(service.name, now)
        left = [self._pauses.compute_remaining(target.id, now) for target in targets]
        return min((pause for pause in left if pause > 0.0), default=0.0)

    def record_departure(self, target: Target, now: float) -> None:
        """Remove a target whose registration was removed, but keep it as a source while it runs."""
        self._sources.record_departure(target, now)
        self._loads.forget(target.id)
        self._health.forget(target.id)
        self.estimator.forget(target.id)
        self._cold.forget(target.id)
        self._limits.forget(target.id)

    def estimate_first_event(
        self, service: Service, route: str, prompt: Prompt | None, now: float
    ) -> float | None:
        """Return the least expected seconds over the targets that could be chosen, if known."""
        if self.estimator.find_times(service.name) is None:
            return None

        def find() -> tuple[Sequence[Target], Mapping[str, float]]:
            found = self._finder.find(service, set(), self._instances, admit_all, now)
            return found.eligible, found.loads

        key = RouteKey(service.name, route, self._options.zone)
        waits = self._expected_time.find_waits(service.name, find, now)
        cached = None
        if prompt is not None and prompt.parts and waits:
            by_id = {wait.target.id: wait.target for wait in waits}
            home = by_id[rank_names(prompt.affinity_key, by_id)[0]]
            cached = CachedPrompt(prompt, [*self._sources.list_holders(prompt, now), home])
        return self._expected_time.estimate_least(key, cached, waits)

    # Choice by prompt.

    def _record_arrival(self, service: Service, instances: int, now: float) -> float:
        """Record a request; return how many reach other instances before their counts arrive."""
        self._rates.setdefault(service.name, RequestRate()).record(now)
        return self._estimate_unseen(service, instances, now)

    def _estimate_unseen(self, service: Service, instances: int, now: float) -> float:
        """Return how many requests reach other instances before their counts arrive."""
        rate = self._rates.get(service.name)
        return 0.0 if rate is None else rate.compute(now) * (instances - 1) * PROPAGATION_TIME_S

    def _choose_by_prompt(
        self,
        candidates: Candidates,
        key: RouteKey,
        prompt: Prompt,
        headroom: Headroom | None,
        random: Random,
        now: float,
    ) -> Choice:
        by_id = {target.id: target for target in candidates.targets}
        order = [by_id[name] for name in rank_names(prompt.affinity_key, by_id)]
        holders = [t for t in self._sources.list_holders(prompt, now) if candidates.admits(t)]
        selected = self._select_below_bound(candidates, order, holders, now)
        target, reason, below_bound = selected or (
            self._select_last_resort(candidates, headroom, random),
            Reason.LAST_RESORT,
            [],
        )
        if self._expected_time.is_active(key, below_bound, now):
            cached = CachedPrompt(prompt, [*holders, order[0]])
            sooner = self._expected_time.select_by_prompt(
                key, cached, target, below_bound, candidates.loads, random, now
            )
            if sooner is not target:
                target, reason = sooner, Reason.SOONER
        # Another version may compute another cache from the same prompt.
        source = self._sources.find(
            prompt,
            [other for other in order if other.version == target.version],
            [holder for holder in holders if holder.version == target.version],
            target,
            lambda other: candidates.admits(other) and other.version == target.version,
            now,
        )
        is_home = reason is Reason.HOME
        unread = count_unread(prompt, target in holders, is_home, source is not None)
        return self._make_choice(candidates, key, target, reason, now, source, unread)

    def _select_below_bound(
        self,
        candidates: Candidates,
        order: list[Target],
        holders: list[Target],
        now: float,
    ) -> tuple[Target, Reason, list[Target]] | None:
        """Select a target below the load bound; None if all are at the bound.

        The list holds all targets below the bound that are as good as the selected one.
        """
        eligible_ids = {target.id for target in candidates.eligible}
        below_bound = [t for t in order if t.id in eligible_ids and candidates.is_below_bound(t)]
        healthy = [t for t in below_bound if t.id not in candidates.failing]
        warm = [t for t in healthy if not t.is_cold(now) and not t.is_registration_missing]
        for preferred in (warm, healthy, below_bound):
            if not preferred:
                continue
            holder = self._select_holder([t for t in holders if t in preferred], candidates)
            chosen = holder or preferred[0]
            if chosen is order[0]:
                return chosen, Reason.HOME, preferred
            return chosen, Reason.MOVED if holder is None else Reason.HELD, preferred
        return None

    def _compute_headroom(
        self, candidates: Candidates, is_retry: bool, now: float
    ) -> Headroom | None:
        """Return the targets' headroom; None if the request must not be rejected because of load.

        A request that was already sent to a target is never rejected because of load. Targets that
        are unreachable from here, or have asked for a pause, do not count in the mean: a fault
        elsewhere is no reason to reject requests that the remaining targets can serve.
        """
        if is_retry or not self._loads.has_counts_of_fraction(MIN_KNOWN_PEERS_FRACTION, now):
            return None
        loads = [candidates.loads[target.id] for target in candidates.eligible]
        counted = [
            load
            for target, load in candidates.loads.items()
            if not self._health.is_unreachable(target) and self._pauses.may_send(target, now)
        ]
        return Headroom(self._options.load_factor, loads, counted)

    def _select_last_resort(
        self, candidates: Candidates, headroom: Headroom | None, random: Random
    ) -> Target:
        """Select a target although all are at the load bound."""
        if headroom is not None:
            return candidates.eligible[headroom.select(random)]
        return min(candidates.eligible, key=lambda target: candidates.loads[target.id])

    def _select_holder(self, holders: list[Target], candidates: Candidates) -> Target | None:
        """Select a target that has a prompt cached: the latest one, unless its load is too high.

        A prompt that all callers use fills one target after another up to the bound. Among the
        targets that have it cached, requests are divided by load without processing it again.
        """
        if not holders:
            return None
        if candidates.loads[holders[0].id] <= candidates.mean + BALANCED_SLACK:
            return holders[0]
        return min(holders, key=lambda target: candidates.loads[target.id])

    # Choice by load.

    def _choose_by_load(
        self, candidates: Candidates, key: RouteKey, random: Random, now: float
    ) -> Choice:
        healthy = [
            t for t in candidates.eligible if t.id not in candidates.failing
        ] or candidates.eligible

        def compute_key(target: Target) -> tuple[bool, float, float]:
            zone_advantage = ZONE_ADVANTAGE if target.zone == self._options.zone else 0.0
            return (
                target.is_cold(now) or target.is_registration_missing,
                candidates.loads[target.id] - zone_advantage,
                random.random(),
            )

        target = self._select_soonest(candidates, healthy, key, random, now)
        reason = Reason.LEAST_LOADED if target is None else Reason.SOONER
        target = target or min(healthy, key=compute_key)
        return self._make_choice(candidates, key, target, reason, now)

    def _select_soonest(
        self,
        candidates: Candidates,
        healthy: list[Target],
        key: RouteKey,
        random: Random,
        now: float,
    ) -> Target | None:
        """Select the target with the least expected time; None if targets report no pace."""
        if not self._expected_time.is_active(key, healthy, now):
            return None
        warm = [t for t in healthy if not t.is_cold(now) and not t.is_registration_missing]
        usable = [target for target in warm if candidates.is_below_bound(target)]
        return self._expected_time.select_by_load(key, usable, candidates.loads, random, now)

    def _make_choice(
        self,
        candidates: Candidates,
        key: RouteKey,
        target: Target,
        reason: Reason,
        now: float,
        source: Target | None = None,
        unread: UnreadTokens = NO_PROMPT,
    ) -> Choice:
        load = candidates.loads[target.id]
        return Choice(
            target,
            reason,
            round(load, 2),
            self._loads.count_own(target.id),
            round(candidates.mean, 2),
            self._loads.compute_report_age(target.id, now),
            target.is_cold(now),
            source,
            unread,
            self._expected_time.estimate(key, target, load, unread.tokens, now),
            self._loads.capacity.find_pace(target.id, now),
        )
