"""Placement: chooses the target of each request, at the instance that received the request.

The choice rests on this instance's own view: its in-flight requests and those that other instances
report, the load reports of targets, and the targets' recent responses.
"""

from rhubarbbend.core.placement._health import HealthBook
from rhubarbbend.core.placement._in_flight import (
    NUMBERS,
    InFlight,
    Scope,
    Teller,
    can_be,
    compute_tag,
)
from rhubarbbend.core.placement._loads import LoadBook, TargetLoad
from rhubarbbend.core.placement._placement import (
    Choice,
    Placement,
    PlacementOptions,
    Reason,
    compute_most_open,
)
from rhubarbbend.core.placement._places import Place, PromptLocationTracker
from rhubarbbend.core.placement._prompts import Prompt, PromptPart
from rhubarbbend.core.placement._sources import SourceOptions

__all__ = [
    "NUMBERS",
    "Choice",
    "HealthBook",
    "InFlight",
    "LoadBook",
    "Place",
    "Placement",
    "PlacementOptions",
    "Prompt",
    "PromptLocationTracker",
    "PromptPart",
    "Reason",
    "Scope",
    "SourceOptions",
    "TargetLoad",
    "Teller",
    "can_be",
    "compute_most_open",
    "compute_tag",
]
