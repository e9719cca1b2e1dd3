"""Tests of the decision to hand a request to another instance."""

from __future__ import annotations

import pytest

from rhubarbbend.core.detours import needs_detour
from rhubarbbend.core.placement import Rejection

UNREACHABLE, LOAD, TRIED, PAUSED, CONNECTIONS, COLD = (
    Rejection.UNREACHABLE,
    Rejection.LOAD,
    Rejection.TRIED,
    Rejection.PAUSED,
    Rejection.CONNECTIONS,
    Rejection.COLD,
)


# Guards against sending what a full service refuses round the fleet, and against refusing what
# another instance could send.
@pytest.mark.parametrize(
    ("rejections", "connect_failures", "expected"),
    [
        ({UNREACHABLE: 9}, 0, True),
        ({UNREACHABLE: 1, TRIED: 2}, 2, True),
        ({UNREACHABLE: 5, LOAD: 4}, 0, True),
        ({UNREACHABLE: 1, LOAD: 8}, 1, False),
        ({UNREACHABLE: 1, TRIED: 2}, 0, False),
        ({LOAD: 9}, 0, False),
        ({PAUSED: 3}, 0, False),
        ({TRIED: 1}, 1, True),
        ({}, 0, False),
        ({CONNECTIONS: 3}, 0, True),
        ({CONNECTIONS: 2, LOAD: 1}, 0, True),
        ({CONNECTIONS: 1, UNREACHABLE: 1, LOAD: 2}, 0, True),
        ({CONNECTIONS: 1, LOAD: 8}, 0, False),
        ({COLD: 3}, 0, False),
    ],
)
def test_requests_are_handed_on_if_most_targets_are_out_of_reach(
    rejections: dict[Rejection, int], connect_failures: int, expected: bool
) -> None:
    assert needs_detour(rejections, connect_failures) is expected
