"""Tests of the time-outs and options that are derived from a deployment's settings."""

from __future__ import annotations

import msgspec
import pytest

from rhubarbbend.gateway import GatewaySettings
from rhubarbbend.gateway._replication_timeouts import (
    derive_directory_options,
    derive_replication_timeouts,
    derive_source_options,
)

SETTINGS = GatewaySettings("i", "z", ("h", 1), ("h", 2), ("h", 3))
# The longest time that a slow store takes to answer.
SLOW_STORE_ANSWER_S = 0.4


@pytest.mark.parametrize(
    ("drain", "config"), [(2.0, 2.0), (3.0, 3.0), (1.0, 3.0), (4.0, 1.5), (10.0, 10.0)]
)
def test_an_instance_refreshes_stale_data_within_the_bounds(drain: float, config: float) -> None:
    """Deployments differ in the time that they give targets to leave.

    An instance whose zone's reader becomes silent must notice that, read the store and apply what
    it finds within the bounds. With time-outs made for longer bounds, it would send requests to a
    target that has left.
    """
    settings = msgspec.structs.replace(SETTINGS, drain_time=drain, config_time=config)
    timeouts = derive_replication_timeouts(settings)
    bound = min(drain, config)
    assert timeouts.max_staleness_s <= 0.7 * bound
    assert timeouts.watch_timeout_s <= bound
    assert timeouts.reader_watch_timeout_s < timeouts.max_staleness_s
    if bound >= 1.5:
        assert timeouts.reader_watch_timeout_s + SLOW_STORE_ANSWER_S <= timeouts.max_staleness_s
        assert timeouts.max_staleness_s + SLOW_STORE_ANSWER_S < bound
    assert derive_directory_options(settings).missing_registration_grace_s < drain


def test_a_crashed_target_is_distinguished_from_one_that_left_by_its_heartbeats() -> None:
    # A registration expires after three missed heartbeats, so a response counts as evidence of a
    # planned departure only if it is more recent than that.
    settings = msgspec.structs.replace(SETTINGS, heartbeat=5.0)
    assert derive_source_options(settings).max_response_age_s < 3 * 5.0
    assert derive_directory_options(settings).assumed_cold_time_s > 5.0
