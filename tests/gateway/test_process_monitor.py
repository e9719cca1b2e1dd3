"""Tests of what is recorded of a late event loop and of callers' connections."""

from __future__ import annotations

import pytest

from rhubarbbend import codes
from rhubarbbend.gateway._process_monitor import COUNTERS
from rhubarbbend.http import ConnectionEnd


# Guards against connections that end for a reason that no counter shows.
@pytest.mark.parametrize("end", list(ConnectionEnd))
def test_each_end_of_a_connection_is_counted(end: ConnectionEnd) -> None:
    assert COUNTERS[end] in codes.list_counters()
