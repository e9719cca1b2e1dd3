"""Mirrored tables: never older than they were, from whatever source and in whatever order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.mirror import Change, Mirror, MirroredRow, Table, TablePage


def page(position: int, *rows: tuple[str, bytes | None, int], whole: bool = False) -> TablePage:
    return TablePage([MirroredRow(*row) for row in rows], position, whole)


def test_an_older_row_never_replaces_a_newer_one() -> None:
    # A peer that is behind answers after the store: the key that was taken away stays away.
    table = Table()
    table.merge(page(10, ("config", b"v2", 9)))
    assert table.merge(page(8, ("config", b"v1", 5))) == []
    assert table.merge(page(12, ("config", b"v1", 5))) == []
    assert table.find_value("config") == b"v2"
    assert table.position == 12


def test_a_whole_table_drops_what_it_no_longer_holds() -> None:
    table = Table()
    table.merge(page(10, ("x", b"1", 3), ("y", b"2", 4)))
    assert table.merge(page(20, ("y", b"2", 4), whole=True)) == [Change("x", None)]
    assert [row.key for row in table.list_rows()] == ["y"]


def test_a_reader_far_behind_gets_the_whole_table() -> None:
    table = Table()
    for number in range(2_000):
        table.merge(page(2 * number, (f"k{number}", b"", 2 * number)))
        table.merge(page(2 * number + 1, (f"k{number}", None, 2 * number + 1)))
    table.merge(page(5_000, ("last", b"x", 5_000)))
    assert table.list_changes(3).whole
    assert table.list_changes(-1).whole
    assert not table.list_changes(4_500).whole


STEPS = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30)


@given(STEPS, st.lists(st.integers(0, 30), max_size=10))
def test_a_follower_of_peers_ends_where_the_store_is(
    steps: list[tuple[str, bool]], cuts: list[int]
) -> None:
    source = Mirror(["t"])
    follower = Mirror(["t"])
    for version, (key, there) in enumerate(steps, 1):
        value = str(version).encode() if there else None
        source.merge({"t": page(version, (key, value, version))})
        if version in cuts:
            follower.merge(source.list_changes({"t": follower.tables["t"].position}))
    follower.merge(source.list_changes({"t": follower.tables["t"].position}))
    expected = {row.key: row for row in source.tables["t"].list_rows()}
    assert {row.key: row for row in follower.tables["t"].list_rows()} == expected
