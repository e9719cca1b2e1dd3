"""The choice of a target: its options, its result, and the reason for it."""

from __future__ import annotations

import enum

import msgspec

from rhubarbbend.core.capacity import NO_PROMPT, UnreadTokens
from rhubarbbend.core.directory import Target
from rhubarbbend.core.placement._sources import SourceOptions


class Reason(enum.Enum):
    """Why a target was chosen; counted and logged."""

    # The prompt was sent to this target before, and it is not the home.
    HELD = "held"
    HOME = "home"
    # The first suitable target after the home in the prompt's order.
    MOVED = "moved"
    # The request has no prompt.
    LEAST_LOADED = "least_loaded"
    # All eligible targets are at the load bound.
    LAST_RESORT = "last_resort"
    # The first event is expected from this target sooner than from the home or a holder.
    SOONER = "sooner"


class PlacementOptions(msgspec.Struct, frozen=True):
    """Options of the placement.

    `load_factor`: no target should hold more than this many times the mean load of its service.

    `sources`: how long prompts may still be fetched from a target that leaves.
    """

    zone: str
    load_factor: float = 2.0
    sources: SourceOptions = SourceOptions()


class Choice(msgspec.Struct, frozen=True):
    """The chosen target, the reason, and the values that the choice rests on.

    Loads are numbers of requests, ages are in seconds. `load` is the target's estimated load, of
    which `own` requests are this instance's; `mean` is the mean load of the service. `source` is a
    target that may have the prompt's shared parts cached. `unread` is what the target has to read
    of the prompt, `estimate` the seconds expected until the first event, None without evidence, and
    `pace` the target's pace, None if it does not report it.
    """

    target: Target
    reason: Reason
    load: float
    own: int
    mean: float
    report_age: float | None
    cold: bool
    source: Target | None = None
    unread: UnreadTokens = NO_PROMPT
    estimate: float | None = None
    pace: float | None = None
