"""Finds the target from which the shared parts of a prompt can be fetched.

Fetching parts that another engine has cached takes a fraction of the time of processing them again,
and leaves the rest of that time to the other requests on the engine.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from rhubarbbend.core.directory import Target, TargetRegistry
from rhubarbbend.core.placement._health import HealthTracker
from rhubarbbend.core.placement._loads import LoadTracker
from rhubarbbend.core.placement._prompt_locations import PromptLocationTracker
from rhubarbbend.core.placement._prompts import Prompt

# Fetching fewer shared tokens than this takes longer than processing them.
MIN_FETCH_TOKENS: Final = 256
# A source is named even for the home of a prompt with no known holder if the home registered within
# this time, or if this instance has tracked the prompts' targets for no longer than this.
HOLDER_LEARNING_TIME_S: Final = 60.0
# Only this fraction of the grace period of a zone that is taken out of service is used, since the
# notice of it reached this instance with a delay.
GRACE_FRACTION: Final = 0.7


class SourceOptions(msgspec.Struct, frozen=True):
    """How long a leaving target's prompts may still be fetched, in seconds.

    `evacuation_grace` counts from when its zone was taken out of service, `drain_time` from when
    its registration was removed. A target that responded within `max_response_age_s` before that
    has left as planned and still runs; one that crashed has not responded for longer.
    """

    evacuation_grace: float = 0.0
    drain_time: float = 0.0
    max_response_age_s: float = 3.0


class _DepartedTarget(msgspec.Struct, frozen=True):
    """A target that has left and is expected to run until `until`."""

    target: Target
    until: float


class SourceFinder:
    """Finds the targets that have a prompt cached.

    Invariant: a target that is known to have stopped is never returned.
    """

    def __init__(
        self,
        options: SourceOptions,
        registry: TargetRegistry,
        loads: LoadTracker,
        health: HealthTracker,
        locations: PromptLocationTracker,
    ) -> None:
        self._options = options
        self._registry = registry
        self._loads = loads
        self._health = health
        self._locations = locations
        self._departed: dict[str, _DepartedTarget] = {}
        # Since when this instance tracks the prompts' targets: the time of its first request.
        self._tracking_since: float | None = None

    def set_options(self, options: SourceOptions) -> None:
        """Replace the options."""
        self._options = options

    def record_departure(self, target: Target, now: float) -> None:
        """Keep a target whose registration was removed as a source, if it still runs for a while.

        Callers send its prompts again while it drains. If it were dropped at once, the prompts
        would be processed again although they could still be fetched.
        """
        self._departed = {i: d for i, d in self._departed.items() if now < d.until}
        age = self._loads.compute_report_age(target.id, now)
        if age is not None and age <= self._options.max_response_age_s:
            self._departed[target.id] = _DepartedTarget(target, now + self._options.drain_time)

    def list_holders(self, prompt: Prompt, now: float) -> list[Target]:
        """Return the targets that a prompt was sent to since they started, the latest first."""
        found = self._locations.list_targets(prompt.affinity_key, now)
        targets = [(self._registry.find(target), at) for target, at in found]
        return [t for t, at in targets if t is not None and at >= t.known_since]

    def find(
        self,
        prompt: Prompt,
        order: Sequence[Target],
        holders: Sequence[Target],
        target: Target,
        admits: Callable[[Target], bool],
        now: float,
    ) -> Target | None:
        """Return a target that probably has the shared parts that `target` lacks.

        `order` is the rendezvous order of the prompt. The known holders come first, then targets
        that left after the prompt was sent to them, then the other targets in `order`. `holders`
        and `order` hold only targets that `admits` admits.

        After a restart of all instances, none knows which prompts were not at their home. Most of
        these are at the next target in the order, since they were sent there while the home was
        unavailable. A wrong guess costs one query between two engines.
        """
        if self._tracking_since is None:
            self._tracking_since = now
        if prompt.shared_tokens < MIN_FETCH_TOKENS or target in holders:
            return None
        departed = [t for t in self._list_departed(prompt, now) if admits(t)]
        known_for = now - max(target.known_since, self._tracking_since)
        if (
            not holders
            and not departed
            and target is order[0]
            and known_for > HOLDER_LEARNING_TIME_S
        ):
            return None
        candidates = [
            t for t in (*holders, *order) if t is not target and self._is_likely_holder(t, now)
        ]
        known = [t for t in candidates if t in holders]
        return next(iter([*known, *departed, *candidates]), None)

    def _list_departed(self, prompt: Prompt, now: float) -> list[Target]:
        found = self._locations.list_targets(prompt.affinity_key, now)
        departed = [self._departed.get(target) for target, _ in found]
        return [
            d.target
            for d in departed
            if d is not None and now < d.until and self._may_fetch_from(d.target, now)
        ]

    def _is_likely_holder(self, target: Target, now: float) -> bool:
        """Whether a registered target can be named as a source of a prompt."""
        if self._health.is_blocked(target.id, now) or target.is_cold(now):
            return False
        return self._may_fetch_from(target, now)

    def _may_fetch_from(self, target: Target, now: float) -> bool:
        """Whether prompts may be fetched from a target's zone.

        Nothing may be fetched from a zone that is out of service, except within a grace period. In
        that time the other targets take over its prompts instead of processing them all again.
        """
        out_since = self._registry.find_out_of_service_since(target.zone)
        return (
            out_since is None or now - out_since <= GRACE_FRACTION * self._options.evacuation_grace
        )
