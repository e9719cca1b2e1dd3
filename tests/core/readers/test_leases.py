"""Which rows of the list of instances have lapsed."""

from __future__ import annotations

from rhubarbbend.core.mirror import MirroredRow
from rhubarbbend.core.readers import RENEW_INTERVAL, InstanceLeases
from rhubarbbend.core.readers._leases import MAX_GAP, ROW_LIFE

# The list is read this often.
INTERVAL = 20.0


def make_row(name: str, version: int) -> MirroredRow:
    return MirroredRow(name, b"{}", version)


def test_a_row_that_is_never_written_again_lapses() -> None:
    # Of two instances one is lost. The other writes its row every five minutes and stays.
    leases = InstanceLeases()
    now = 100.0
    lapsed: list[str] = []
    while now < 100.0 + ROW_LIFE + INTERVAL:
        renewals = int((now - 100.0) / RENEW_INTERVAL)
        rows = [make_row("lost", 1), make_row("lives", 2 + renewals)]
        lapsed = [row.key for row in leases.observe(rows, now)]
        assert not lapsed or now >= 100.0 + ROW_LIFE
        now += INTERVAL
    assert lapsed == ["lost"]


def test_time_in_which_the_list_was_not_read_does_not_count() -> None:
    # The store was away for an hour, for everyone. All rows are as old as that, and those whose
    # instances live are written again only in the next minutes.
    leases = InstanceLeases()
    assert leases.observe([make_row("a", 1)], 0.0) == []
    assert leases.observe([make_row("a", 1)], 3_600.0) == []
    assert leases.observe([make_row("a", 1)], 3_600.0 + MAX_GAP) == []


def test_an_instance_that_came_back_under_its_name_counts_anew() -> None:
    leases = InstanceLeases()
    now = 0.0
    while now < ROW_LIFE - INTERVAL:
        assert leases.observe([make_row("a", 1)], now) == []
        now += INTERVAL
    assert leases.observe([make_row("a", 9)], now) == []
    assert leases.observe([make_row("a", 9)], now + MAX_GAP) == []
