"""Times that follow from what a deployment's settings say, worked out in one place.

What is in force has to be known within the shorter of two bounds: that on configurations and that
on targets that leave. Each time below is a part of a bound, so that one instance's chain of
waiting, finding out and reading anew fits into it.
"""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core.directory import DirectoryOptions
from rhubarbbend.core.placement import SourceOptions
from rhubarbbend.gateway._settings import GatewaySettings

# What an instance knows is too old after this part of the bound: reading the store once it is
# passed takes up to 0.4 s, and applying the change a part of that.
AGE_PART: Final = 0.65
# A wait at the store of an instance at which others wait: it has to prove to them within the age
# that the store still answers it.
READER_PART: Final = 0.35
# A target whose registration lapsed while the store was away may have left; it is used for this
# part of the time for which it would then go on serving.
LAPSE_PART: Final = 0.85
# Heartbeats in which a target of a zone that returns says whether it has turned cold.
CAUTION_BEATS: Final = 1.7
# Heartbeats within which a target that has left as planned has answered somebody; one that crashed
# has been silent for three when its registration goes.
ALIVE_BEATS: Final = 2.5


class Timings(msgspec.Struct, frozen=True):
    """Times in seconds.

    `max_age` is for how long it may be unknown that the store holds nothing newer; `table_wait` how
    long a call waits for changes, which is also the check that its connection still carries answers
    (one can go silent for good while others work); `reader_wait` the same for the configuration at
    an instance at which others wait.
    """

    max_age: float
    table_wait: float
    reader_wait: float


def derive_timings(settings: GatewaySettings) -> Timings:
    """Work out the times of following the store."""
    bound = min(settings.config_time, settings.drain_time)
    return Timings(AGE_PART * bound, bound, READER_PART * bound)


def derive_directory_options(settings: GatewaySettings) -> DirectoryOptions:
    """Work out for how long registrations that are missing or uncertain hold."""
    grace = LAPSE_PART * settings.drain_time
    return DirectoryOptions(grace, CAUTION_BEATS * settings.heartbeat)


def derive_source_options(settings: GatewaySettings) -> SourceOptions:
    """Work out for how long what targets hold may be fetched."""
    alive = ALIVE_BEATS * settings.heartbeat
    return SourceOptions(settings.evacuation_grace, settings.drain_time, alive)
