"""Placement: chooses the target of each request, at the instance that received the request.

The choice rests on this instance's own view: its in-flight requests and those that other instances
report, the load reports of targets, and the targets' recent responses.
"""

from rhubarbbend.core._pauses import MAX_PAUSE_RETURN_FACTOR, PauseTracker
from rhubarbbend.core.placement._brittle import BrittleNotice, BrittleTracker
from rhubarbbend.core.placement._candidates import Rejection, compute_max_connections
from rhubarbbend.core.placement._choices import Choice, PlacementOptions, Reason
from rhubarbbend.core.placement._connection_limits import (
    ConnectionLimitTracker,
    FullTargetNotice,
)
from rhubarbbend.core.placement._health import HealthTracker, TargetOutcomes
from rhubarbbend.core.placement._in_flight import (
    SEQUENCE_MODULUS,
    CountScope,
    InFlightPublisher,
    InFlightUpdate,
    compute_target_hash,
    is_plausible,
)
from rhubarbbend.core.placement._loads import LoadTracker, TargetLoad
from rhubarbbend.core.placement._placement import Placement
from rhubarbbend.core.placement._prompt_locations import PromptLocation, PromptLocationTracker
from rhubarbbend.core.placement._prompts import Prompt, PromptPart
from rhubarbbend.core.placement._sources import SourceOptions

__all__ = [
    "BrittleNotice",
    "BrittleTracker",
    "MAX_PAUSE_RETURN_FACTOR",
    "SEQUENCE_MODULUS",
    "Choice",
    "ConnectionLimitTracker",
    "FullTargetNotice",
    "HealthTracker",
    "InFlightUpdate",
    "LoadTracker",
    "PauseTracker",
    "PromptLocation",
    "Placement",
    "PlacementOptions",
    "Prompt",
    "PromptLocationTracker",
    "PromptPart",
    "Reason",
    "Rejection",
    "CountScope",
    "SourceOptions",
    "TargetLoad",
    "TargetOutcomes",
    "InFlightPublisher",
    "is_plausible",
    "compute_max_connections",
    "compute_target_hash",
]
