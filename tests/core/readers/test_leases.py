"""Which rows of the list of instances have expired."""

from __future__ import annotations

from rhubarbbend.core.mirror import MirroredRow
from rhubarbbend.core.readers import RENEW_INTERVAL_S, InstanceLeaseTracker
from rhubarbbend.core.readers._leases import MAX_READ_GAP_S, ROW_LIFETIME_S

# Seconds between two reads of the list.
READ_INTERVAL_S = 20.0


def make_row(name: str, version: int) -> MirroredRow:
    return MirroredRow(name, b"{}", version)


def test_a_row_that_is_never_rewritten_expires() -> None:
    # One of two instances crashed. The other rewrites its row every five minutes and must stay.
    leases = InstanceLeaseTracker()
    now = 100.0
    expired: list[str] = []
    while now < 100.0 + ROW_LIFETIME_S + READ_INTERVAL_S:
        renewals = int((now - 100.0) / RENEW_INTERVAL_S)
        rows = [make_row("crashed", 1), make_row("live", 2 + renewals)]
        expired = [row.key for row in leases.observe(rows, now)]
        assert not expired or now >= 100.0 + ROW_LIFETIME_S
        now += READ_INTERVAL_S
    assert expired == ["crashed"]


def test_time_in_which_the_list_was_not_read_does_not_count() -> None:
    # The store was unreachable for all instances for an hour. All rows are that old, and live
    # instances rewrite theirs only within the next minutes, so none may expire yet.
    leases = InstanceLeaseTracker()
    assert leases.observe([make_row("a", 1)], 0.0) == []
    assert leases.observe([make_row("a", 1)], 3_600.0) == []
    assert leases.observe([make_row("a", 1)], 3_600.0 + MAX_READ_GAP_S) == []


def test_a_new_version_of_a_row_restarts_its_age() -> None:
    leases = InstanceLeaseTracker()
    now = 0.0
    while now < ROW_LIFETIME_S - READ_INTERVAL_S:
        assert leases.observe([make_row("a", 1)], now) == []
        now += READ_INTERVAL_S
    assert leases.observe([make_row("a", 9)], now) == []
    assert leases.observe([make_row("a", 9)], now + MAX_READ_GAP_S) == []
