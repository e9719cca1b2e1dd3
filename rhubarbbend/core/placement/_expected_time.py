"""Chooses among targets by the expected time until the first event of a request.

Kind of load: targets that work at an uneven pace and report it. Of the targets that may get the
request a few are drawn at random and the one with the least expected time is chosen. All instances
know the same reports; without the draw they would all choose the same target.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Final

import msgspec

from rhubarbbend.core.capacity import FirstEventEstimator, UnreadTokens
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement._prompts import Prompt
from rhubarbbend.core.placement._sources import MIN_FETCH_TOKENS

# The number of targets drawn at random, of this instance's zone and of others. A target then gets
# at most this many times its part of the requests while it is the best one.
DRAWN_TARGETS: Final = 3
# Expected times that differ by less than this fraction of the least one count as the same, and the
# target with the lower load is chosen.
TIE_FRACTION: Final = 0.05
# A target of another zone is chosen only if it is sooner by the time of two crossings and this
# fraction of the expected time.
CROSSING_COST_S: Final = 0.007
CROSSING_MARGIN: Final = 0.1
# A prompt is moved from its home or holder only if the other target is sooner by this fraction of
# the expected time.
MOVE_MARGIN: Final = 0.2
# A prompt stays where a first event is expected within this fraction of the objective: its caller
# gains nothing from a move then, and another target would have to read the prompt.
IN_TIME_FRACTION: Final = 0.7
# Prefilling tokens again delays other requests of the target. That delay counts at this fraction of
# the time that the prefill takes.
PREFILL_COST_FRACTION: Final = 0.5
# Fetching a token from another engine takes this fraction of the time of its prefill.
FETCH_FRACTION: Final = 1.0 / 3.0
# The waits at all targets are estimated again after this time: to add them up costs more than a
# decision, and they change little meanwhile.
WAITS_TTL_S: Final = 0.02


def count_unread(prompt: Prompt, is_held: bool, is_home: bool, has_source: bool) -> UnreadTokens:
    """Return what a target has to read of a prompt; a fetched token counts as a part of one.

    `is_held` is whether the target is known to have the shared parts cached, `has_source` whether
    it can fetch them. The home is taken to have them too: other instances send the prompt there and
    do not notify this one.
    """
    own = float(prompt.parts[-1].tokens) if prompt.parts else 0.0
    if is_held or is_home:
        return UnreadTokens(own, True)
    if has_source and prompt.shared_tokens >= MIN_FETCH_TOKENS:
        return UnreadTokens(own + FETCH_FRACTION * prompt.shared_tokens)
    return UnreadTokens(own + prompt.shared_tokens, not has_source)


class RouteKey(msgspec.Struct, frozen=True):
    """The names of a request's service and route, and the zone of this instance.

    `objective` is the route's latency objective in seconds, 0 if it is unknown.
    """

    service: str
    route: str
    zone: str
    objective: float = 0.0


class CachedPrompt(msgspec.Struct, frozen=True):
    """A prompt with the targets that probably have its shared parts cached."""

    prompt: Prompt
    targets: Sequence[Target]

    def count_unread(self, target: Target | None) -> float:
        """Return the tokens that a target has to read; others than these fetch the rest."""
        return count_unread(self.prompt, target in self.targets, False, True).tokens


class TargetWait(msgspec.Struct, frozen=True):
    """The seconds, at the usual pace, until a target begins to read a request, and its pace."""

    target: Target
    seconds: float
    pace: float


class ExpectedTimeSelector:
    """Selects targets by expected time. Invariant: only given targets are selected."""

    def __init__(self, estimator: FirstEventEstimator) -> None:
        self._estimator = estimator
        # The waits at the targets of each service, and when they were estimated.
        self._waits: dict[str, tuple[float, list[TargetWait]]] = {}

    def is_active(self, key: RouteKey, targets: Sequence[Target], now: float) -> bool:
        """Return whether targets report their pace and times of the service are known."""
        if not self._estimator.capacity.has_pace((target.id for target in targets), now):
            return False
        return self._estimator.find_times(key.service) is not None

    def estimate(
        self, key: RouteKey, target: Target, held: float, tokens: float, now: float
    ) -> float | None:
        """Return the expected seconds until the first event; None without evidence."""
        return self._estimator.estimate(key.service, key.route, target, held, tokens, now)

    def find_waits(
        self,
        service: str,
        find: Callable[[], tuple[Sequence[Target], Mapping[str, float]]],
        now: float,
    ) -> list[TargetWait]:
        """Return the wait at each target that may get a request, at most `WAITS_TTL_S` old.

        `find` returns these targets and the loads; it is called only if the waits are older.
        """
        known_at, waits = self._waits.get(service, (-math.inf, []))
        times = self._estimator.find_times(service)
        if times is None or 0.0 <= now - known_at < WAITS_TTL_S:
            return waits
        estimator = self._estimator
        targets, loads = find()
        waits = [
            TargetWait(
                target,
                estimator.estimate_wait(times, target, loads[target.id]),
                estimator.capacity.estimate_pace(target.id, now),
            )
            for target in targets
        ]
        self._waits[service] = now, waits
        return waits

    def estimate_least(
        self, key: RouteKey, cached: CachedPrompt | None, waits: Sequence[TargetWait]
    ) -> float | None:
        """Return the least expected seconds over the targets; None without evidence or targets."""
        times = self._estimator.find_times(key.service)
        if times is None or not waits:
            return None
        elsewhere = times.estimate_work(key.route, 0.0)
        if cached is not None:
            elsewhere = times.estimate_work(key.route, cached.count_unread(None))
        least = min((wait.seconds + elsewhere) * wait.pace for wait in waits)
        if cached is None:
            return least
        for wait in waits:
            if wait.target in cached.targets:
                tokens = cached.count_unread(wait.target)
                work = times.estimate_work(key.route, tokens)
                least = min(least, (wait.seconds + work) * wait.pace)
        return least

    def select_by_load(
        self,
        key: RouteKey,
        targets: Sequence[Target],
        loads: Mapping[str, float],
        random: Random,
        now: float,
    ) -> Target | None:
        """Select a target for a request without a prompt; None if there are no targets."""
        near = [target for target in targets if target.zone == key.zone]
        far = [target for target in targets if target.zone != key.zone]
        best_near = self._select_soonest(key, _draw(near, random), loads, now)
        best_far = self._select_soonest(key, _draw(far, random), loads, now)
        if best_near is None or best_far is None:
            found = best_near or best_far
            return None if found is None else found[1]
        needed = CROSSING_COST_S + CROSSING_MARGIN * best_near[0]
        return best_far[1] if best_far[0] + needed < best_near[0] else best_near[1]

    def _select_soonest(
        self, key: RouteKey, targets: Sequence[Target], loads: Mapping[str, float], now: float
    ) -> tuple[float, Target] | None:
        """Return the expected seconds and the target that is soonest; None without targets."""
        if not targets:
            return None
        expected = [(self.estimate(key, t, loads[t.id], 0.0, now) or 0.0, t) for t in targets]
        limit = min(seconds for seconds, _ in expected) * (1.0 + TIE_FRACTION)
        tied = [item for item in expected if item[0] <= limit]
        return min(tied, key=lambda item: loads[item[1].id])

    def select_by_prompt(
        self,
        key: RouteKey,
        cached: CachedPrompt,
        preferred: Target,
        targets: Sequence[Target],
        loads: Mapping[str, float],
        random: Random,
        now: float,
    ) -> Target:
        """Return the target for a prompt: the `preferred` one unless another is much sooner.

        It also stays if it is expected in time there. `targets` are those below the load bound.
        """
        times = self._estimator.find_times(key.service)
        per_token = None if times is None else times.seconds_per_token
        if per_token is None:
            # What a move would cost is unknown.
            return preferred

        def compute_cost(target: Target) -> float:
            tokens = cached.count_unread(target)
            expected = self.estimate(key, target, loads[target.id], tokens, now) or 0.0
            expected += PREFILL_COST_FRACTION * per_token * tokens
            return expected if target.zone == key.zone else expected + CROSSING_COST_S

        tokens = cached.count_unread(preferred)
        expected = self.estimate(key, preferred, loads[preferred.id], tokens, now) or 0.0
        if expected < IN_TIME_FRACTION * key.objective:
            return preferred
        drawn = {target.id: target for target in _draw(targets, random)}
        drawn.update((target.id, target) for target in cached.targets if target in targets)
        drawn.pop(preferred.id, None)
        best = min(((compute_cost(t), t.id) for t in drawn.values()), default=None)
        if best is None or best[0] >= (1.0 - MOVE_MARGIN) * compute_cost(preferred):
            return preferred
        return drawn[best[1]]


def _draw(targets: Sequence[Target], random: Random) -> Sequence[Target]:
    """Draw a few targets at random; of few targets only some, so that others remain."""
    count = min(DRAWN_TARGETS, max(2, len(targets) // 2))
    return targets if len(targets) <= count else random.sample(targets, count)
