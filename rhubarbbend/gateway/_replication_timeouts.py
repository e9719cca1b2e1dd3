"""Derives time-outs and other options from the settings of a deployment.

An instance must learn of a change in the store within the shorter of two bounds of the settings:
`config_time` for a new configuration and `drain_time` for a target that leaves. Each time below is
a fraction of such a bound, so that waiting for a change, noticing that the wait failed and reading
the store again fit into the bound one after the other.
"""

from __future__ import annotations

from typing import Final

import msgspec

from rhubarbbend.core.directory import DirectoryOptions
from rhubarbbend.core.placement import SourceOptions
from rhubarbbend.gateway._settings import GatewaySettings

# What an instance knows counts as too old after this fraction of the bound. The store is read then,
# which takes up to 0.4 s; applying the change takes a fraction of that.
MAX_AGE_FRACTION: Final = 0.65
# Fraction of the bound for which the zone's reader, the instance from which others get changes,
# waits for a change at the store. It has to prove to them within `max_staleness_s` that the store
# still answers it.
READER_WAIT_FRACTION: Final = 0.35
# A target whose registration expired while the store was unavailable may have left. It is used for
# this fraction of `drain_time`, the time for which a leaving target continues to serve.
MISSING_REGISTRATION_GRACE_FRACTION: Final = 0.85
# Number of heartbeat intervals within which a target reports whether it has become cold, after its
# zone has returned to service.
ASSUMED_COLD_TIME_FACTOR: Final = 1.7
# Number of heartbeat intervals within which a target that left as planned has answered a request
# before its registration is removed; one that crashed has been silent for three by then.
MAX_RESPONSE_AGE_FACTOR: Final = 2.5


class ReplicationTimeouts(msgspec.Struct, frozen=True):
    """Time-outs for following the tables of the store, in seconds.

    `max_staleness_s` is the longest time for which it may be unknown whether the store holds
    anything newer. `watch_timeout_s` is how long a call to the store waits for changes; its return
    also shows that the connection still works, since one connection can become silent for good
    while others work. `reader_watch_timeout_s` replaces it for the configuration table at the
    zone's reader, the instance from which other instances of the zone get changes.
    """

    max_staleness_s: float
    watch_timeout_s: float
    reader_watch_timeout_s: float


def derive_replication_timeouts(settings: GatewaySettings) -> ReplicationTimeouts:
    """Return the time-outs for following the tables of the store."""
    bound = min(settings.config_time, settings.drain_time)
    return ReplicationTimeouts(MAX_AGE_FRACTION * bound, bound, READER_WAIT_FRACTION * bound)


def derive_directory_options(settings: GatewaySettings) -> DirectoryOptions:
    """Return how long the uncertain state of a target is assumed."""
    grace = MISSING_REGISTRATION_GRACE_FRACTION * settings.drain_time
    return DirectoryOptions(grace, ASSUMED_COLD_TIME_FACTOR * settings.heartbeat)


def derive_source_options(settings: GatewaySettings) -> SourceOptions:
    """Return how long cached prompts may be fetched from targets that leave."""
    max_response_age = MAX_RESPONSE_AGE_FACTOR * settings.heartbeat
    return SourceOptions(settings.evacuation_grace, settings.drain_time, max_response_age)
