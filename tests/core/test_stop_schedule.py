"""Tests of which requests a planned stop leaves enough time for."""

from __future__ import annotations

import pytest

from rhubarbbend.core.stop_schedule import StopSchedule

STOP = StopSchedule(began_at=100.0, late_from=102.6, ends_at=107.4)


# Guards against a late request whose answer the end of the process cuts, and against the refusal
# of one that still has enough time, or that the load balancer may still send.
@pytest.mark.parametrize(
    ("arrived_at", "deadline", "leaves_time"),
    [
        (100.0, 160.0, True),
        (102.5, 114.5, True),
        (102.6, 114.6, False),
        (103.7, 107.4, True),
        (103.7, 107.5, False),
        (107.5, 107.6, False),
    ],
)
def test_a_late_request_is_accepted_only_if_it_ends_before_the_stop(
    arrived_at: float, deadline: float, leaves_time: bool
) -> None:
    assert STOP.leaves_time(arrived_at, deadline) is leaves_time
