"""What follows from the bounds in a deployment's settings."""

from __future__ import annotations

import msgspec
import pytest

from rhubarbbend.gateway import GatewaySettings
from rhubarbbend.gateway._timings import (
    derive_directory_options,
    derive_source_options,
    derive_timings,
)

SETTINGS = GatewaySettings("i", "z", ("h", 1), ("h", 2), ("h", 3))
# The longest that the store takes to answer on a slow day, in seconds.
SLOW_ANSWER = 0.4


@pytest.mark.parametrize(
    ("drain", "config"), [(2.0, 2.0), (3.0, 3.0), (1.0, 3.0), (4.0, 1.5), (10.0, 10.0)]
)
def test_what_an_instance_does_about_old_knowledge_fits_into_the_bounds(
    drain: float, config: float
) -> None:
    """A deployment gives targets another time to leave than others do.

    An instance whose reader falls silent notices that, reads the store and applies what it finds;
    with times made for longer bounds it would send work to a target that has left.
    """
    settings = msgspec.structs.replace(SETTINGS, drain_time=drain, config_time=config)
    timings = derive_timings(settings)
    bound = min(drain, config)
    assert timings.max_age <= 0.7 * bound
    assert timings.table_wait <= bound
    assert timings.reader_wait < timings.max_age
    if bound >= 1.5:
        assert timings.reader_wait + SLOW_ANSWER <= timings.max_age
        assert timings.max_age + SLOW_ANSWER < bound
    assert derive_directory_options(settings).missing_registration_grace_s < drain


def test_a_target_that_crashed_is_told_from_one_that_left_by_its_heartbeats() -> None:
    # A registration lapses after three silent heartbeats, so evidence must be fresher than that.
    settings = msgspec.structs.replace(SETTINGS, heartbeat=5.0)
    assert derive_source_options(settings).max_response_age_s < 3 * 5.0
    assert derive_directory_options(settings).assumed_cold_time_s > 5.0
