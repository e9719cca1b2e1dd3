"""Where the shared parts of a prompt can be fetched from.

Fetching what another engine holds takes a fraction of the time of reading it again, and leaves that
time to everyone else on the engine that would have read it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from rhubarbbend.core.directory import Directory, Target
from rhubarbbend.core.placement._health import HealthBook
from rhubarbbend.core.placement._loads import LoadBook
from rhubarbbend.core.placement._places import PlaceBook
from rhubarbbend.core.placement._prompts import Prompt

# Fetching fewer shared tokens than this takes longer than reading them.
LEAST_FETCH_TOKENS: Final = 256
# A target that registered within this many seconds is sent what others hold of its prompts, and so
# is every home by an instance that has not known for longer where prompts go.
YOUNG: Final = 60.0
# The grace of a zone that is taken out is used up to this part, since the word of it took time.
GRACE_PART: Final = 0.7


class SourceOptions(msgspec.Struct, frozen=True):
    """For how long what a target holds may still be fetched, in seconds.

    `evacuation_grace` counts from when its zone was taken out of service, `drain_time` from when
    its registration went. A target that answered within `alive` before that has left as planned
    and still runs; one that crashed has been silent for longer.
    """

    evacuation_grace: float = 0.0
    drain_time: float = 0.0
    alive: float = 3.0


class _Departed(msgspec.Struct, frozen=True):
    """A target that has left and runs until some time."""

    target: Target
    until: float


class Sources:
    """Finds who holds a prompt. Invariant: nobody is named that is known to be gone."""

    def __init__(
        self,
        options: SourceOptions,
        directory: Directory,
        loads: LoadBook,
        health: HealthBook,
        places: PlaceBook,
    ) -> None:
        self._options = options
        self._directory = directory
        self._loads = loads
        self._health = health
        self._places = places
        self._departed: dict[str, _Departed] = {}
        # Since when this instance knows where prompts go: its first request.
        self._knows_since: float | None = None

    def set_options(self, options: SourceOptions) -> None:
        """Go by other options from now on."""
        self._options = options

    def note_departure(self, target: Target, now: float) -> None:
        """Remember a target whose registration has gone, if it still runs for a while.

        Its prompts are asked for again while it drains; who forgets it at once has them read
        again although they could still be fetched.
        """
        self._departed = {i: d for i, d in self._departed.items() if now < d.until}
        age = self._loads.read_age(target.id, now)
        if age is not None and age <= self._options.alive:
            self._departed[target.id] = _Departed(target, now + self._options.drain_time)

    def list_holders(self, prompt: Prompt, now: float) -> list[Target]:
        """List the targets that a prompt was sent to since they started, first the latest."""
        found = self._places.list_targets(prompt.affinity_key, now)
        targets = [(self._directory.find(target), at) for target, at in found]
        return [t for t, at in targets if t is not None and at >= t.known_since]

    def find(
        self,
        prompt: Prompt,
        order: Sequence[Target],
        holders: Sequence[Target],
        target: Target,
        now: float,
    ) -> Target | None:
        """Find a target that probably holds the shared parts which `target` lacks.

        `order` is the rendezvous order of the prompt. Who holds it by the book goes first, then
        who has just left with it, then who would have been its home.

        After a start of all instances nobody remembers the prompts that were not at home. Most of
        them lie at the next target in the order, since they went there when the home was away; a
        wrong guess costs a question between two engines.
        """
        if self._knows_since is None:
            self._knows_since = now
        if prompt.shared_tokens < LEAST_FETCH_TOKENS or target in holders:
            return None
        departed = self._list_departed(prompt, now)
        known_for = now - max(target.known_since, self._knows_since)
        if not holders and not departed and target is order[0] and known_for > YOUNG:
            return None
        likely = [t for t in (*holders, *order) if t is not target and self._may_hold(t, now)]
        known = [t for t in likely if t in holders]
        return next(iter([*known, *departed, *likely]), None)

    def _list_departed(self, prompt: Prompt, now: float) -> list[Target]:
        found = self._places.list_targets(prompt.affinity_key, now)
        departed = [self._departed.get(target) for target, _ in found]
        return [
            d.target
            for d in departed
            if d is not None and now < d.until and self._may_give(d.target, now)
        ]

    def _may_hold(self, target: Target, now: float) -> bool:
        """Whether a target may be named as the place of a prompt."""
        if self._health.is_down(target.id, now) or target.is_cold(now):
            return False
        return self._may_give(target, now)

    def _may_give(self, target: Target, now: float) -> bool:
        """Whether operators let a target's zone give what it holds.

        They want nothing more sent to a zone that is out, within a grace; in it the others take
        over what its targets hold, in place of reading it all again.
        """
        out_at = self._directory.find_exit(target.zone)
        return out_at is None or now - out_at <= GRACE_PART * self._options.evacuation_grace
