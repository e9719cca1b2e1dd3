"""Mirrored tables never revert to older data, whatever the source and order of their pages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.mirror import Mirror, MirroredRow, RowChange, Table, TablePage


def make_page(
    position: int, *rows: tuple[str, bytes | None, int], whole: bool = False
) -> TablePage:
    return TablePage([MirroredRow(*row) for row in rows], position, whole)


def test_an_older_row_never_replaces_a_newer_one() -> None:
    # A peer whose copy is older answers after the store: its old row must not come back.
    table = Table()
    table.merge(make_page(10, ("config", b"v2", 9)))
    assert table.merge(make_page(8, ("config", b"v1", 5))) == []
    assert table.merge(make_page(12, ("config", b"v1", 5))) == []
    assert table.find_value("config") == b"v2"
    assert table.position == 12


def test_a_whole_page_deletes_rows_that_it_does_not_contain() -> None:
    table = Table()
    table.merge(make_page(10, ("x", b"1", 3), ("y", b"2", 4)))
    assert table.merge(make_page(20, ("y", b"2", 4), whole=True)) == [RowChange("x", None, 20)]
    assert [row.key for row in table.list_rows()] == ["y"]


def test_a_reader_far_behind_gets_the_whole_table() -> None:
    table = Table()
    for number in range(2_000):
        table.merge(make_page(2 * number, (f"k{number}", b"", 2 * number)))
        table.merge(make_page(2 * number + 1, (f"k{number}", None, 2 * number + 1)))
    table.merge(make_page(5_000, ("last", b"x", 5_000)))
    assert table.list_changes(3).whole
    assert table.list_changes(-1).whole
    assert not table.list_changes(4_500).whole


STEPS = st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), min_size=1, max_size=30)


@given(STEPS, st.lists(st.integers(0, 30), max_size=10))
def test_a_copy_updated_from_a_peer_ends_equal_to_it(
    steps: list[tuple[str, bool]], sync_versions: list[int]
) -> None:
    source = Mirror(["t"])
    follower = Mirror(["t"])
    for version, (key, exists) in enumerate(steps, 1):
        value = str(version).encode() if exists else None
        source.merge({"t": make_page(version, (key, value, version))})
        if version in sync_versions:
            follower.merge(source.list_changes({"t": follower.tables["t"].position}))
    follower.merge(source.list_changes({"t": follower.tables["t"].position}))
    expected = {row.key: row for row in source.tables["t"].list_rows()}
    assert {row.key: row for row in follower.tables["t"].list_rows()} == expected
